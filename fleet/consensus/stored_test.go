package consensus

import (
	"encoding/json"
	"testing"
)

// TestStoredForms_MatchFirstVersion checks that a snapshot's data, the voter in a
// membership change, and the keys of the log's records are the same as in the first
// version, which had other Go names.
func TestStoredForms_MatchFirstVersion(t *testing.T) {
	learner := Voter{Name: "d", Address: "at d", Learner: true}
	for _, c := range []struct {
		value any
		want  string
	}{
		{learner, `{"name":"d","address":"at d","learner":true}`},
		{
			snapshotEnvelope{[]string{"a", "b"}, []Voter{{Name: "a", Address: "at a"}, learner}, []byte{1, 2}},
			`{"founders":["a","b"],"members":[{"name":"a","address":"at a"},{"name":"d","address":"at d","learner":true}],"state":"AQI="}`,
		},
	} {
		got, err := json.Marshal(c.value)
		if err != nil || string(got) != c.want {
			t.Errorf("json.Marshal(%+v) = %s, %v, want %s", c.value, got, err, c.want)
		}
	}
	for got, want := range map[string]string{
		stateKey: "state", snapshotKey: "snapshot", entryKey(3): "entry/0003", entryKey(2049): "entry/0001",
	} {
		if got != want {
			t.Errorf("store key %q, want %q", got, want)
		}
	}
}
