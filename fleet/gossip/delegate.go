package gossip

import (
	"encoding/json"
	"slices"
)

// memberlistDelegate connects memberlist with a Delegate.
type memberlistDelegate struct {
	updates Delegate
	members *Membership
	role    string
}

// NodeMeta implements memberlist.Delegate.
func (d memberlistDelegate) NodeMeta(int) []byte { return []byte(d.role) }

// NotifyMsg implements memberlist.Delegate. The message's bytes belong to the
// library, which uses them again.
func (d memberlistDelegate) NotifyMsg(message []byte) { d.merge(slices.Clone(message)) }

// merge takes in an update, and broadcasts it further where it was new: the library
// brings a message to a few members only.
func (d memberlistDelegate) merge(update []byte) {
	if topic, isNew := d.updates.MergeUpdate(update); isNew {
		d.members.Broadcast(topic, update)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d memberlistDelegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.members.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: it is sent in an exchange of whole
// states (push/pull), as a JSON array of the updates.
func (d memberlistDelegate) LocalState(bool) []byte {
	state, err := json.Marshal(d.updates.KnownUpdates())
	if err != nil {
		return nil
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate.
func (d memberlistDelegate) MergeRemoteState(state []byte, _ bool) {
	var updates [][]byte
	if json.Unmarshal(state, &updates) != nil {
		return
	}
	for _, update := range updates {
		d.merge(update)
	}
}
