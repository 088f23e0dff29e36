package quota

import (
	"math/rand/v2"
	"time"
)

// Member is one incarnation of a member: its state, its rights and the number of
// units in use. It is not safe for concurrent use.
type Member struct {
	id     ID
	timing Timing
	state  State
	rng    *rand.Rand

	own         MemberState // this member's state, as the next heartbeat publishes it
	unpublished bool        // own has changed since the last heartbeat in a way that must be published at once
	publishedAt time.Duration
	unacked     []sentHeartbeat // oldest first
	spendUntil  time.Duration   // TryAcquire and Tick use rights only before this time

	inUse       uint64
	peakInUse   uint64  // since the last tick
	unmetDemand uint64  // units that TryAcquire refused since the last tick
	demand      float64 // estimated number of units that the caller needs

	rights      int64 // result of the latest computeRights; may be negative
	rightsStale bool  // rights must be computed again

	rightsSenders map[ID]struct{} // members that have transferred rights to this one
	requests      map[ID]uint64   // rights that others requested since the last tick, by requester
	// surplusPeers are the members whose last heartbeat had a surplus, or that sent
	// a transfer. A member is removed when a request is sent to it.
	surplusPeers idSet
}

// NewMember returns a member without rights. It uses rng to choose the recipients of
// transfers and requests.
func NewMember(id ID, timing Timing, rng *rand.Rand) (*Member, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	return &Member{
		id: id, timing: timing, state: NewState(), rng: rng,
		unpublished: true, rightsStale: true,
		rightsSenders: map[ID]struct{}{}, requests: map[ID]uint64{}, surplusPeers: newIDSet(),
	}, nil
}

// State returns the member's knowledge of the fleet. The caller must not modify it.
func (m *Member) State() State { return m.state }

// Fenced reports whether the allocator has fenced this incarnation. The process must
// then continue as a new incarnation.
func (m *Member) Fenced() bool {
	account := m.state.Accounts[m.id]
	return account != nil && account.Fenced
}

// Rights returns the number of rights that the member holds according to its own
// state. Transfers that have not arrived yet are missing from it.
func (m *Member) Rights() uint64 {
	if m.rightsStale {
		m.rightsStale = false
		m.rights = m.computeRights()
	}
	return uint64(max(m.rights, 0))
}

// computeRights returns the sum of the granted rights, the settled transfers with
// reclaimed members and the net transfers with all other members.
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
	for sender := range m.rightsSenders {
		if _, settled := account.SettledTransfers[sender]; !settled {
			rights += int64(m.receivedFrom(sender))
		}
	}
	return rights
}

// receivedFrom returns the rights that count as received from a sender. For a fenced
// sender these are only those of the transfer report.
func (m *Member) receivedFrom(sender ID) uint64 {
	if report, reported := m.own.TransferReports[sender]; reported {
		return report.Received
	}
	if account := m.state.Accounts[sender]; account != nil && account.Fenced {
		return 0
	}
	return m.state.Members[sender].Transferred[m.id]
}

// TryAcquire acquires one unit and returns true, or returns false if all available
// units are in use. The caller must release the unit within Timing.MaxHoldTime.
func (m *Member) TryAcquire(now time.Duration) bool {
	if m.inUse >= m.Available(now) {
		m.unmetDemand++
		return false
	}
	m.inUse++
	m.peakInUse = max(m.peakInUse, m.inUse)
	return true
}

// Release releases one unit that TryAcquire acquired.
func (m *Member) Release() { m.inUse-- }

// InUse returns the number of units in use.
func (m *Member) InUse() uint64 { return m.inUse }

// Available returns how many units the member may have in use, including those in
// use now: its rights, or 0 if its last acknowledged heartbeat is too old.
func (m *Member) Available(now time.Duration) uint64 {
	if now >= m.spendUntil {
		return 0
	}
	return m.Rights()
}

// ReportDemand reports how many units the caller would have in use without a limit. A
// caller that never tries to acquire more than Available must call it, because
// TryAcquire then never fails and counts no unmet demand.
func (m *Member) ReportDemand(units uint64) {
	m.unmetDemand = max(m.unmetDemand, units-min(units, m.inUse))
}

// AddToCounter adds to a counter of the whole fleet. The next heartbeat publishes the
// change.
func (m *Member) AddToCounter(name string, increments, decrements uint64) {
	counter := m.own.Counters[name]
	m.own.Counters = cloneMap(m.own.Counters)
	m.own.Counters[name] = PNCounter{counter.Increments + increments, counter.Decrements + decrements}
	m.storeOwnState()
}

// storeOwnState copies the member's own state into its State.
func (m *Member) storeOwnState() {
	own := m.own
	m.state.Members[m.id] = &own
}
