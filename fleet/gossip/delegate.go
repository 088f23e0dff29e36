package gossip

import "encoding/json"

type memberlistDelegate struct {
	updates    Delegate
	members *Membership
	role    string
}

// NodeMeta implements memberlist.Delegate.
func (d memberlistDelegate) NodeMeta(int) []byte { return []byte(d.role) }

// NotifyMsg implements memberlist.Delegate. The bytes are the library's.
func (d memberlistDelegate) NotifyMsg(b []byte) { d.heard(append([]byte(nil), b...)) }

// heard passes on what is news: the library tells a piece to a few members only.
func (d memberlistDelegate) heard(piece []byte) {
	if about, news := d.updates.MergeUpdate(piece); news {
		d.members.Broadcast(about, piece)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d memberlistDelegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.members.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: what push and pull carry.
func (d memberlistDelegate) LocalState(bool) []byte {
	b, err := json.Marshal(d.updates.KnownUpdates())
	if err != nil {
		return nil
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate.
func (d memberlistDelegate) MergeRemoteState(b []byte, _ bool) {
	var pieces [][]byte
	if json.Unmarshal(b, &pieces) != nil {
		return
	}
	for _, p := range pieces {
		d.heard(p)
	}
}
