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
	return &Member{self: self, timing: timing, state: NewState(), rng: rng, stale: true, changed: true}, nil
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
	for id, row := range m.state.Rows {
		if _, folded := a.Folds[id]; folded || id == m.self {
			continue
		}
		in := row.Given[m.self]
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
	if now >= m.until || m.used >= m.Rights() {
		m.refused++
		return false
	}
	m.used++
	m.peak = max(m.peak, m.used)
	return true
}

// Put puts one back.
func (m *Member) Put() { m.used-- }

// Used is what is in hand.
func (m *Member) Used() uint64 { return m.used }

// Count adds to a count.
func (m *Member) Count(name string, up, down uint64) {
	m.row.Counts = maps.Clone(m.row.Counts)
	if m.row.Counts == nil {
		m.row.Counts = map[string]PN{}
	}
	c := m.row.Counts[name]
	m.row.Counts[name] = PN{c.Up + up, c.Down + down}
	m.changed = true
}

// wantMemory is the share of the last tick's want that the next one keeps: it
// rises at once and falls slowly, so that rights don't wander with each gap.
const wantMemory = 0.9

// Tick has the member give what it can spare to those that lack, and gives
// its row where there is something new to say; else nil. It is to be called
// steadily, a few times a second.
func (m *Member) Tick(now time.Duration) *Item {
	m.want = max(float64(m.peak)+min(float64(m.refused), max(4, float64(m.peak))), m.want*wantMemory)
	m.peak, m.refused = m.used, 0
	if m.Fenced() {
		return nil
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
		spare -= m.give(spare)
	}
	if differs(spare, m.row.Spare) || differs(need, m.row.Need) {
		m.row.Spare, m.row.Need, m.changed = spare, need, true
	}
	if !m.changed && now-m.said < m.timing.Beat && m.row.Beat > 0 {
		return nil
	}
	m.changed = false
	m.said = now
	m.row.Beat++
	m.beats = append(m.beats, beat{m.row.Beat, now})
	if len(m.beats) > mostBeats { // the oldest is of little use by now
		m.beats = slices.Delete(m.beats, 1, 2)
	}
	row := m.row
	m.state.Rows[m.self] = &row
	return &Item{Of: m.self, Row: &row}
}

// differs tells whether a figure has moved enough to be said again: by a
// quarter, or from or to nothing.
func differs(now, said uint64) bool {
	return (now == 0) != (said == 0) || max(now, said)-min(now, said) > said/4
}

// mostBeats is how many beats are remembered as not acked.
const mostBeats = 256

// give gives spare rights away, and how many it gave. All that can spare give
// the same part of it, as much as makes up what all lack, each to a member drawn
// by what that lacks.
func (m *Member) give(spare uint64) (given uint64) {
	if spare == 0 {
		return 0
	}
	var needs, spares uint64
	var ids []ID
	for id, row := range m.state.Rows {
		a := m.state.Accounts[id]
		if id == m.self || a == nil || a.Index == 0 || a.Fenced {
			continue // Index 0: the bank, which may not know of it, would not ask it for a report
		}
		spares += row.Spare
		if _, partner := m.row.Given[id]; row.Need > 0 && (partner || len(m.row.Given) < mostPartners) {
			needs += row.Need
			ids = append(ids, id)
		}
	}
	if needs == 0 {
		return 0
	}
	slices.SortFunc(ids, compareIDs) // maps have no order, draws must
	part := float64(spare) * min(1, float64(needs)/float64(spares+spare))
	for left := uint64(part + m.rng.Float64()); left > 0; { // rounded by a draw, so that small parts add up
		at := m.rng.Uint64N(needs)
		i := 0
		for ; at >= m.state.Rows[ids[i]].Need; i++ {
			at -= m.state.Rows[ids[i]].Need
		}
		n := min(left, m.state.Rows[ids[i]].Need)
		if _, partner := m.row.Given[ids[i]]; !partner && len(m.row.Given) >= mostPartners {
			break
		}
		m.row.Given = maps.Clone(m.row.Given)
		if m.row.Given == nil {
			m.row.Given = map[ID]uint64{}
		}
		m.row.Given[ids[i]] += n
		left, given = left-n, given+n
		m.changed, m.stale = true, true
	}
	return given
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Life, b.Life))
}

// Merge takes an item in, from anybody, and gives what of it was news and is
// to be passed on; false where nothing was.
func (m *Member) Merge(i Item, now time.Duration) (Item, bool) {
	if i.Of == m.self {
		i.Row = nil // nobody knows better
	}
	was := m.state.Rows[i.Of]
	news, ok := m.state.Join(i)
	if !ok {
		return news, false
	}
	if news.Row != nil && (was == nil || was.Given[m.self] != news.Row.Given[m.self]) || news.Account != nil {
		m.stale = true
	}
	if i.Of == m.self {
		m.acked(m.state.Accounts[m.self].Acked)
		for id := range m.row.Closed {
			m.close(id, m.state.Accounts[id])
		}
	} else if a := m.state.Accounts[i.Of]; a != nil && a.Fenced && news.Account != nil {
		m.close(i.Of, a)
	}
	return news, true
}

func (m *Member) folded(id ID) bool {
	a := m.state.Accounts[m.self]
	if a == nil {
		return false
	}
	_, ok := a.Folds[id]
	return ok
}

// acked notes that the keeper has heard a beat.
func (m *Member) acked(n uint64) {
	for len(m.beats) > 0 && m.beats[0].n <= n {
		m.until = max(m.until, m.beats[0].at+m.timing.stop())
		m.beats = m.beats[1:]
	}
}

// close reports what the member has to do with one that was fenced: from now
// on it takes no more of its gifts in. The report stays until it has done its
// work, as long as it says anything.
func (m *Member) close(id ID, a *Account) {
	c, closed := m.row.Closed[id]
	switch {
	case !closed && !a.Settled:
		if row := m.state.Rows[id]; row != nil {
			c.In = row.Given[m.self]
		}
		c.Out = m.row.Given[id]
		m.row.Closed = maps.Clone(m.row.Closed)
		if m.row.Closed == nil {
			m.row.Closed = map[ID]Closing{}
		}
		m.row.Closed[id] = c
		m.changed, m.stale = true, true
	case closed && a.Settled && (c == (Closing{}) || m.folded(id)):
		m.row.Closed = maps.Clone(m.row.Closed)
		delete(m.row.Closed, id)
		m.changed = true
	}
}
