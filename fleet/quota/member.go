package quota

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

	row     MemberState // its own, as it will be said next
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
	for _, fold := range a.SettledTransfers {
		n += fold
	}
	for id, out := range m.row.Transferred {
		if _, folded := a.SettledTransfers[id]; !folded {
			n -= int64(out)
		}
	}
	for id := range m.givers {
		if _, folded := a.SettledTransfers[id]; folded {
			continue
		}
		in := m.state.Members[id].Transferred[m.self]
		if c, closed := m.row.TransferReports[id]; closed {
			in = c.Received
		} else if other := m.state.Accounts[id]; other != nil && other.Fenced {
			continue // closed with nothing
		}
		n += int64(in)
	}
	return n
}

// TryAcquire puts one more in hand, if the member may at a time. What is in hand must
// be put back within Timing.Hold.
func (m *Member) TryAcquire(now time.Duration) bool {
	if m.used >= m.Available(now) {
		m.refused++
		return false
	}
	m.used++
	m.peak = max(m.peak, m.used)
	return true
}

// Available is how much the member may have in hand at a time: none, whatever its
// rights, where it has heard nothing for too long.
func (m *Member) Available(now time.Duration) uint64 {
	if now >= m.until {
		return 0
	}
	return m.Rights()
}

// ReportDemand tells how much the member would have in hand if only it might, where its
// user keeps to May and so is never refused.
func (m *Member) ReportDemand(n uint64) { m.refused = max(m.refused, n-min(n, m.used)) }

// Release puts one back.
func (m *Member) Release() { m.used-- }

// InUse is what is in hand.
func (m *Member) InUse() uint64 { return m.used }

// AddToCounter adds to a count; the next beat tells of it.
func (m *Member) AddToCounter(name string, up, down uint64) {
	m.row.Counters = maps.Clone(m.row.Counters)
	if m.row.Counters == nil {
		m.row.Counters = map[string]PNCounter{}
	}
	c := m.row.Counters[name]
	m.row.Counters[name] = PNCounter{c.Increments + up, c.Decrements + down}
	m.keep()
}

// wantMemory is the share of the last tick's want that the next one keeps: it
// rises at once and falls slowly, so that rights don't wander with each gap.
const wantMemory = 0.9

// Transfer is a part of the member's row that matters to one other only: what it
// has given it. It goes to that one directly; should it be lost, the whole row
// tells of it later.
type Transfer struct {
	To    ID
	Delta Delta
}

// TransferRequest is what a member that lacks rights says to Asks others, drawn anew each
// time, so that what it costs does not grow with the fleet: one that can spare
// some gives its part. It is not passed on. In CBOR it is an array: the order of the
// fields is part of the format.
type TransferRequest struct {
	_       struct{} `cbor:",toarray"`
	From    ID
	Amount  uint64
	Account Account // the asker's, so that one who has not heard of it may give
}

// RequestFanout is how many others an Ask goes to: each gives so many parts of it at most.
const RequestFanout = 3

// Messages is what a member has to say at a tick.
type Messages struct {
	Broadcast *Delta           // to all, and soon to those who may keep the bank; nil for nothing
	Transfers []Transfer       // to one each
	Request   *TransferRequest // to Asks others; nil where it lacks nothing
	// RequestTo are those of whom it is known that they had some to spare; the rest of
	// Asks is drawn from all.
	RequestTo []ID
}

// Tick has the member give what it can spare to those that asked, and gives what
// it has to say. It is to be called steadily, a few times a second.
func (m *Member) Tick(now time.Duration) (said Messages) {
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
		said.Transfers = m.give(spare)
		for _, g := range said.Transfers {
			spare -= g.Delta.MemberState.Transferred[g.To] - m.state.Members[m.self].givenTo(g.To)
		}
		if a := m.state.Accounts[m.self]; need > 0 && a != nil && a.LogIndex > 0 {
			said.Request = &TransferRequest{From: m.self, Amount: need, Account: *a}
			for len(said.RequestTo) < RequestFanout-1 && len(m.sparing) > 0 {
				id := m.sparing[m.rng.IntN(len(m.sparing))]
				m.spares(id, false)
				said.RequestTo = append(said.RequestTo, id)
			}
		}
	}
	clear(m.asked)
	quiet := now - m.said
	if m.row.Heartbeat > 0 && !m.changed && quiet < m.timing.HeartbeatInterval && (quiet < m.timing.HeartbeatInterval/spareSoon || !differs(spare, m.row.Surplus)) {
		if len(said.Transfers) > 0 { // the whole row, for those who ask later
			m.keep()
		}
		return said
	}
	m.row.Surplus, m.row.Shortfall, m.changed, m.said = spare, need, false, now
	m.row.Heartbeat++
	m.beats = append(m.beats, beat{m.row.Heartbeat, now})
	if len(m.beats) > mostBeats { // the oldest is of little use by now
		m.beats = slices.Delete(m.beats, 1, 2)
	}
	m.keep()
	row := m.row
	row.Transferred = nil
	said.Broadcast = &Delta{ID: m.self, MemberState: &row}
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

// HandleRequest takes in that another asks for rights: until the next tick.
func (m *Member) HandleRequest(a TransferRequest, now time.Duration) {
	if a.From == m.self {
		return
	}
	m.Merge(Delta{ID: a.From, Account: &a.Account}, now)
	m.asked[a.From] = a.Amount
}

// keep puts the member's row into its state.
func (m *Member) keep() {
	row := m.row
	m.state.Members[m.self] = &row
}

func (r *MemberState) givenTo(id ID) uint64 {
	if r == nil {
		return 0
	}
	return r.Transferred[id]
}

// mostBeats is how many beats are remembered as not acked.
const mostBeats = 256

// give gives spare rights to those that asked: to each its part of what it lacks,
// as long as there are any, in an order that is drawn.
func (m *Member) give(spare uint64) (gifts []Transfer) {
	if spare == 0 || len(m.asked) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(m.asked), compareIDs) // maps have no order, draws must
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		a := m.state.Accounts[id]
		if _, partner := m.row.Transferred[id]; spare == 0 || a == nil || a.LogIndex == 0 || a.Fenced || !partner && len(m.row.Transferred) >= mostPartners {
			continue // Index 0: the bank, which may not know of it, would not ask it for a report
		}
		n := min(spare, (m.asked[id]+RequestFanout-1)/RequestFanout)
		spare -= n
		m.row.Transferred = maps.Clone(m.row.Transferred)
		if m.row.Transferred == nil {
			m.row.Transferred = map[ID]uint64{}
		}
		m.row.Transferred[id] += n
		m.stale = true
		gifts = append(gifts, Transfer{id, Delta{ID: m.self, MemberState: &MemberState{Transferred: map[ID]uint64{id: m.row.Transferred[id]}}}})
	}
	return gifts
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Merge takes an item in, from anybody, and gives what of it was news and is
// to be passed on; false where nothing is. What members gave each other is not,
// as it matters to the two alone, nor is the account of one that is not fenced,
// as the bank's keeper tells it to that one.
func (m *Member) Merge(i Delta, now time.Duration) (Delta, bool) {
	if i.ID == m.self {
		i.MemberState = nil // nobody knows better
	}
	was := m.state.Members[i.ID]
	if a := m.state.Accounts[i.ID]; (i.MemberState == nil || was != nil && was.covers(i.MemberState)) && (i.Account == nil || a == i.Account) {
		return Delta{ID: i.ID}, false // most of what comes has come before
	}
	news, ok := m.state.Join(i)
	if !ok {
		return news, false
	}
	if now := m.state.Members[i.ID]; i.ID != m.self && now != nil {
		if was == nil || was.Heartbeat < now.Heartbeat {
			a := m.state.Accounts[i.ID]
			m.spares(i.ID, now.Surplus > 0 && (a == nil || !a.Fenced))
		}
		if given := now.givenTo(m.self); given > was.givenTo(m.self) {
			m.givers[i.ID] = struct{}{}
			m.spares(i.ID, true)
		}
	}
	if news.MemberState != nil && (was == nil || was.Transferred[m.self] != news.MemberState.Transferred[m.self]) || news.Account != nil {
		m.stale = true
	}
	if i.ID == m.self {
		m.acked(m.state.Accounts[m.self].AckedHeartbeat)
	} else if a := m.state.Accounts[i.ID]; a != nil && a.Fenced && news.Account != nil {
		m.close(i.ID, a)
	}
	if news.Account != nil && !news.Account.Fenced {
		news.Account = nil
	}
	switch {
	case news.MemberState == nil || i.MemberState.Heartbeat == 0 || was != nil && was.Heartbeat >= i.MemberState.Heartbeat:
		news.MemberState = nil
	case i.MemberState.Transferred == nil:
		news.MemberState = i.MemberState // as it came: what is told to all is one row for all who keep it
	default:
		said := *i.MemberState
		said.Transferred = nil
		news.MemberState = &said
	}
	return news, news.MemberState != nil || news.Account != nil
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
	if _, closed := m.row.TransferReports[id]; closed || a.Reclaimed {
		return
	}
	c := TransferReport{Sent: m.row.Transferred[id]}
	if row := m.state.Members[id]; row != nil {
		c.Received = row.Transferred[m.self]
	}
	m.row.TransferReports = maps.Clone(m.row.TransferReports)
	if m.row.TransferReports == nil {
		m.row.TransferReports = map[ID]TransferReport{}
	}
	m.row.TransferReports[id] = c
	m.changed, m.stale = true, true
}
