package quota

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// maxTransferPartners is how many members one gives rights to in its life, at most: it
// bounds its row.
const maxTransferPartners = 256

// Member is one life of a member: what it knows, holds and has in hand. It is
// not safe for concurrent use.
type Member struct {
	id     ID
	timing Timing
	state  State
	rng    *rand.Rand

	own         MemberState // its own, as it will be said next
	unpublished bool
	publishedAt time.Duration
	unacked     []sentHeartbeat // said and not acked, oldest first
	spendUntil  time.Duration

	inUse       uint64 // in hand
	peakInUse   uint64 // most in hand since the last tick
	unmet       uint64 // since the last tick
	demand      float64
	rights      int64
	rightsStale bool // rights need reckoning

	senders  map[ID]struct{} // who has given it anything
	requests map[ID]uint64   // who has asked it for how much since the last tick
	// Who may have some to spare, by what each said last, and its place there: those
	// that were asked are left out until they give, or say so again.
	surplusPeers []ID
	sparingAt    map[ID]int
}

type sentHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// NewMember makes a member that holds nothing yet. rng draws whom it gives to.
func NewMember(self ID, timing Timing, rng *rand.Rand) (*Member, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Member{id: self, timing: timing, state: NewState(), rng: rng, rightsStale: true, unpublished: true,
		senders: map[ID]struct{}{}, requests: map[ID]uint64{}, sparingAt: map[ID]int{}}, nil
}

// State is what the member knows; it must not be changed.
func (m *Member) State() State { return m.state }

// Fenced tells whether the fleet has given this life up: a new one must begin.
func (m *Member) Fenced() bool {
	a := m.state.Accounts[m.id]
	return a != nil && a.Fenced
}

// Rights is how much the member may have in hand by its own knowledge, which
// may lack some of what others gave it.
func (m *Member) Rights() uint64 {
	if m.rightsStale {
		m.rightsStale = false
		m.rights = m.computeRights()
	}
	return uint64(max(m.rights, 0))
}

func (m *Member) computeRights() int64 {
	a := m.state.Accounts[m.id]
	if a == nil || a.Fenced {
		return 0
	}
	n := int64(a.Granted)
	for _, fold := range a.SettledTransfers {
		n += fold
	}
	for id, out := range m.own.Transferred {
		if _, folded := a.SettledTransfers[id]; !folded {
			n -= int64(out)
		}
	}
	for id := range m.senders {
		if _, folded := a.SettledTransfers[id]; folded {
			continue
		}
		in := m.state.Members[id].Transferred[m.id]
		if c, closed := m.own.TransferReports[id]; closed {
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
	if m.inUse >= m.Available(now) {
		m.unmet++
		return false
	}
	m.inUse++
	m.peakInUse = max(m.peakInUse, m.inUse)
	return true
}

// Available is how much the member may have in hand at a time: none, whatever its
// rights, where it has heard nothing for too long.
func (m *Member) Available(now time.Duration) uint64 {
	if now >= m.spendUntil {
		return 0
	}
	return m.Rights()
}

// ReportDemand tells how much the member would have in hand if only it might, where its
// user keeps to May and so is never refused.
func (m *Member) ReportDemand(n uint64) { m.unmet = max(m.unmet, n-min(n, m.inUse)) }

// Release puts one back.
func (m *Member) Release() { m.inUse-- }

// InUse is what is in hand.
func (m *Member) InUse() uint64 { return m.inUse }

// AddToCounter adds to a count; the next beat tells of it.
func (m *Member) AddToCounter(name string, up, down uint64) {
	m.own.Counters = maps.Clone(m.own.Counters)
	if m.own.Counters == nil {
		m.own.Counters = map[string]PNCounter{}
	}
	c := m.own.Counters[name]
	m.own.Counters[name] = PNCounter{c.Increments + up, c.Decrements + down}
	m.storeOwnState()
}

// demandDecay is the share of the last tick's want that the next one keeps: it
// rises at once and falls slowly, so that rights don't wander with each gap.
const demandDecay = 0.9

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
	m.demand = max(float64(m.peakInUse)+min(float64(m.unmet), max(4, float64(m.peakInUse))), m.demand*demandDecay)
	m.peakInUse, m.unmet = m.inUse, 0
	if m.Fenced() {
		return said
	}
	rights := m.Rights()
	want := uint64(m.demand + 0.5)
	var spare, need uint64
	if keep := max(want, m.inUse); rights > keep {
		spare = rights - keep
	} else {
		need = want - min(want, rights)
	}
	if now < m.spendUntil { // one that hears nothing gives nothing, and has no use for more
		said.Transfers = m.transferSurplus(spare)
		for _, g := range said.Transfers {
			spare -= g.Delta.MemberState.Transferred[g.To] - m.state.Members[m.id].transferredTo(g.To)
		}
		if a := m.state.Accounts[m.id]; need > 0 && a != nil && a.LogIndex > 0 {
			said.Request = &TransferRequest{From: m.id, Amount: need, Account: *a}
			for len(said.RequestTo) < RequestFanout-1 && len(m.surplusPeers) > 0 {
				id := m.surplusPeers[m.rng.IntN(len(m.surplusPeers))]
				m.markSurplus(id, false)
				said.RequestTo = append(said.RequestTo, id)
			}
		}
	}
	clear(m.requests)
	quiet := now - m.publishedAt
	if m.own.Heartbeat > 0 && !m.unpublished && quiet < m.timing.HeartbeatInterval && (quiet < m.timing.HeartbeatInterval/surplusUpdatesPerHeartbeat || !surplusMoved(spare, m.own.Surplus)) {
		if len(said.Transfers) > 0 { // the whole row, for those who ask later
			m.storeOwnState()
		}
		return said
	}
	m.own.Surplus, m.own.Shortfall, m.unpublished, m.publishedAt = spare, need, false, now
	m.own.Heartbeat++
	m.unacked = append(m.unacked, sentHeartbeat{m.own.Heartbeat, now})
	if len(m.unacked) > maxUnackedHeartbeats { // the oldest is of little use by now
		m.unacked = slices.Delete(m.unacked, 1, 2)
	}
	m.storeOwnState()
	row := m.own
	row.Transferred = nil
	said.Broadcast = &Delta{ID: m.id, MemberState: &row}
	return said
}

// surplusUpdatesPerHeartbeat is how many times as often as a beat what can be spared is said, at
// most, while it changes.
const surplusUpdatesPerHeartbeat = 4

// surplusMoved tells whether a figure has moved enough to be said again: up by a
// quarter, or to nothing.
func surplusMoved(now, said uint64) bool { return now > said+said/4 || now == 0 && said > 0 }

// markSurplus notes whether another may have some to spare.
func (m *Member) markSurplus(id ID, on bool) {
	at, there := m.sparingAt[id]
	switch {
	case on && !there && id != m.id:
		m.sparingAt[id] = len(m.surplusPeers)
		m.surplusPeers = append(m.surplusPeers, id)
	case !on && there:
		last := m.surplusPeers[len(m.surplusPeers)-1]
		m.surplusPeers[at], m.sparingAt[last] = last, at
		m.surplusPeers = m.surplusPeers[:len(m.surplusPeers)-1]
		delete(m.sparingAt, id)
	}
}

// HandleRequest takes in that another asks for rights: until the next tick.
func (m *Member) HandleRequest(a TransferRequest, now time.Duration) {
	if a.From == m.id {
		return
	}
	m.Merge(Delta{ID: a.From, Account: &a.Account}, now)
	m.requests[a.From] = a.Amount
}

// storeOwnState puts the member's row into its state.
func (m *Member) storeOwnState() {
	row := m.own
	m.state.Members[m.id] = &row
}

func (r *MemberState) transferredTo(id ID) uint64 {
	if r == nil {
		return 0
	}
	return r.Transferred[id]
}

// maxUnackedHeartbeats is how many beats are remembered as not acked.
const maxUnackedHeartbeats = 256

// transferSurplus gives spare rights to those that asked: to each its part of what it lacks,
// as long as there are any, in an order that is drawn.
func (m *Member) transferSurplus(spare uint64) (gifts []Transfer) {
	if spare == 0 || len(m.requests) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(m.requests), compareIDs) // maps have no order, draws must
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		a := m.state.Accounts[id]
		if _, partner := m.own.Transferred[id]; spare == 0 || a == nil || a.LogIndex == 0 || a.Fenced || !partner && len(m.own.Transferred) >= maxTransferPartners {
			continue // Index 0: the bank, which may not know of it, would not ask it for a report
		}
		n := min(spare, (m.requests[id]+RequestFanout-1)/RequestFanout)
		spare -= n
		m.own.Transferred = maps.Clone(m.own.Transferred)
		if m.own.Transferred == nil {
			m.own.Transferred = map[ID]uint64{}
		}
		m.own.Transferred[id] += n
		m.rightsStale = true
		gifts = append(gifts, Transfer{id, Delta{ID: m.id, MemberState: &MemberState{Transferred: map[ID]uint64{id: m.own.Transferred[id]}}}})
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
	if i.ID == m.id {
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
	if now := m.state.Members[i.ID]; i.ID != m.id && now != nil {
		if was == nil || was.Heartbeat < now.Heartbeat {
			a := m.state.Accounts[i.ID]
			m.markSurplus(i.ID, now.Surplus > 0 && (a == nil || !a.Fenced))
		}
		if given := now.transferredTo(m.id); given > was.transferredTo(m.id) {
			m.senders[i.ID] = struct{}{}
			m.markSurplus(i.ID, true)
		}
	}
	if news.MemberState != nil && (was == nil || was.Transferred[m.id] != news.MemberState.Transferred[m.id]) || news.Account != nil {
		m.rightsStale = true
	}
	if i.ID == m.id {
		m.ackHeartbeat(m.state.Accounts[m.id].AckedHeartbeat)
	} else if a := m.state.Accounts[i.ID]; a != nil && a.Fenced && news.Account != nil {
		m.reportTransfers(i.ID, a)
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

// ackHeartbeat notes that the keeper has heard a beat.
func (m *Member) ackHeartbeat(n uint64) {
	for len(m.unacked) > 0 && m.unacked[0].heartbeat <= n {
		m.spendUntil = max(m.spendUntil, m.unacked[0].at+m.timing.spendingTimeout())
		m.unacked = m.unacked[1:]
	}
}

// reportTransfers reports what the member has to do with one that was fenced: from now
// on it takes no more of its gifts in.
func (m *Member) reportTransfers(id ID, a *Account) {
	if _, closed := m.own.TransferReports[id]; closed || a.Reclaimed {
		return
	}
	c := TransferReport{Sent: m.own.Transferred[id]}
	if row := m.state.Members[id]; row != nil {
		c.Received = row.Transferred[m.id]
	}
	m.own.TransferReports = maps.Clone(m.own.TransferReports)
	if m.own.TransferReports == nil {
		m.own.TransferReports = map[ID]TransferReport{}
	}
	m.own.TransferReports[id] = c
	m.unpublished, m.rightsStale = true, true
}
