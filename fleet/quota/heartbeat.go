package quota

import (
	"slices"
	"time"
)

const (
	// demandDecay is the fraction of the demand that remains from one tick to the
	// next. The demand rises immediately and falls slowly, so that a short gap in the
	// load causes no transfers.
	demandDecay = 0.9
	// minUnmetDemand bounds the unmet demand that updateDemand adds to the peak use. If
	// the peak use is larger, it is the bound instead, so the sum is at most twice the
	// peak use.
	minUnmetDemand = 4
	// surplusUpdatesPerHeartbeat is the maximum number of times that a changing
	// surplus is published in a heartbeat interval.
	surplusUpdatesPerHeartbeat = 4
	// maxUnackedHeartbeats bounds the list of unacknowledged heartbeats.
	maxUnackedHeartbeats = 256
)

type sentHeartbeat struct {
	heartbeat uint64
	at        time.Duration
}

// Messages are the messages to send after a tick.
type Messages struct {
	// Broadcast is a heartbeat for all members, nil for none. Members that may run
	// the allocator's leader get it directly, without the delay of gossip.
	Broadcast *Delta
	// Transfers have one recipient each.
	Transfers []Transfer
	// Request is nil if the member requests no rights. Otherwise the caller sends it to
	// RequestFanout other members: those of RequestTo, which have a known surplus, and
	// randomly drawn members for the rest.
	Request   *TransferRequest
	RequestTo []ID
}

// Tick transfers surplus rights to the members that requested them, and returns the
// messages to send. The caller calls it a few times a second.
func (m *Member) Tick(now time.Duration) Messages {
	m.updateDemand()
	if m.Fenced() {
		return Messages{}
	}
	var messages Messages
	surplus, shortfall := m.surplusAndShortfall()
	if now < m.spendUntil { // later the member must not use rights, and may have been fenced
		messages.Transfers, surplus = m.transferSurplus(surplus)
		messages.Request, messages.RequestTo = m.requestTransfer(shortfall)
	}
	clear(m.requests)
	if m.heartbeatDue(now, surplus) {
		messages.Broadcast = m.publish(now, surplus, shortfall)
	} else if len(messages.Transfers) > 0 { // a recipient that misses a transfer gets it with the complete state
		m.storeOwnState()
	}
	return messages
}

// updateDemand estimates the demand from the peak use and the unmet demand since the
// last tick.
func (m *Member) updateDemand() {
	peak := float64(m.peakInUse)
	m.demand = max(peak+min(float64(m.unmetDemand), max(minUnmetDemand, peak)), m.demand*demandDecay)
	m.peakInUse, m.unmetDemand = m.inUse, 0
}

// surplusAndShortfall compares the rights with the demand. At least one of the results
// is 0.
func (m *Member) surplusAndShortfall() (surplus, shortfall uint64) {
	rights, demand := m.Rights(), uint64(m.demand+0.5)
	if keep := max(demand, m.inUse); rights > keep {
		return rights - keep, 0
	}
	return 0, demand - min(demand, rights)
}

// heartbeatDue reports whether the member's state must be published now.
func (m *Member) heartbeatDue(now time.Duration, surplus uint64) bool {
	if m.own.Heartbeat == 0 || m.unpublished {
		return true
	}
	elapsed := now - m.publishedAt
	if elapsed >= m.timing.HeartbeatInterval {
		return true
	}
	return elapsed >= m.timing.HeartbeatInterval/surplusUpdatesPerHeartbeat && surplusChanged(surplus, m.own.Surplus)
}

// surplusChanged reports whether the surplus has changed enough to be published
// again: it grew by more than a quarter, or fell to 0.
func surplusChanged(current, published uint64) bool {
	return current > published+published/4 || current == 0 && published > 0
}

// publish starts the next heartbeat and returns it for the broadcast. The broadcast
// omits the transfers, which concern their recipients only.
func (m *Member) publish(now time.Duration, surplus, shortfall uint64) *Delta {
	m.own.Surplus, m.own.Shortfall = surplus, shortfall
	m.own.Heartbeat++
	m.unpublished, m.publishedAt = false, now
	m.unacked = append(m.unacked, sentHeartbeat{m.own.Heartbeat, now})
	if len(m.unacked) > maxUnackedHeartbeats { // keeps the oldest, for a very late acknowledgement
		m.unacked = slices.Delete(m.unacked, 1, 2)
	}
	m.storeOwnState()
	published := m.own
	published.Transferred = nil
	return &Delta{ID: m.id, MemberState: &published}
}

// ackHeartbeat extends the time until which the member may use its rights, because the
// leader acknowledged its heartbeats up to a sequence number.
func (m *Member) ackHeartbeat(heartbeat uint64) {
	for len(m.unacked) > 0 && m.unacked[0].heartbeat <= heartbeat {
		m.spendUntil = max(m.spendUntil, m.unacked[0].at+m.timing.spendingTimeout())
		m.unacked = m.unacked[1:]
	}
}
