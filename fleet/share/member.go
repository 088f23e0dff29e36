package share

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// mostPartners is how many members one gives rights to in its life, at most: it
// bounds its row.
const mostPartners = 64

// Member is one life of a member: what it knows, holds and has in hand. It is
// not safe for concurrent use.
type Member struct {
	self   ID
	timing Timing
	state  State
	rng    *rand.Rand

	row     Row // its own, as it will be said next
	changed bool
	said    time.Duration
	beats   []beat // said and not acked, oldest first
	until   time.Duration

	used    uint64 // in hand
	peak    uint64 // most in hand since the last tick
	refused uint64 // since the last tick
	want    float64
	rights  int64
	stale   bool // rights need reckoning

	// What a member looks at often is kept as items come, so that a large fleet
	// costs no more than a small one: who has given it anything, what all others
	// that the bank knows can spare, and who of them lacks how much.
	givers  map[ID]struct{}
	spares  uint64
	lacking map[ID]uint64
}

type beat struct {
	n  uint64
	at time.Duration
}

// NewMember makes a member that holds nothing yet. rng draws whom it gives to.
func NewMember(self ID, timing Timing, rng *rand.Rand) (*Member, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Member{self: self, timing: timing, state: NewState(), rng: rng, stale: true, changed: true,
		givers: map[ID]struct{}{}, lacking: map[ID]uint64{}}, nil
}

// State is what the member knows; it must not be changed.
func (m *Member) State() State { return m.state }

// Fenced tells whether the fleet has given this life up: a new one must begin.
func (m *Member) Fenced() bool {
	a := m.state.Accounts[m.self]
	return a != nil && a.Fenced
}

// Rights is how much the member may have in hand by its own knowledge, which
// may lack some of what others gave it.
func (m *Member) Rights() uint64 {
	if m.stale {
		m.stale = false
		m.rights = m.reckon()
	}
	return uint64(max(m.rights, 0))
}

func (m *Member) reckon() int64 {
	a := m.state.Accounts[m.self]
	if a == nil || a.Fenced {
		return 0
	}
	n := int64(a.Granted)
	for _, fold := range a.Folds {
		n += fold
	}
	for id, out := range m.row.Given {
		if _, folded := a.Folds[id]; !folded {
			n -= int64(out)
		}
	}
	for id := range m.givers {
		if _, folded := a.Folds[id]; folded {
			continue
		}
		in := m.state.Rows[id].Given[m.self]
		if c, closed := m.row.Closed[id]; closed {
			in = c.In
		} else if other := m.state.Accounts[id]; other != nil && other.Fenced {
			continue // closed with nothing
		}
		n += int64(in)
	}
	return n
}

// Take puts one more in hand, if the member may at a time. What is in hand must
// be put back within Timing.Hold.
func (m *Member) Take(now time.Duration) bool {
	if m.used >= m.May(now) {
		m.refused++
		return false
	}
	m.used++
	m.peak = max(m.peak, m.used)
	return true
}

// May is how much the member may have in hand at a time: none, whatever its
// rights, where it has heard nothing for too long.
func (m *Member) May(now time.Duration) uint64 {
	if now >= m.until {
		return 0
	}
	return m.Rights()
}

// Want tells how much the member would have in hand if only it might, where its
// user keeps to May and so is never refused.
func (m *Member) Want(n uint64) { m.refused = max(m.refused, n-min(n, m.used)) }

// Put puts one back.
func (m *Member) Put() { m.used-- }

// Used is what is in hand.
func (m *Member) Used() uint64 { return m.used }

// Count adds to a count; the next beat tells of it.
func (m *Member) Count(name string, up, down uint64) {
	m.row.Counts = maps.Clone(m.row.Counts)
	if m.row.Counts == nil {
		m.row.Counts = map[string]PN{}
	}
	c := m.row.Counts[name]
	m.row.Counts[name] = PN{c.Up + up, c.Down + down}
	m.keep()
}

// wantMemory is the share of the last tick's want that the next one keeps: it
// rises at once and falls slowly, so that rights don't wander with each gap.
const wantMemory = 0.9

// Gift is a part of the member's row that matters to one other only: what it
// has given it. It goes to that one directly; should it be lost, the whole row
// tells of it later.
type Gift struct {
	To   ID
	Item Item
}

// Tick has the member give what it can spare to those that lack, and gives what
// it has to say: to all, without what it has given, where there is something
// new (else nil), and to single others. It is to be called steadily, a few times
// a second. How often it speaks goes with Timing.Beat: what it lacks is said
// soon, what it can spare later.
func (m *Member) Tick(now time.Duration) (all *Item, gifts []Gift) {
	m.want = max(float64(m.peak)+min(float64(m.refused), max(4, float64(m.peak))), m.want*wantMemory)
	m.peak, m.refused = m.used, 0
	if m.Fenced() {
		return nil, nil
	}
	rights := m.Rights()
	want := uint64(m.want + 0.5)
	var spare, need uint64
	if keep := max(want, m.used); rights > keep {
		spare = rights - keep
	} else {
		need = want - min(want, rights)
	}
	if now < m.until { // one that hears nothing gives nothing either
		gifts = m.give(spare)
		for _, g := range gifts {
			spare -= g.Item.Row.Given[g.To] - m.state.Rows[m.self].givenTo(g.To)
		}
	}
	quiet := now - m.said
	switch {
	case m.row.Beat == 0, m.changed, quiet >= m.timing.Beat:
	case differs(need, m.row.Need) && quiet >= m.timing.Beat/needSoon:
	case differs(spare, m.row.Spare) && quiet >= m.timing.Beat/spareSoon:
	default:
		if len(gifts) > 0 { // the whole row, for those who ask later
			m.keep()
		}
		return nil, gifts
	}
	m.row.Spare, m.row.Need, m.changed, m.said = spare, need, false, now
	m.row.Beat++
	m.beats = append(m.beats, beat{m.row.Beat, now})
	if len(m.beats) > mostBeats { // the oldest is of little use by now
		m.beats = slices.Delete(m.beats, 1, 2)
	}
	m.keep()
	said := m.row
	said.Given = nil
	return &Item{Of: m.self, Row: &said}, gifts
}

// What has changed is said so many times as often as a beat, at most.
const (
	needSoon  = 8
	spareSoon = 2
)

// keep puts the member's row into its state.
func (m *Member) keep() {
	row := m.row
	m.state.Rows[m.self] = &row
}

func (r *Row) givenTo(id ID) uint64 {
	if r == nil {
		return 0
	}
	return r.Given[id]
}

// differs tells whether a figure has moved enough to be said again: by a
// quarter, or from or to nothing.
func differs(now, said uint64) bool {
	return (now == 0) != (said == 0) || max(now, said)-min(now, said) > said/4
}

// mostBeats is how many beats are remembered as not acked.
const mostBeats = 256

// give gives spare rights away. All that can spare give the same part of it, as
// much as makes up what all lack, each to a member drawn by what that lacks.
func (m *Member) give(spare uint64) (gifts []Gift) {
	if spare == 0 {
		return nil
	}
	var needs uint64
	var ids []ID
	for id, need := range m.lacking {
		if _, partner := m.row.Given[id]; partner || len(m.row.Given) < mostPartners {
			needs += need
			ids = append(ids, id)
		}
	}
	if needs == 0 {
		return nil
	}
	slices.SortFunc(ids, compareIDs) // maps have no order, draws must
	part := float64(spare) * min(1, float64(needs)/float64(m.spares+spare))
	for left := uint64(part + m.rng.Float64()); left > 0; { // rounded by a draw, so that small parts add up
		at := m.rng.Uint64N(needs)
		i := 0
		for ; at >= m.lacking[ids[i]]; i++ {
			at -= m.lacking[ids[i]]
		}
		n := min(left, m.lacking[ids[i]])
		if _, partner := m.row.Given[ids[i]]; !partner && len(m.row.Given) >= mostPartners {
			break
		}
		m.row.Given = maps.Clone(m.row.Given)
		if m.row.Given == nil {
			m.row.Given = map[ID]uint64{}
		}
		m.row.Given[ids[i]] += n
		left -= n
		m.stale = true
		total := map[ID]uint64{ids[i]: m.row.Given[ids[i]]}
		gifts = slices.DeleteFunc(gifts, func(g Gift) bool { return g.To == ids[i] })
		gifts = append(gifts, Gift{ids[i], Item{Of: m.self, Row: &Row{Given: total}}})
	}
	return gifts
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Life, b.Life))
}

// Merge takes an item in, from anybody, and gives what of it was news and is
// to be passed on; false where nothing is. What members gave each other is not:
// it matters to the two alone.
func (m *Member) Merge(i Item, now time.Duration) (Item, bool) {
	if i.Of == m.self {
		i.Row = nil // nobody knows better
	}
	was := m.state.Rows[i.Of]
	if a := m.state.Accounts[i.Of]; (i.Row == nil || was != nil && was.covers(i.Row)) && (i.Account == nil || a == i.Account) {
		return Item{Of: i.Of}, false // most of what comes has come before
	}
	spare, _ := m.openTo(i.Of)
	news, ok := m.state.Join(i)
	if !ok {
		return news, false
	}
	m.tally(i.Of, spare)
	if news.Row != nil && (was == nil || was.Given[m.self] != news.Row.Given[m.self]) || news.Account != nil {
		m.stale = true
	}
	if i.Of == m.self {
		m.acked(m.state.Accounts[m.self].Acked)
	} else if a := m.state.Accounts[i.Of]; a != nil && a.Fenced && news.Account != nil {
		m.close(i.Of, a)
	}
	switch {
	case news.Row == nil || i.Row.Beat == 0 || was != nil && was.Beat >= i.Row.Beat:
		news.Row = nil
	case i.Row.Given == nil:
		news.Row = i.Row // as it came: what is told to all is one row for all who keep it
	default:
		said := *i.Row
		said.Given = nil
		news.Row = &said
	}
	return news, news.Row != nil || news.Account != nil
}

// openTo gives what another can spare and lacks, both 0 where nothing may be
// given to it: the bank would not ask one that it does not know (Index 0) for a
// report, and one that was fenced takes nothing in any more.
func (m *Member) openTo(id ID) (spare, need uint64) {
	row, a := m.state.Rows[id], m.state.Accounts[id]
	if id == m.self || row == nil || a == nil || a.Index == 0 || a.Fenced {
		return 0, 0
	}
	return row.Spare, row.Need
}

// tally takes an ID's news into what is kept, by what it could spare before.
func (m *Member) tally(id ID, before uint64) {
	spare, need := m.openTo(id)
	m.spares += spare - before
	if need > 0 {
		m.lacking[id] = need
	} else {
		delete(m.lacking, id)
	}
	if row := m.state.Rows[id]; id != m.self && row.givenTo(m.self) > 0 {
		m.givers[id] = struct{}{}
	}
}

// acked notes that the keeper has heard a beat.
func (m *Member) acked(n uint64) {
	for len(m.beats) > 0 && m.beats[0].n <= n {
		m.until = max(m.until, m.beats[0].at+m.timing.stop())
		m.beats = m.beats[1:]
	}
}

// close reports what the member has to do with one that was fenced: from now
// on it takes no more of its gifts in.
func (m *Member) close(id ID, a *Account) {
	if _, closed := m.row.Closed[id]; closed || a.Settled {
		return
	}
	c := Closing{Out: m.row.Given[id]}
	if row := m.state.Rows[id]; row != nil {
		c.In = row.Given[m.self]
	}
	m.row.Closed = maps.Clone(m.row.Closed)
	if m.row.Closed == nil {
		m.row.Closed = map[ID]Closing{}
	}
	m.row.Closed[id] = c
	m.changed, m.stale = true, true
}
