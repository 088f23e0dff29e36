package quota

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/internal/golden"
)

// The members in the golden files; one of them has two incarnations.
var (
	goldenA      = ID{Member: "v1", Incarnation: 1 << 62}
	goldenB      = ID{Member: "m/2", Incarnation: 7}
	goldenBLater = ID{Member: "m/2", Incarnation: 8}
)

// TestGoldenCommands encodes and decodes a command of each kind in the format of the
// voters' log, and the resulting allocator in the format of its snapshots.
func TestGoldenCommands(t *testing.T) {
	reclaim := Command{Kind: Reclaim, Reports: map[ID]map[ID]TransferReport{goldenB: {goldenA: {Received: 3, Sent: 1}, goldenBLater: {}}}}
	golden.RoundTrip(t, "order-open.json", Command{Kind: Grant, Target: goldenBLater}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-grant.json", Command{Kind: Grant, Target: goldenA, Amount: 40}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-fence.json", Command{Kind: Fence, Target: goldenB}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-settle.json", reclaim, json.Marshal, json.Unmarshal)

	allocator := NewAllocator(100)
	golden.RoundTrip(t, "bank-new.json", allocator, json.Marshal, json.Unmarshal)
	for i, file := range []string{"order-grant.json", "", "order-open.json", "order-fence.json", "order-settle.json"} {
		command := Command{Kind: Grant, Target: goldenB, Amount: 20}
		if file != "" {
			command = Command{}
			if err := json.Unmarshal(golden.Bytes(t, file), &command); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := allocator.Apply(command, uint64(10+i)); err != nil {
			t.Fatal(err)
		}
	}
	if allocator.Free != 58 { // 100 less 40 granted to v1 and 2 that v1 received from the reclaimed member
		t.Errorf("%d rights are free, want 58", allocator.Free)
	}
	golden.RoundTrip(t, "bank.json", allocator, json.Marshal, json.Unmarshal)
}

// TestGoldenDeltas encodes and decodes the messages between members. Each map has only
// one entry, because the encoding order of several entries is not fixed.
func TestGoldenDeltas(t *testing.T) {
	member := &MemberState{
		Heartbeat: 300, Surplus: 5, Shortfall: 1, Transferred: map[ID]uint64{goldenB: 4}, TransferReports: map[ID]TransferReport{goldenBLater: {Received: 3, Sent: 1}},
		Counters: map[string]PNCounter{"answered": {Increments: 1 << 33, Decrements: 2}},
	}
	account := &Account{LogIndex: 12, Granted: 40, Fenced: true, Reclaimed: true, SettledTransfers: map[ID]int64{goldenB: -2}, AckedHeartbeat: 299}
	for name, delta := range map[string]Delta{
		"item-row.cbor":           {ID: goldenA, MemberState: member},
		"item-account.cbor":       {ID: goldenA, Account: account},
		"item-row-account.cbor":   {ID: goldenA, MemberState: member, Account: account},
		"item-gift.cbor":          {ID: goldenA, MemberState: &MemberState{Transferred: map[ID]uint64{goldenB: 4}}},
		"item-empty-closing.cbor": {ID: goldenA, MemberState: &MemberState{Heartbeat: 1, TransferReports: map[ID]TransferReport{goldenB: {}}}},
		"item-ack.cbor":           {ID: goldenB, Account: &Account{AckedHeartbeat: 17}},
	} {
		golden.RoundTrip(t, name, delta, cbor.Marshal, cbor.Unmarshal)
	}
	golden.RoundTrip(t, "ask.cbor", TransferRequest{From: goldenB, Amount: 3, Account: Account{LogIndex: 12, Granted: 40}}, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "id.cbor", goldenA, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "id.json", goldenB, json.Marshal, json.Unmarshal)
}
