package lease

import (
	"encoding/json"
	"testing"
)

// TestStoredForm pins the bytes of commands and tables in voters' logs and
// snapshots, as the program writes them today.
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
