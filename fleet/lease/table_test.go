package lease

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// TestTable_ReplicasGrantSameCommands applies the same random commands, with a
// fixed seed, to two tables. Midway, it restores one table from a snapshot of the
// other. Both tables must grant the same commands and have the same grant at the
// end, and the token must never decrease.
func TestTable_ReplicasGrantSameCommands(t *testing.T) {
	const commands, snapshotAt, wantGranted = 2000, 1000, 500
	rng := rand.New(rand.NewPCG(7, 7))
	var a, b Table
	granted := 0
	for i := range uint64(commands) {
		before := a.Grant("probe")
		command, token := randomCommand(rng, before), Token{1 + i/500, i + 1}
		ok := a.Apply(command, token)
		if ok != b.Apply(command, token) {
			t.Fatalf("command %d: one table granted it and the other rejected it", i)
		}
		if after := a.Grant("probe"); after.Token.Compare(before.Token) < 0 {
			t.Fatalf("command %d: the token decreased from %v to %v", i, before.Token, after.Token)
		}
		if ok {
			granted++
		}
		if i == snapshotAt {
			restore(t, &b, &a)
		}
	}
	if a.Grant("probe") != b.Grant("probe") || granted < wantGranted {
		t.Errorf("grants of the two tables = %v and %v after %d granted commands, want equal grants after at least %d", a.Grant("probe"), b.Grant("probe"), granted, wantGranted)
	}
}

// randomCommand returns a command for a grant. The renewal count is one too low
// in half of the commands.
func randomCommand(rng *rand.Rand, grant Grant) Command {
	return Command{
		Kind:  []CommandKind{Acquire, Renew, Release}[rng.IntN(3)],
		Lease: "probe", Owner: Owner{string(rune('a' + rng.IntN(3))), 1},
		Token: grant.Token, Renewals: grant.Renewals - uint64(rng.IntN(2)),
	}
}

// restore replaces the table to by a snapshot of the table from.
func restore(t *testing.T, to, from *Table) {
	t.Helper()
	snapshot, err := from.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	if err := to.UnmarshalJSON(snapshot); err != nil {
		t.Fatal(err)
	}
}

// TestStoredJSON_MatchesFirstVersion checks that commands and tables are encoded in
// voters' logs and snapshots as in the first version, which had other Go names.
func TestStoredJSON_MatchesFirstVersion(t *testing.T) {
	owner := Owner{"a", 7}
	var table Table
	table.Apply(Command{Kind: Acquire, Lease: "probe", Owner: owner}, Token{2, 5})
	table.Apply(Command{Kind: Renew, Lease: "probe", Owner: owner, Token: Token{2, 5}}, Token{2, 6})
	for _, c := range []struct {
		value any
		want  string
	}{
		{
			Command{Kind: Acquire, Lease: "probe", Owner: owner, Token: Token{2, 5}, Renewals: 3, Nonce: 9},
			`{"kind":"take","lease":"probe","by":{"member":"a","life":7},"token":{"term":2,"index":5},"renewals":3,"nonce":9}`,
		},
		{
			Command{Kind: Renew, Lease: "probe", Owner: owner, Token: Token{2, 5}, Nonce: 10},
			`{"kind":"renew","lease":"probe","by":{"member":"a","life":7},"token":{"term":2,"index":5},"nonce":10}`,
		},
		{
			Command{Kind: Release, Lease: "probe", Owner: owner, Token: Token{2, 5}, Nonce: 11},
			`{"kind":"release","lease":"probe","by":{"member":"a","life":7},"token":{"term":2,"index":5},"nonce":11}`,
		},
		{
			&table,
			`{"probe":{"owner":{"member":"a","life":7},"token":{"term":2,"index":5},"renewals":1}}`,
		},
	} {
		got, err := json.Marshal(c.value)
		if err != nil || string(got) != c.want {
			t.Errorf("json.Marshal(%+v) = %s, %v, want %s", c.value, got, err, c.want)
		}
	}
	var decoded Table
	if err := decoded.UnmarshalJSON([]byte(`{"probe":{"owner":{"member":"a","life":7},"token":{"term":2,"index":5},"renewals":1}}`)); err != nil {
		t.Fatal(err)
	}
	if decoded.Grant("probe") != table.Grant("probe") {
		t.Errorf("decoded grant %v, want %v", decoded.Grant("probe"), table.Grant("probe"))
	}
}
