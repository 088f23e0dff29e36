package gossip

import (
	"encoding/json"
	"slices"
)

// memberlistDelegate implements memberlist.Delegate on top of a Delegate.
type memberlistDelegate struct {
	updates Delegate
	members *Membership
	role    string
}

// NodeMeta implements memberlist.Delegate. A member's metadata is its role.
func (d memberlistDelegate) NodeMeta(int) []byte { return []byte(d.role) }

// NotifyMsg implements memberlist.Delegate. The library reuses the message's bytes,
// so NotifyMsg copies them.
func (d memberlistDelegate) NotifyMsg(message []byte) { d.merge(slices.Clone(message)) }

// merge passes an update to the Delegate and broadcasts it if it was new, because
// the library sends a message to a few members only.
func (d memberlistDelegate) merge(update []byte) {
	if topic, isNew := d.updates.MergeUpdate(update); isNew {
		d.members.Broadcast(topic, update)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d memberlistDelegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.members.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. It returns the state that is sent in a
// push/pull exchange: a JSON array of the known updates.
func (d memberlistDelegate) LocalState(bool) []byte {
	state, err := json.Marshal(d.updates.KnownUpdates())
	if err != nil {
		return nil
	}
	return state
}

// MergeRemoteState implements memberlist.Delegate. It merges the updates in another
// member's LocalState.
func (d memberlistDelegate) MergeRemoteState(state []byte, _ bool) {
	var updates [][]byte
	if json.Unmarshal(state, &updates) != nil {
		return
	}
	for _, update := range updates {
		d.merge(update)
	}
}
