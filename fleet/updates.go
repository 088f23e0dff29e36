package fleet

import (
	"log/slog"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of messages between members, the first byte of each. Updates are spread to
// all members.
const (
	updateHealth     = 'j' // a DependencyHealth in JSON
	updateCallsQuota = 'c' // a quota.Delta in CBOR
	updateRetryQuota = 'r' // likewise

	// The others go to one member each, and are not spread further.
	requestCallsTransfer = 'C' // a quota.TransferRequest in CBOR
	requestRetryTransfer = 'R' // likewise
	messageReport        = 'p' // a rollout.Report in CBOR, to a voter
	messageDirective     = 'd' // a rollout.Directive in CBOR, from the owner of RolloutLease
)

// delegate passes gossip's messages to the units that they are for.
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

// decodeUpdate decodes a message in CBOR; one that is unreadable is dropped.
func decodeUpdate[T any](log *slog.Logger, message []byte) (value T, ok bool) {
	if err := cbor.Unmarshal(message, &value); err != nil {
		log.Debug(eventUpdateUnreadable, "bytes", len(message))
		return value, false
	}
	return value, true
}

// broadcast spreads an update to all members. Before gossip has started it does
// nothing: the update is then among KnownUpdates.
func (f *Fleet) broadcast(topic string, update []byte) {
	if f.hasGossip() {
		f.membership.Broadcast(topic, update)
	}
}

// send sends a message to one member once, without retries.
func (f *Fleet) send(to string, message []byte) {
	if f.hasGossip() {
		f.membership.Send(to, message)
	}
}

// aliveMembers returns the names of the members that are thought to be alive; none
// before gossip has started.
func (f *Fleet) aliveMembers() []string {
	if !f.hasGossip() {
		return nil
	}
	return f.membership.Alive()
}

// aliveVoters returns those of aliveMembers that are voters.
func (f *Fleet) aliveVoters() []string {
	if !f.hasGossip() {
		return nil
	}
	return f.membership.AliveWithRole(string(Voter))
}

// hasGossip reports whether membership may be used.
func (f *Fleet) hasGossip() bool {
	select {
	case <-f.gossipStarted:
		return true
	default:
		return false
	}
}
