package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Owner identifies a process that may own leases: a member of the fleet in one
// incarnation. A member that restarts is a different owner and does not hold the
// leases of its former incarnation.
type Owner struct {
	Member      string `json:"member"`
	Incarnation uint64 `json:"life"` // random number drawn at each start
}

// CommandKind is what a Command does to a lease: Acquire, Renew or Release.
type CommandKind string

// The kinds of commands. Their values are stored in the voters' log.
const (
	Acquire CommandKind = "take"    // makes the sender the owner, unless the grant has changed since the sender saw it
	Renew   CommandKind = "renew"   // extends the sender's grant
	Release CommandKind = "release" // ends the sender's grant; the sender has stopped acting as the owner
)

// Command is an entry of the voters' log. An Acquire is granted only if the
// lease's grant has the same Token and Renewals; a Renew or Release only if it
// has the same Token and Owner.
type Command struct {
	Kind     CommandKind `json:"kind"`
	Lease    string      `json:"lease"`
	Owner    Owner       `json:"by"` // sender of the command
	Token    Token       `json:"token"`
	Renewals uint64      `json:"renewals,omitempty"`
	Nonce    uint64      `json:"nonce"` // identifies the command to its sender
}

// Grant is what the table records for a lease: its owner, and the latest grant's token
// and renewals.
type Grant struct {
	Owner    Owner  `json:"owner"`    // zero if the lease is free
	Token    Token  `json:"token"`    // term and index of the latest granted Acquire
	Renewals uint64 `json:"renewals"` // renewals granted since that Acquire, plus 1 after a release
}

// Free reports whether the lease has no owner.
func (g Grant) Free() bool { return g.Owner == Owner{} }

// Table holds the grants of all leases. Two tables are equal after applying the
// same commands. In the zero Table every lease is free.
type Table struct{ grants map[string]Grant }

// Grant returns a lease's grant. It is zero if the lease was never granted.
func (t *Table) Grant(leaseName string) Grant { return t.grants[leaseName] }

// Leases returns the sorted names of all leases that were ever granted.
func (t *Table) Leases() []string { return slices.Sorted(maps.Keys(t.grants)) }

// Apply applies a committed command and reports whether it was granted. The
// token is the term and index of the command's log entry, so it must increase
// from call to call.
func (t *Table) Apply(command Command, token Token) (granted bool) {
	grant := t.grants[command.Lease]
	if command.Token != grant.Token {
		return false
	}
	fromOwner := command.Owner == grant.Owner
	switch {
	case command.Kind == Acquire && command.Renewals == grant.Renewals:
		grant = Grant{Owner: command.Owner, Token: token}
	case command.Kind == Renew && fromOwner:
		grant.Renewals++
	case command.Kind == Release && fromOwner:
		grant.Owner = Owner{}
		grant.Renewals++ // so that an Acquire sent before the release is rejected
	default:
		return false
	}
	if t.grants == nil {
		t.grants = make(map[string]Grant)
	}
	t.grants[command.Lease] = grant
	return true
}

// MarshalJSON encodes the table for a snapshot of the log.
func (t *Table) MarshalJSON() ([]byte, error) { return json.Marshal(t.grants) }

// UnmarshalJSON replaces the table by the one encoded in a snapshot.
func (t *Table) UnmarshalJSON(b []byte) error {
	t.grants = nil
	if err := json.Unmarshal(b, &t.grants); err != nil {
		return fmt.Errorf("lease: decoding the table of grants: %w", err)
	}
	return nil
}
