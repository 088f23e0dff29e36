package lease

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/internal/golden"
)

// TestGoldenEncodings encodes and decodes a command of each kind and the table, as
// stored in the voters' log and its snapshots, and the token, which is also sent in
// CBOR.
func TestGoldenEncodings(t *testing.T) {
	a, b := Owner{Member: "v1", Incarnation: 1 << 63}, Owner{Member: "v2", Incarnation: 7}
	first, second := Token{Term: 2, Index: 11}, Token{Term: 3, Index: 1 << 40}
	acquire := Command{Kind: Acquire, Lease: "registry", Owner: a, Nonce: 1}
	acquireAfterRenewal := Command{Kind: Acquire, Lease: "registry", Owner: b, Token: first, Renewals: 1, Nonce: 4}
	renew := Command{Kind: Renew, Lease: "registry", Owner: a, Token: first, Nonce: 2}
	release := Command{Kind: Release, Lease: "registry", Owner: b, Token: second, Nonce: 5}
	golden.RoundTrip(t, "command-take.json", acquire, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "command-take-after-renewal.json", acquireAfterRenewal, json.Marshal, json.Unmarshal)
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
		token   Token
	}{
		{acquire, first},
		{renew, Token{Term: 2, Index: 12}},
		{acquireAfterRenewal, second},
		{release, Token{Term: 3, Index: 1<<40 + 1}},
		{Command{Kind: Acquire, Lease: "bank", Owner: a, Nonce: 2}, Token{Term: 3, Index: 1<<40 + 2}},
	} {
		if !table.Apply(step.command, step.token) {
			t.Fatalf("Apply(%+v, %v) rejected the command, want it granted", step.command, step.token)
		}
	}
	golden.RoundTrip(t, "table.json", &table, json.Marshal, json.Unmarshal)
	if err := table.UnmarshalJSON(golden.Bytes(t, "table-empty.json")); err != nil || len(table.Leases()) > 0 {
		t.Errorf("UnmarshalJSON of the empty table: leases %v, error %v, want neither", table.Leases(), err)
	}
}
