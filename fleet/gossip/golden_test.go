package gossip

import (
	"bytes"
	"slices"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// recordedUpdates is news that keeps what it heard.
type recordedUpdates [][]byte

// MergeUpdate implements Delegate.
func (p *recordedUpdates) MergeUpdate(piece []byte) (string, bool) {
	*p = append(*p, slices.Clone(piece))
	return "", false
}

// KnownUpdates implements Delegate.
func (p *recordedUpdates) KnownUpdates() [][]byte { return *p }

// TestGoldenState writes and reads what two members exchange of all they know,
// and writes what a member says of itself.
func TestGoldenState(t *testing.T) {
	known := recordedUpdates{[]byte(`j{"lease":"registry"}`), {'c', 0xa1, 0x01, 0xff}, {}}
	writer := memberlistDelegate{updates: &known, role: "voter"}
	golden.Equal(t, "state.json", writer.LocalState(false))
	golden.Equal(t, "state-joining.json", writer.LocalState(true))
	golden.Equal(t, "role", writer.NodeMeta(512))
	golden.Equal(t, "state-empty.json", memberlistDelegate{updates: new(recordedUpdates)}.LocalState(false))

	var heard recordedUpdates
	reader := memberlistDelegate{updates: &heard}
	for _, name := range []string{"state.json", "state-joining.json", "state-empty.json"} {
		heard = nil
		reader.MergeRemoteState(golden.Bytes(t, name), false)
		want := known
		if name == "state-empty.json" {
			want = nil
		}
		if !slices.EqualFunc(heard, want, bytes.Equal) {
			t.Errorf("%s: heard %q, want %q", name, heard, want)
		}
	}
}
