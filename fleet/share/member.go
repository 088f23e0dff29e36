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
const mostPartners = 256

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

	givers map[ID]struct{} // who has given it anything
	asked  map[ID]uint64   // who has asked it for how much since the last tick
	// Who may have some to spare, by what each said last, and its place there: those
	// that were asked are left out until they give, or say so again.
	sparing   []ID
	sparingAt map[ID]int
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
		givers: map[ID]struct{}{}, asked: map[ID]uint64{}, sparingAt: map[ID]int{}}, nil
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

// Ask is what a member that lacks rights says to Asks others, drawn anew each
// time, so that what it costs does not grow with the fleet: one that can spare
// some gives its part. It is not passed on. In CBOR it is an array: the order of the
// fields is part of the format.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Of      ID
	Need    uint64
	Account Account // the asker's, so that one who has not heard of it may give
}

// Asks is how many others an Ask goes to: each gives so many parts of it at most.
const Asks = 3

// Said is what a member has to say at a tick.
type Said struct {
	All   *Item  // to all, and soon to those who may keep the bank; nil for nothing
	Gifts []Gift // to one each
	Ask   *Ask   // to Asks others; nil where it lacks nothing
	// AskOf are those of whom it is known that they had some to spare; the rest of
	// Asks is drawn from all.
	AskOf []ID
}

// Tick has the member give what it can spare to those that asked, and gives what
// it has to say. It is to be called steadily, a few times a second.
func (m *Member) Tick(now time.Duration) (said Said) {
	m.want = max(float64(m.peak)+min(float64(m.refused), max(4, float64(m.peak))), m.want*wantMemory)
	m.peak, m.refused = m.used, 0
	if m.Fenced() {
		return said
	}
	rights := m.Rights()
	want := uint64(m.want + 0.5)
	var spare, need uint64
	if keep := max(want, m.used); rights > keep {
		spare = rights - keep
	} else {
		need = want - min(want, rights)
	}
	if now < m.until { // one that hears nothing gives nothing, and has no use for more
		said.Gifts = m.give(spare)
		for _, g := range said.Gifts {
			spare -= g.Item.Row.Given[g.To] - m.state.Rows[m.self].givenTo(g.To)
		}
		if a := m.state.Accounts[m.self]; need > 0 && a != nil && a.Index > 0 {
			said.Ask = &Ask{Of: m.self, Need: need, Account: *a}
			for len(said.AskOf) < Asks-1 && len(m.sparing) > 0 {
				id := m.sparing[m.rng.IntN(len(m.sparing))]
				m.spares(id, false)
				said.AskOf = append(said.AskOf, id)
			}
		}
	}
	clear(m.asked)
	quiet := now - m.said
	if m.row.Beat > 0 && !m.changed && quiet < m.timing.Beat && (quiet < m.timing.Beat/spareSoon || !differs(spare, m.row.Spare)) {
		if len(said.Gifts) > 0 { // the whole row, for those who ask later
			m.keep()
		}
		return said
	}
	m.row.Spare, m.row.Need, m.changed, m.said = spare, need, false, now
	m.row.Beat++
	m.beats = append(m.beats, beat{m.row.Beat, now})
	if len(m.beats) > mostBeats { // the oldest is of little use by now
		m.beats = slices.Delete(m.beats, 1, 2)
	}
	m.keep()
	row := m.row
	row.Given = nil
	said.All = &Item{Of: m.self, Row: &row}
	return said
}

// spareSoon is how many times as often as a beat what can be spared is said, at
// most, while it changes.
const spareSoon = 4

// differs tells whether a figure has moved enough to be said again: up by a
// quarter, or to nothing.
func differs(now, said uint64) bool { return now > said+said/4 || now == 0 && said > 0 }

// spares notes whether another may have some to spare.
func (m *Member) spares(id ID, on bool) {
	at, there := m.sparingAt[id]
	switch {
	case on && !there && id != m.self:
		m.sparingAt[id] = len(m.sparing)
		m.sparing = append(m.sparing, id)
	case !on && there:
		last := m.sparing[len(m.sparing)-1]
		m.sparing[at], m.sparingAt[last] = last, at
		m.sparing = m.sparing[:len(m.sparing)-1]
		delete(m.sparingAt, id)
	}
}

// Asked takes in that another asks for rights: until the next tick.
func (m *Member) Asked(a Ask, now time.Duration) {
	if a.Of == m.self {
		return
	}
	m.Merge(Item{Of: a.Of, Account: &a.Account}, now)
	m.asked[a.Of] = a.Need
}

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

// mostBeats is how many beats are remembered as not acked.
const mostBeats = 256

// give gives spare rights to those that asked: to each its part of what it lacks,
// as long as there are any, in an order that is drawn.
func (m *Member) give(spare uint64) (gifts []Gift) {
	if spare == 0 || len(m.asked) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(m.asked), compareIDs) // maps have no order, draws must
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		a := m.state.Accounts[id]
		if _, partner := m.row.Given[id]; spare == 0 || a == nil || a.Index == 0 || a.Fenced || !partner && len(m.row.Given) >= mostPartners {
			continue // Index 0: the bank, which may not know of it, would not ask it for a report
		}
		n := min(spare, (m.asked[id]+Asks-1)/Asks)
		spare -= n
		m.row.Given = maps.Clone(m.row.Given)
		if m.row.Given == nil {
			m.row.Given = map[ID]uint64{}
		}
		m.row.Given[id] += n
		m.stale = true
		gifts = append(gifts, Gift{id, Item{Of: m.self, Row: &Row{Given: map[ID]uint64{id: m.row.Given[id]}}}})
	}
	return gifts
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Life, b.Life))
}

// Merge takes an item in, from anybody, and gives what of it was news and is
// to be passed on; false where nothing is. What members gave each other is not,
// as it matters to the two alone, nor is the account of one that is not fenced,
// as the bank's keeper tells it to that one.
func (m *Member) Merge(i Item, now time.Duration) (Item, bool) {
	if i.Of == m.self {
		i.Row = nil // nobody knows better
	}
	was := m.state.Rows[i.Of]
	if a := m.state.Accounts[i.Of]; (i.Row == nil || was != nil && was.covers(i.Row)) && (i.Account == nil || a == i.Account) {
		return Item{Of: i.Of}, false // most of what comes has come before
	}
	news, ok := m.state.Join(i)
	if !ok {
		return news, false
	}
	if now := m.state.Rows[i.Of]; i.Of != m.self && now != nil {
		if was == nil || was.Beat < now.Beat {
			a := m.state.Accounts[i.Of]
			m.spares(i.Of, now.Spare > 0 && (a == nil || !a.Fenced))
		}
		if given := now.givenTo(m.self); given > was.givenTo(m.self) {
			m.givers[i.Of] = struct{}{}
			m.spares(i.Of, true)
		}
	}
	if news.Row != nil && (was == nil || was.Given[m.self] != news.Row.Given[m.self]) || news.Account != nil {
		m.stale = true
	}
	if i.Of == m.self {
		m.acked(m.state.Accounts[m.self].Acked)
	} else if a := m.state.Accounts[i.Of]; a != nil && a.Fenced && news.Account != nil {
		m.close(i.Of, a)
	}
	if news.Account != nil && !news.Account.Fenced {
		news.Account = nil
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
