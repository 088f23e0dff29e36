package lease

import (
	"cmp"
	"fmt"
)

// Token is a fencing token: the Raft term and log index of the entry that
// granted a lease. A later grant of the same lease has a higher token. Tokens are
// stored and sent in JSON, and sent in CBOR within a rollout.Directive.
type Token struct {
	Term  uint64 `cbor:"term" json:"term"`
	Index uint64 `cbor:"index" json:"index"`
}

// Compare returns a negative number if t is older than u, 0 if they are equal
// and a positive number if t is newer.
func (t Token) Compare(u Token) int {
	return cmp.Or(cmp.Compare(t.Term, u.Term), cmp.Compare(t.Index, u.Index))
}

// String returns the token as "term.index", the form in log output and errors.
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Index) }
