package lease

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// TestTablesAgree applies the same random commands (seeded) to two tables, one
// of which is restored from a snapshot in the middle: both grant the same
// commands and end equal, and tokens never go down.
func TestTablesAgree(t *testing.T) {
	const commands, snapshotAt, wantGranted = 2000, 1000, 500
	rng := rand.New(rand.NewPCG(7, 7))
	var a, b Table
	granted := 0
	for i := range uint64(commands) {
		before := a.Grant("probe")
		command, token := randomCommand(rng, before), Token{1 + i/500, i + 1}
		ok := a.Apply(command, token)
		if ok != b.Apply(command, token) {
			t.Fatalf("%d: the tables differ", i)
		}
		if after := a.Grant("probe"); after.Token.Compare(before.Token) < 0 {
			t.Fatalf("%d: token %v after %v", i, after.Token, before.Token)
		}
		if ok {
			granted++
		}
		if i == snapshotAt {
			restore(t, &b, &a)
		}
	}
	if a.Grant("probe") != b.Grant("probe") || granted < wantGranted {
		t.Errorf("%v, %v, %d granted", a.Grant("probe"), b.Grant("probe"), granted)
	}
}

// randomCommand returns a command about a grant, half of them one renewal behind.
func randomCommand(rng *rand.Rand, grant Grant) Command {
	return Command{
		Kind:  []CommandKind{Acquire, Renew, Release}[rng.IntN(3)],
		Lease: "probe", Owner: Owner{string(rune('a' + rng.IntN(3))), 1},
		Token: grant.Token, Renewals: grant.Renewals - uint64(rng.IntN(2)),
	}
}

// restore replaces one table by a snapshot of another.
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

// TestStoredForm pins the bytes of commands and tables in voters' logs and
// snapshots. They were written by the version before any of the names changed.
func TestStoredForm(t *testing.T) {
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
			t.Errorf("%s, %v; want %s", got, err, c.want)
		}
	}
	var read Table
	if err := read.UnmarshalJSON([]byte(`{"probe":{"owner":{"member":"a","life":7},"token":{"term":2,"index":5},"renewals":1}}`)); err != nil {
		t.Fatal(err)
	}
	if read.Grant("probe") != table.Grant("probe") {
		t.Errorf("read %v, want %v", read.Grant("probe"), table.Grant("probe"))
	}
}
