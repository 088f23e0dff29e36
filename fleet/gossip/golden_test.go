package gossip

import (
	"bytes"
	"slices"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// recordedUpdates is a Delegate that records all merged updates.
type recordedUpdates [][]byte

// MergeUpdate implements Delegate. It records the update and never reports it as new.
func (r *recordedUpdates) MergeUpdate(update []byte) (string, bool) {
	*r = append(*r, slices.Clone(update))
	return "", false
}

// KnownUpdates implements Delegate.
func (r *recordedUpdates) KnownUpdates() [][]byte { return *r }

// TestGoldenState encodes and decodes the state of a push/pull exchange, and
// encodes a member's metadata.
func TestGoldenState(t *testing.T) {
	known := recordedUpdates{[]byte(`j{"lease":"registry"}`), {'c', 0xa1, 0x01, 0xff}, {}}
	writer := memberlistDelegate{updates: &known, role: "voter"}
	golden.Equal(t, "state.json", writer.LocalState(false))
	golden.Equal(t, "state-joining.json", writer.LocalState(true))
	golden.Equal(t, "role", writer.NodeMeta(512))
	golden.Equal(t, "state-empty.json", memberlistDelegate{updates: new(recordedUpdates)}.LocalState(false))

	var merged recordedUpdates
	reader := memberlistDelegate{updates: &merged}
	for _, name := range []string{"state.json", "state-joining.json", "state-empty.json"} {
		merged = nil
		reader.MergeRemoteState(golden.Bytes(t, name), false)
		want := known
		if name == "state-empty.json" {
			want = nil
		}
		if !slices.EqualFunc(merged, want, bytes.Equal) {
			t.Errorf("MergeRemoteState of %s merged the updates %q, want %q", name, merged, want)
		}
	}
}
