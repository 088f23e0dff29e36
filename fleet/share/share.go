// Package share keeps state that the members of a fleet share within bounds
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
package share

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
	_      struct{} `cbor:",toarray"`
	Member string
	Life   uint64
}

// String gives the ID as "member/life".
func (i ID) String() string { return i.Member + "/" + strconv.FormatUint(i.Life, 10) }

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
	*i = ID{Member: string(b[:at]), Life: life}
	return nil
}

// PN is one member's part of a count: both only grow.
type PN struct {
	Up   uint64 `cbor:"1,keyasint,omitempty"`
	Down uint64 `cbor:"2,keyasint,omitempty"`
}

// Closing is what a member has to do with one that was fenced, for good: In is
// what it got from it, Out what it gave it. It is sent in CBOR, and stored in the
// fleet's log in JSON: both kinds of tags are part of the format.
type Closing struct {
	In  uint64 `cbor:"1,keyasint,omitempty" json:"In"`
	Out uint64 `cbor:"2,keyasint,omitempty" json:"Out"`
}

// Row is what one life of a member says of itself; nobody else writes it. A row
// may come in parts: what only grows is joined part by part, and Spare and Need
// are those of the latest Beat. Rows are not changed once they are part of a State.
type Row struct {
	Beat   uint64         `cbor:"1,keyasint"`           // grows with each change
	Spare  uint64         `cbor:"2,keyasint,omitempty"` // rights it could give
	Need   uint64         `cbor:"3,keyasint,omitempty"` // rights it lacks
	Given  map[ID]uint64  `cbor:"4,keyasint,omitempty"` // rights given, in all
	Closed map[ID]Closing `cbor:"5,keyasint,omitempty"` // with members that were fenced
	Counts map[string]PN  `cbor:"6,keyasint,omitempty"`
}

// Account is what the bank says of one life of a member. It is sent in CBOR, and
// stored in the snapshots of the fleet's log in JSON: both kinds of tags are part
// of the format.
type Account struct {
	Index   uint64       `cbor:"1,keyasint,omitempty" json:"Index"`   // of the log entry that changed it last
	Granted uint64       `cbor:"2,keyasint,omitempty" json:"Granted"` // rights from the bank
	Fenced  bool         `cbor:"3,keyasint,omitempty" json:"Fenced"`  // it is gone: it spends and gives nothing any more
	Settled bool         `cbor:"4,keyasint,omitempty" json:"Settled"` // what it held has gone back to the bank
	Folds   map[ID]int64 `cbor:"5,keyasint,omitempty" json:"Folds"`   // what it got from settled members less what it gave them
	Acked   uint64       `cbor:"6,keyasint,omitempty" json:"Acked"`   // beat that the bank's keeper has heard
}

// Item is a delta: a row, an account, or both, of one ID.
type Item struct {
	Of      ID       `cbor:"1,keyasint"`
	Row     *Row     `cbor:"2,keyasint,omitempty"`
	Account *Account `cbor:"3,keyasint,omitempty"`
}

// joinMax is the pointwise maximum. It gives a itself where that has all.
func joinMax[K comparable, V any](a, b map[K]V, join func(x, y V) (V, bool)) map[K]V {
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

func maxOf[T uint64 | int64](x, y T) (T, bool) { return max(x, y), y > x }

func maxPN(x, y PN) (PN, bool) {
	z := PN{max(x.Up, y.Up), max(x.Down, y.Down)}
	return z, z != x
}

func maxClosing(x, y Closing) (Closing, bool) {
	z := Closing{max(x.In, y.In), max(x.Out, y.Out)}
	return z, z != x
}

// Join gives the least row that is no older than either: what only grows is
// joined by the maximum, what a member says of the moment is that of the later
// beat.
func (r Row) Join(o Row) Row {
	if r.Beat < o.Beat {
		r, o = o, r
	}
	if r.Beat == o.Beat { // the same, or a fault of its writer's
		r.Spare, r.Need = max(r.Spare, o.Spare), max(r.Need, o.Need)
	}
	r.Closed = joinMax(r.Closed, o.Closed, maxClosing)
	r.Given = joinMax(r.Given, o.Given, maxOf[uint64])
	r.Counts = joinMax(r.Counts, o.Counts, maxPN)
	return r
}

// Join gives the account of the later log entry, with the higher Acked.
func (a Account) Join(o Account) Account {
	acked := max(a.Acked, o.Acked)
	if a.Index < o.Index {
		a, o = o, a
	}
	if a.Index == o.Index { // the same, but for what is told without the log
		a.Granted, a.Fenced, a.Settled = max(a.Granted, o.Granted), a.Fenced || o.Fenced, a.Settled || o.Settled
		a.Folds = joinMax(a.Folds, o.Folds, maxOf[int64])
	}
	a.Acked = acked
	return a
}

// State is all that a member knows. Its rows and accounts are replaced, never
// written into, so states may share them.
type State struct {
	Rows     map[ID]*Row
	Accounts map[ID]*Account
}

// NewState makes an empty state.
func NewState() State { return State{map[ID]*Row{}, map[ID]*Account{}} }

// Join takes an item in. It gives what of it was news, as it stands now; false
// where nothing was.
func (s State) Join(i Item) (Item, bool) {
	out := Item{Of: i.Of}
	if i.Row != nil {
		if was := s.Rows[i.Of]; was == nil {
			out.Row = i.Row
		} else if !was.covers(i.Row) {
			if i.Row.covers(was) {
				out.Row = i.Row
			} else {
				row := was.Join(*i.Row)
				out.Row = &row
			}
		}
		if out.Row != nil {
			s.Rows[i.Of] = out.Row
		}
	}
	if i.Account != nil {
		was := s.Accounts[i.Of]
		if was == nil {
			out.Account = i.Account
		} else if joined := was.Join(*i.Account); !joined.same(was) {
			out.Account = &joined
		}
		if out.Account != nil {
			s.Accounts[i.Of] = out.Account
		}
	}
	return out, out.Row != nil || out.Account != nil
}

// covers tells whether a row has all that another has.
func (r *Row) covers(o *Row) bool {
	if r == o {
		return true
	}
	if r.Beat < o.Beat || r.Beat == o.Beat && (r.Spare < o.Spare || r.Need < o.Need) {
		return false
	}
	for id, c := range o.Closed {
		if x, ok := r.Closed[id]; !ok || x.In < c.In || x.Out < c.Out {
			return false
		}
	}
	for id, n := range o.Given {
		if x, ok := r.Given[id]; !ok || x < n {
			return false
		}
	}
	for name, c := range o.Counts {
		if x, ok := r.Counts[name]; !ok || x.Up < c.Up || x.Down < c.Down {
			return false
		}
	}
	return true
}

func (a *Account) same(o *Account) bool {
	return a.Index == o.Index && a.Granted == o.Granted && a.Fenced == o.Fenced && a.Settled == o.Settled &&
		a.Acked == o.Acked && maps.Equal(a.Folds, o.Folds)
}

// Total is a count over all members and lives that are known.
func (s State) Total(name string) int64 {
	var up, down uint64
	for _, r := range s.Rows {
		up, down = up+r.Counts[name].Up, down+r.Counts[name].Down
	}
	return int64(up - down)
}
