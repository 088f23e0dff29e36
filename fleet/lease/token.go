package lease

import (
	"cmp"
	"fmt"
)

// Token is a fencing token: the Raft term and log index of the entry that
// granted a lease. Of two grants of a lease the later has the higher token. It is
// stored and sent in JSON, and sent in CBOR within a rollout.Direction.
type Token struct {
	Term  uint64 `cbor:"term" json:"term"`
	Index uint64 `cbor:"index" json:"index"`
}

// Compare returns a negative number if t is older than u, 0 if they are equal
// and a positive number if t is newer.
func (t Token) Compare(u Token) int {
	return cmp.Or(cmp.Compare(t.Term, u.Term), cmp.Compare(t.Index, u.Index))
}

// String returns the token as logs show it, "term.index".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Index) }
