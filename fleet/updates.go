package fleet

import (
	"log/slog"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of messages between members; the first byte of a message is its kind. Gossip
// spreads updates to all members.
const (
	updateHealth     = 'j' // a DependencyHealth in JSON
	updateCallsQuota = 'c' // a quota.Delta in CBOR
	updateRetryQuota = 'r' // a quota.Delta in CBOR

	// Requests and messages are sent to one member, which does not forward them.
	requestCallsTransfer = 'C' // a quota.TransferRequest in CBOR
	requestRetryTransfer = 'R' // a quota.TransferRequest in CBOR
	messageReport        = 'p' // a rollout.Report in CBOR, to a voter
	messageDirective     = 'd' // a rollout.Directive in CBOR, from the owner of RolloutLease
)

// delegate implements gossip.Delegate. It passes each message to the unit that
// handles its kind.
type delegate struct{ f *Fleet }

// MergeUpdate implements gossip.Delegate.
func (d delegate) MergeUpdate(message []byte) (topic string, isNew bool) {
	if len(message) == 0 {
		return "", false
	}
	kind, body := message[0], message[1:]
	switch kind {
	case updateHealth:
		return d.f.healthView.mergeUpdate(body)
	case messageReport:
		d.f.rolloutDriver.receiveReport(body)
	case messageDirective:
		d.f.rolloutDriver.receiveDirective(body)
	}
	for _, agent := range d.f.quotaAgents {
		switch kind {
		case agent.updateKind:
			return agent.mergeUpdate(body)
		case agent.requestKind:
			agent.handleRequest(body)
		}
	}
	return "", false
}

// KnownUpdates implements gossip.Delegate.
func (d delegate) KnownUpdates() (updates [][]byte) {
	for _, update := range d.f.healthView.encodedUpdates() {
		updates = append(updates, append([]byte{updateHealth}, update...))
	}
	for _, agent := range d.f.quotaAgents {
		updates = append(updates, agent.encodedUpdates()...)
	}
	return updates
}

// decodeUpdate decodes a CBOR message. It logs messages that can't be decoded, and
// reports false for them.
func decodeUpdate[T any](log *slog.Logger, message []byte) (value T, ok bool) {
	if err := cbor.Unmarshal(message, &value); err != nil {
		log.Debug(eventUpdateUnreadable, "bytes", len(message))
		return value, false
	}
	return value, true
}

// broadcast spreads an update to all members; a later update of the same topic
// replaces it. Before gossip has started, broadcast does nothing: other members
// receive the update with KnownUpdates.
func (f *Fleet) broadcast(topic string, update []byte) {
	if f.hasGossip() {
		f.membership.Broadcast(topic, update)
	}
}

// send sends a message to one member without retries. Before gossip has started, it
// does nothing.
func (f *Fleet) send(to string, message []byte) {
	if f.hasGossip() {
		f.membership.Send(to, message)
	}
}

// aliveMembers returns the names of the members that gossip considers alive, or nil
// before gossip has started.
func (f *Fleet) aliveMembers() []string {
	if !f.hasGossip() {
		return nil
	}
	return f.membership.Alive()
}

// aliveVoters returns the names of the voters among aliveMembers.
func (f *Fleet) aliveVoters() []string {
	if !f.hasGossip() {
		return nil
	}
	return f.membership.AliveWithRole(string(RoleVoter))
}

// hasGossip reports whether gossip has started, so that membership is set.
func (f *Fleet) hasGossip() bool {
	select {
	case <-f.gossipStarted:
		return true
	default:
		return false
	}
}
