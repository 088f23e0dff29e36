package quota

import (
	"math/rand/v2"
	"time"
)

// Member is one incarnation of a member: what it knows, the rights it holds and
// how many of them are in use. It is not safe for concurrent use.
type Member struct {
	id     ID
	timing Timing
	state  State
	rng    *rand.Rand

	own         MemberState // its own, as the next heartbeat publishes it
	unpublished bool        // own has changed since the last heartbeat
	publishedAt time.Duration
	unacked     []sentHeartbeat // oldest first
	spendUntil  time.Duration   // no unit is acquired from then on

	inUse     uint64
	peakInUse uint64  // since the last tick
	unmet     uint64  // units that were asked for and refused since the last tick
	demand    float64 // units that the member's user is expected to ask for

	rights      int64 // of the last computeRights
	rightsStale bool

	senders  map[ID]struct{} // members that have transferred rights to it
	requests map[ID]uint64   // rights that others have requested since the last tick
	// surplusPeers are the members that last published a surplus or sent a
	// transfer, without those that were sent a request since.
	surplusPeers idSet
}

// NewMember returns a member that holds no rights yet. rng draws whom it sends
// rights and requests to.
func NewMember(id ID, timing Timing, rng *rand.Rand) (*Member, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Member{
		id: id, timing: timing, state: NewState(), rng: rng,
		unpublished: true, rightsStale: true,
		senders: map[ID]struct{}{}, requests: map[ID]uint64{}, surplusPeers: newIDSet(),
	}, nil
}

// State returns what the member knows; it must not be changed.
func (m *Member) State() State { return m.state }

// Fenced reports whether the fleet has declared this incarnation gone: the
// process must go on as a new one.
func (m *Member) Fenced() bool {
	account := m.state.Accounts[m.id]
	return account != nil && account.Fenced
}

// Rights returns the rights that the member holds by its own knowledge, which may
// lack some that others sent it.
func (m *Member) Rights() uint64 {
	if m.rightsStale {
		m.rightsStale = false
		m.rights = m.computeRights()
	}
	return uint64(max(m.rights, 0))
}

// computeRights sums up what the allocator granted, the transfers with reclaimed
// members as the allocator settled them, and the transfers with all others.
func (m *Member) computeRights() int64 {
	account := m.state.Accounts[m.id]
	if account == nil || account.Fenced {
		return 0
	}
	rights := int64(account.Granted)
	for _, net := range account.SettledTransfers {
		rights += net
	}
	for recipient, sent := range m.own.Transferred {
		if _, settled := account.SettledTransfers[recipient]; !settled {
			rights -= int64(sent)
		}
	}
	for sender := range m.senders {
		if _, settled := account.SettledTransfers[sender]; !settled {
			rights += int64(m.receivedFrom(sender))
		}
	}
	return rights
}

// receivedFrom returns the rights that count as received from a member: once it
// is fenced, those of the transfer report and no more.
func (m *Member) receivedFrom(sender ID) uint64 {
	if report, reported := m.own.TransferReports[sender]; reported {
		return report.Received
	}
	if account := m.state.Accounts[sender]; account != nil && account.Fenced {
		return 0
	}
	return m.state.Members[sender].Transferred[m.id]
}

// TryAcquire takes one unit into use, if the member may use another one. The unit
// must be released within Timing.MaxHoldTime.
func (m *Member) TryAcquire(now time.Duration) bool {
	if m.inUse >= m.Available(now) {
		m.unmet++
		return false
	}
	m.inUse++
	m.peakInUse = max(m.peakInUse, m.inUse)
	return true
}

// Release returns one unit that TryAcquire took.
func (m *Member) Release() { m.inUse-- }

// InUse returns the number of units in use.
func (m *Member) InUse() uint64 { return m.inUse }

// Available returns how many units the member may have in use, those in use
// included: its rights, or none if its last acknowledged heartbeat is too old.
func (m *Member) Available(now time.Duration) uint64 {
	if now >= m.spendUntil {
		return 0
	}
	return m.Rights()
}

// ReportDemand states how many units the user would have in use if there were no
// bound. It is for a user that keeps to Available, so that TryAcquire never
// refuses it.
func (m *Member) ReportDemand(units uint64) {
	m.unmet = max(m.unmet, units-min(units, m.inUse))
}

// AddToCounter adds to a counter of the whole fleet; the next heartbeat publishes
// it.
func (m *Member) AddToCounter(name string, increments, decrements uint64) {
	counter := m.own.Counters[name]
	m.own.Counters = cloneMap(m.own.Counters)
	m.own.Counters[name] = PNCounter{counter.Increments + increments, counter.Decrements + decrements}
	m.storeOwnState()
}

// storeOwnState copies the member's own state into what it knows.
func (m *Member) storeOwnState() {
	own := m.own
	m.state.Members[m.id] = &own
}
