package quota

import (
	"slices"
	"time"
)

const (
	// demandDecay is the part of the demand that remains from one tick to the
	// next: it rises at once and falls slowly, so that rights do not move with
	// each gap in the load.
	demandDecay = 0.9
	// minUnmetDemand is how much a member's demand may exceed its peak use in any
	// case; beyond it, at most twice the peak use.
	minUnmetDemand = 4
	// surplusUpdatesPerHeartbeat is how many times in a heartbeat interval a
	// changing surplus is published, at most.
	surplusUpdatesPerHeartbeat = 4
	// maxUnackedHeartbeats bounds the list of heartbeats that wait for their
	// acknowledgement.
	maxUnackedHeartbeats = 256
)

type sentHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// Messages are what a member sends at a tick.
type Messages struct {
	// Broadcast is a heartbeat, for all members, and at once for those that may
	// run the allocator's leader; nil for none.
	Broadcast *Delta
	// Transfers are for one recipient each.
	Transfers []Transfer
	// Request is for RequestFanout other members: those of RequestTo, which
	// published a surplus, and the rest drawn from all. It is nil for a member
	// that lacks nothing.
	Request   *TransferRequest
	RequestTo []ID
}

// Tick transfers surplus rights to the members that requested them, and returns
// the messages to send. It is to be called a few times a second.
func (m *Member) Tick(now time.Duration) Messages {
	m.updateDemand()
	if m.Fenced() {
		return Messages{}
	}
	var messages Messages
	surplus, shortfall := m.surplusAndShortfall()
	if now < m.spendUntil { // else it may not use rights, nor know that it holds them
		messages.Transfers, surplus = m.transferSurplus(surplus)
		messages.Request, messages.RequestTo = m.requestTransfer(shortfall)
	}
	clear(m.requests)
	if m.heartbeatDue(now, surplus) {
		messages.Broadcast = m.publish(now, surplus, shortfall)
	} else if len(messages.Transfers) > 0 { // whoever misses a transfer gets it with the whole state
		m.storeOwnState()
	}
	return messages
}

// updateDemand estimates the demand from the peak use and the unmet demand since
// the last tick.
func (m *Member) updateDemand() {
	peak := float64(m.peakInUse)
	m.demand = max(peak+min(float64(m.unmet), max(minUnmetDemand, peak)), m.demand*demandDecay)
	m.peakInUse, m.unmet = m.inUse, 0
}

// surplusAndShortfall compares the rights with the demand; one of them is zero.
func (m *Member) surplusAndShortfall() (surplus, shortfall uint64) {
	rights, demand := m.Rights(), uint64(m.demand+0.5)
	if keep := max(demand, m.inUse); rights > keep {
		return rights - keep, 0
	}
	return 0, demand - min(demand, rights)
}

// heartbeatDue reports whether to publish the member's state now.
func (m *Member) heartbeatDue(now time.Duration, surplus uint64) bool {
	if m.own.Heartbeat == 0 || m.unpublished {
		return true
	}
	elapsed := now - m.publishedAt
	if elapsed >= m.timing.HeartbeatInterval {
		return true
	}
	return elapsed >= m.timing.HeartbeatInterval/surplusUpdatesPerHeartbeat && surplusMoved(surplus, m.own.Surplus)
}

// surplusMoved reports whether the surplus has changed enough to be published
// again: up by a quarter, or to nothing.
func surplusMoved(now, published uint64) bool {
	return now > published+published/4 || now == 0 && published > 0
}

// publish returns the next heartbeat, without the transfers, which matter to
// their recipients only.
func (m *Member) publish(now time.Duration, surplus, shortfall uint64) *Delta {
	m.own.Surplus, m.own.Shortfall = surplus, shortfall
	m.own.Heartbeat++
	m.unpublished, m.publishedAt = false, now
	m.unacked = append(m.unacked, sentHeartbeat{m.own.Heartbeat, now})
	if len(m.unacked) > maxUnackedHeartbeats { // the oldest stays, for an acknowledgement that is very late
		m.unacked = slices.Delete(m.unacked, 1, 2)
	}
	m.storeOwnState()
	published := m.own
	published.Transferred = nil
	return &Delta{ID: m.id, MemberState: &published}
}

// ackHeartbeat extends the time in which the member may spend: the leader has
// seen its heartbeats up to a sequence number.
func (m *Member) ackHeartbeat(heartbeat uint64) {
	for len(m.unacked) > 0 && m.unacked[0].heartbeat <= heartbeat {
		m.spendUntil = max(m.spendUntil, m.unacked[0].at+m.timing.spendingTimeout())
		m.unacked = m.unacked[1:]
	}
}
