package share

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/internal/golden"
)

// The members of the golden files, one of them in two lives.
var (
	goldenA      = ID{Member: "v1", Life: 1 << 62}
	goldenB      = ID{Member: "m/2", Life: 7}
	goldenBLater = ID{Member: "m/2", Life: 8}
)

// TestGoldenOrders writes and reads an order of each kind, as the voters' log
// holds them, and the bank that they come to, as its snapshots do.
func TestGoldenOrders(t *testing.T) {
	settle := Order{Kind: Settle, Edges: map[ID]map[ID]Closing{goldenB: {goldenA: {In: 3, Out: 1}, goldenBLater: {}}}}
	golden.RoundTrip(t, "order-open.json", Order{Kind: Grant, Of: goldenBLater}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-grant.json", Order{Kind: Grant, Of: goldenA, Amount: 40}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-fence.json", Order{Kind: Fence, Of: goldenB}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "order-settle.json", settle, json.Marshal, json.Unmarshal)

	bank := NewBank(100)
	golden.RoundTrip(t, "bank-new.json", bank, json.Marshal, json.Unmarshal)
	for i, file := range []string{"order-grant.json", "", "order-open.json", "order-fence.json", "order-settle.json"} {
		o := Order{Kind: Grant, Of: goldenB, Amount: 20}
		if file != "" {
			o = Order{}
			if err := json.Unmarshal(golden.Bytes(t, file), &o); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := bank.Apply(o, uint64(10+i)); err != nil {
			t.Fatal(err)
		}
	}
	if bank.Free != 58 { // 40 granted, and 2 that v1 got from the member that was settled
		t.Errorf("%d rights are free", bank.Free)
	}
	golden.RoundTrip(t, "bank.json", bank, json.Marshal, json.Unmarshal)
}

// TestGoldenItems writes and reads what members send each other. The maps have
// one entry each, as the order of more is not fixed.
func TestGoldenItems(t *testing.T) {
	row := &Row{
		Beat: 300, Spare: 5, Need: 1, Given: map[ID]uint64{goldenB: 4}, Closed: map[ID]Closing{goldenBLater: {In: 3, Out: 1}},
		Counts: map[string]PN{"answered": {Up: 1 << 33, Down: 2}},
	}
	account := &Account{Index: 12, Granted: 40, Fenced: true, Settled: true, Folds: map[ID]int64{goldenB: -2}, Acked: 299}
	for name, item := range map[string]Item{
		"item-row.cbor":           {Of: goldenA, Row: row},
		"item-account.cbor":       {Of: goldenA, Account: account},
		"item-row-account.cbor":   {Of: goldenA, Row: row, Account: account},
		"item-gift.cbor":          {Of: goldenA, Row: &Row{Given: map[ID]uint64{goldenB: 4}}},
		"item-empty-closing.cbor": {Of: goldenA, Row: &Row{Beat: 1, Closed: map[ID]Closing{goldenB: {}}}},
		"item-ack.cbor":           {Of: goldenB, Account: &Account{Acked: 17}},
	} {
		golden.RoundTrip(t, name, item, cbor.Marshal, cbor.Unmarshal)
	}
	golden.RoundTrip(t, "ask.cbor", Ask{Of: goldenB, Need: 3, Account: Account{Index: 12, Granted: 40}}, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "id.cbor", goldenA, cbor.Marshal, cbor.Unmarshal)
	golden.RoundTrip(t, "id.json", goldenB, json.Marshal, json.Unmarshal)
}
