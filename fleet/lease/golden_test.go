package lease

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/internal/golden"
)

// TestGoldenForms writes and reads what the voters' log and its snapshots hold of
// leases: a command of each kind, and the table; and the token, which is sent in
// CBOR too.
func TestGoldenForms(t *testing.T) {
	a, b := Owner{Member: "v1", Incarnation: 1 << 63}, Owner{Member: "v2", Incarnation: 7}
	first, second := Token{Term: 2, Index: 11}, Token{Term: 3, Index: 1 << 40}
	take := Command{Kind: Acquire, Lease: "registry", Owner: a, Nonce: 1}
	retake := Command{Kind: Acquire, Lease: "registry", Owner: b, Token: first, Renewals: 1, Nonce: 4}
	renew := Command{Kind: Renew, Lease: "registry", Owner: a, Token: first, Nonce: 2}
	release := Command{Kind: Release, Lease: "registry", Owner: b, Token: second, Nonce: 5}
	golden.RoundTrip(t, "command-take.json", take, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-take-after-renewal.json", retake, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-renew.json", renew, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-release.json", release, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "token.json", second, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "token.cbor", second, cbor.Marshal, cbor.Unmarshal)

	var table Table
	empty, err := table.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "table-empty.json", empty)
	for _, step := range []struct {
		command Command
		at      Token
	}{
		{take, first},
		{renew, Token{Term: 2, Index: 12}},
		{retake, second},
		{release, Token{Term: 3, Index: 1<<40 + 1}},
		{Command{Kind: Acquire, Lease: "bank", Owner: a, Nonce: 2}, Token{Term: 3, Index: 1<<40 + 2}},
	} {
		if !table.Apply(step.command, step.at) {
			t.Fatalf("%+v at %v was not granted", step.command, step.at)
		}
	}
	golden.RoundTrip(t, "table.json", &table, json.Marshal, json.Unmarshal)
	if err := table.UnmarshalJSON(golden.Bytes(t, "table-empty.json")); err != nil || len(table.Leases()) > 0 {
		t.Errorf("the empty table is read as %v, %v", table.Leases(), err)
	}
}
