// Package quota keeps state that the members of a fleet share within bounds
// whatever part of it hears nothing. It does no I/O and reads no clock.
//
// State is a join semilattice (Shapiro, Preguiça, Baquero and Zawirski,
// "Conflict-free Replicated Data Types", 2011), spread in small deltas (Almeida,
// Shoker and Baquero, "Delta State Replicated Data Types", 2018): joining is
// commutative, associative and idempotent, so pieces may come in any order, twice
// or late. It holds
//
//   - counts that go up and down (a PN counter for each name);
//   - a budget, a bound on what all members together have in hand, as rights
//     that members hold and give each other: a bounded counter with escrow
//     (Balegas et al., "Extending Eventually Consistent Cloud Databases for
//     Enforcing Numeric Invariants", 2015). A member spends what it holds and no
//     more, so the sum stays within the budget in every partition.
//
// Rights are made, and taken back from members that died, by a Bank, whose
// orders are entries of the fleet's log (package consensus): the escrow alone
// has no way to tell that a member is gone for good. See bank.go.
package quota

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
)

// ID is a member in one life of its process. A member that restarts is another
// ID: what its former life held does not come back with it. In CBOR it is an
// array: the order of the fields is part of the format. In JSON it is the text
// that MarshalText gives.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Member      string
	Incarnation uint64
}

// String gives the ID as "member/life".
func (i ID) String() string { return i.Member + "/" + strconv.FormatUint(i.Incarnation, 10) }

// MarshalText implements encoding.TextMarshaler.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *ID) UnmarshalText(b []byte) error {
	at := strings.LastIndexByte(string(b), '/')
	if at < 0 {
		return fmt.Errorf("share: %q is no member and life", b)
	}
	life, err := strconv.ParseUint(string(b[at+1:]), 10, 64)
	if err != nil {
		return fmt.Errorf("share: life of %q: %w", b, err)
	}
	*i = ID{Member: string(b[:at]), Incarnation: life}
	return nil
}

// PNCounter is one member's part of a count: both only grow.
type PNCounter struct {
	Increments uint64 `cbor:"1,keyasint,omitempty"`
	Decrements uint64 `cbor:"2,keyasint,omitempty"`
}

// TransferReport is what a member has to do with one that was fenced, for good: In is
// what it got from it, Out what it gave it. It is sent in CBOR, and stored in the
// fleet's log in JSON: both kinds of tags are part of the format.
type TransferReport struct {
	Received uint64 `cbor:"1,keyasint,omitempty" json:"In"`
	Sent     uint64 `cbor:"2,keyasint,omitempty" json:"Out"`
}

// MemberState is what one life of a member says of itself; nobody else writes it. A row
// may come in parts: what only grows is joined part by part, and Spare and Need
// are those of the latest Beat. Rows are not changed once they are part of a State.
type MemberState struct {
	Heartbeat       uint64                `cbor:"1,keyasint"`           // grows with each change
	Surplus         uint64                `cbor:"2,keyasint,omitempty"` // rights it could give
	Shortfall       uint64                `cbor:"3,keyasint,omitempty"` // rights it lacks
	Transferred     map[ID]uint64         `cbor:"4,keyasint,omitempty"` // rights given, in all
	TransferReports map[ID]TransferReport `cbor:"5,keyasint,omitempty"` // with members that were fenced
	Counters        map[string]PNCounter  `cbor:"6,keyasint,omitempty"`
}

// Account is what the bank says of one life of a member. It is sent in CBOR, and
// stored in the snapshots of the fleet's log in JSON: both kinds of tags are part
// of the format.
type Account struct {
	LogIndex         uint64       `cbor:"1,keyasint,omitempty" json:"Index"`   // of the log entry that changed it last
	Granted          uint64       `cbor:"2,keyasint,omitempty" json:"Granted"` // rights from the bank
	Fenced           bool         `cbor:"3,keyasint,omitempty" json:"Fenced"`  // it is gone: it spends and gives nothing any more
	Reclaimed        bool         `cbor:"4,keyasint,omitempty" json:"Settled"` // what it held has gone back to the bank
	SettledTransfers map[ID]int64 `cbor:"5,keyasint,omitempty" json:"Folds"`   // what it got from settled members less what it gave them
	AckedHeartbeat   uint64       `cbor:"6,keyasint,omitempty" json:"Acked"`   // beat that the bank's keeper has heard
}

// Delta is a delta: a row, an account, or both, of one ID.
type Delta struct {
	ID          ID           `cbor:"1,keyasint"`
	MemberState *MemberState `cbor:"2,keyasint,omitempty"`
	Account     *Account     `cbor:"3,keyasint,omitempty"`
}

// joinMaps is the pointwise maximum. It gives a itself where that has all.
func joinMaps[K comparable, V any](a, b map[K]V, join func(x, y V) (V, bool)) map[K]V {
	out, copied := a, false
	for k, y := range b {
		if x, known := a[k]; known {
			var more bool
			if y, more = join(x, y); !more {
				continue
			}
		}
		if !copied {
			out, copied = maps.Clone(a), true
			if out == nil {
				out = make(map[K]V)
			}
		}
		out[k] = y
	}
	return out
}

func joinMax[T uint64 | int64](x, y T) (T, bool) { return max(x, y), y > x }

func joinCounters(x, y PNCounter) (PNCounter, bool) {
	z := PNCounter{max(x.Increments, y.Increments), max(x.Decrements, y.Decrements)}
	return z, z != x
}

func joinReports(x, y TransferReport) (TransferReport, bool) {
	z := TransferReport{max(x.Received, y.Received), max(x.Sent, y.Sent)}
	return z, z != x
}

// Join gives the least row that is no older than either: what only grows is
// joined by the maximum, what a member says of the moment is that of the later
// beat.
func (r MemberState) Join(o MemberState) MemberState {
	if r.Heartbeat < o.Heartbeat {
		r, o = o, r
	}
	if r.Heartbeat == o.Heartbeat { // the same, or a fault of its writer's
		r.Surplus, r.Shortfall = max(r.Surplus, o.Surplus), max(r.Shortfall, o.Shortfall)
	}
	r.TransferReports = joinMaps(r.TransferReports, o.TransferReports, joinReports)
	r.Transferred = joinMaps(r.Transferred, o.Transferred, joinMax[uint64])
	r.Counters = joinMaps(r.Counters, o.Counters, joinCounters)
	return r
}

// Join gives the account of the later log entry, with the higher Acked.
func (a Account) Join(o Account) Account {
	acked := max(a.AckedHeartbeat, o.AckedHeartbeat)
	if a.LogIndex < o.LogIndex {
		a, o = o, a
	}
	if a.LogIndex == o.LogIndex { // the same, but for what is told without the log
		a.Granted, a.Fenced, a.Reclaimed = max(a.Granted, o.Granted), a.Fenced || o.Fenced, a.Reclaimed || o.Reclaimed
		a.SettledTransfers = joinMaps(a.SettledTransfers, o.SettledTransfers, joinMax[int64])
	}
	a.AckedHeartbeat = acked
	return a
}

// State is all that a member knows. Its rows and accounts are replaced, never
// written into, so states may share them.
type State struct {
	Members  map[ID]*MemberState
	Accounts map[ID]*Account
}

// NewState makes an empty state.
func NewState() State { return State{map[ID]*MemberState{}, map[ID]*Account{}} }

// Join takes an item in. It gives what of it was news, as it stands now; false
// where nothing was.
func (s State) Join(i Delta) (Delta, bool) {
	out := Delta{ID: i.ID}
	if i.MemberState != nil {
		if was := s.Members[i.ID]; was == nil {
			out.MemberState = i.MemberState
		} else if !was.covers(i.MemberState) {
			if i.MemberState.covers(was) {
				out.MemberState = i.MemberState
			} else {
				row := was.Join(*i.MemberState)
				out.MemberState = &row
			}
		}
		if out.MemberState != nil {
			s.Members[i.ID] = out.MemberState
		}
	}
	if i.Account != nil {
		was := s.Accounts[i.ID]
		if was == nil {
			out.Account = i.Account
		} else if joined := was.Join(*i.Account); !joined.equal(was) {
			out.Account = &joined
		}
		if out.Account != nil {
			s.Accounts[i.ID] = out.Account
		}
	}
	return out, out.MemberState != nil || out.Account != nil
}

// covers tells whether a row has all that another has.
func (r *MemberState) covers(o *MemberState) bool {
	if r == o {
		return true
	}
	if r.Heartbeat < o.Heartbeat || r.Heartbeat == o.Heartbeat && (r.Surplus < o.Surplus || r.Shortfall < o.Shortfall) {
		return false
	}
	for id, c := range o.TransferReports {
		if x, ok := r.TransferReports[id]; !ok || x.Received < c.Received || x.Sent < c.Sent {
			return false
		}
	}
	for id, n := range o.Transferred {
		if x, ok := r.Transferred[id]; !ok || x < n {
			return false
		}
	}
	for name, c := range o.Counters {
		if x, ok := r.Counters[name]; !ok || x.Increments < c.Increments || x.Decrements < c.Decrements {
			return false
		}
	}
	return true
}

func (a *Account) equal(o *Account) bool {
	return a.LogIndex == o.LogIndex && a.Granted == o.Granted && a.Fenced == o.Fenced && a.Reclaimed == o.Reclaimed &&
		a.AckedHeartbeat == o.AckedHeartbeat && maps.Equal(a.SettledTransfers, o.SettledTransfers)
}

// CounterValue is a count over all members and lives that are known.
func (s State) CounterValue(name string) int64 {
	var up, down uint64
	for _, r := range s.Members {
		up, down = up+r.Counters[name].Increments, down+r.Counters[name].Decrements
	}
	return int64(up - down)
}
