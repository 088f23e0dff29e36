// Package lease decides who owns a piece of fleet work: one member at a time,
// each grant under a token that only grows, so that what a late-waking old
// owner still sends can be told from what the present one sends. It does no
// I/O and reads no clock.
//
// Grants live in a Table, a state machine that every voter applies the same
// log of commands to (the log is consensus's: Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014). Times are never in
// the log. Each member counts on its own clock, whose rate may be off by the
// stated drift bound and whose reading may be off by anything:
//
//   - the owner counts a grant or renewal from when it *sent* the command, and
//     stops acting Term less the bound later (Gray and Cheriton, "Leases: An
//     Efficient Fault-Tolerant Mechanism for Distributed File Cache
//     Consistency", 1989);
//   - every other voter counts from when it *applied* the command, which is
//     later, and asks for the lease Term plus the bound after that at the
//     earliest. Its command names the grant and the number of renewals that it
//     has seen, and is refused if either has moved on (compare and set).
//
// A lease is no proof at the receiver: a process may stop between looking at
// its lease and sending. So each grant has a fencing token, the term and index
// of its place in the log, and receivers refuse tokens lower than the highest
// they have seen (Fence; Burrows, "The Chubby Lock Service for
// Loosely-Coupled Distributed Systems", 2006, calls it a sequencer).
package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Token is a fencing token: the raft term and index of the grant's entry. Of
// two grants of a lease the later has the higher one.
type Token struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Compare is negative where t is older than u, 0 where they are the same.
func (t Token) Compare(u Token) int {
	return cmp.Or(cmp.Compare(t.Term, u.Term), cmp.Compare(t.Index, u.Index))
}

// String gives the token as logs show it, "term.index".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Term, t.Index) }

// Owner is a member in one life of its process: a member that restarts is
// another owner, and does not go on with a lease of its former life.
type Owner struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"life"` // drawn anew at each start
}

// CommandKind says what a command asks for.
type CommandKind string

// The kinds of commands.
const (
	Acquire CommandKind = "take"    // the lease, from the grant that Command names
	Renew   CommandKind = "renew"   // more time on the grant, by its owner
	Release CommandKind = "release" // the grant is given up by its owner, who has stopped acting
)

// Command is an entry of the log. Take is granted only if the lease is at
// Token and Renewals still; Renew and Release only to the owner of Token.
type Command struct {
	Kind     CommandKind `json:"kind"`
	Lease    string      `json:"lease"`
	Owner    Owner       `json:"by"`
	Token    Token       `json:"token"`
	Renewals uint64      `json:"renewals,omitempty"`
	Nonce    uint64      `json:"nonce"` // of its sender, to tell when it was sent
}

// Grant is the state of a lease: its owner (zero where it is free), the token
// of the latest grant, and how often that was renewed or given up since.
type Grant struct {
	Owner    Owner  `json:"owner"`
	Token    Token  `json:"token"`
	Renewals uint64 `json:"renewals"`
}

// Free tells whether nobody owns the lease.
func (g Grant) Free() bool { return g.Owner == Owner{} }

// Table is the grants of all leases. All voters that applied the same
// commands hold the same table. The zero Table has every lease free.
type Table struct{ grants map[string]Grant }

// Grant gives the state of a lease.
func (t *Table) Grant(name string) Grant { return t.grants[name] }

// Leases names the leases that were ever granted, in order.
func (t *Table) Leases() []string { return slices.Sorted(maps.Keys(t.grants)) }

// Apply takes in the command at a place of the log, and tells whether it was
// granted. at must grow from call to call.
func (t *Table) Apply(c Command, at Token) bool {
	g := t.grants[c.Lease]
	switch {
	case c.Token != g.Token:
		return false
	case c.Kind == Acquire && c.Renewals == g.Renewals:
		g = Grant{Owner: c.Owner, Token: at}
	case c.Kind == Renew && c.Owner == g.Owner:
		g.Renewals++
	case c.Kind == Release && c.Owner == g.Owner:
		g.Owner = Owner{}
		g.Renewals++ // so that a Take sent before it is refused, like one before a renewal
	default:
		return false
	}
	if t.grants == nil {
		t.grants = make(map[string]Grant)
	}
	t.grants[c.Lease] = g
	return true
}

// MarshalJSON gives the table for a snapshot of the log.
func (t *Table) MarshalJSON() ([]byte, error) { return json.Marshal(t.grants) }

// UnmarshalJSON takes a snapshot's table over.
func (t *Table) UnmarshalJSON(b []byte) error {
	t.grants = nil
	if err := json.Unmarshal(b, &t.grants); err != nil {
		return fmt.Errorf("lease: table: %w", err)
	}
	return nil
}
