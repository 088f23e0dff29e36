package gossip

import "encoding/json"

type delegate struct {
	news    News
	members *Members
	role    string
}

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(int) []byte { return []byte(d.role) }

// NotifyMsg implements memberlist.Delegate. The bytes are the library's.
func (d delegate) NotifyMsg(b []byte) { d.heard(append([]byte(nil), b...)) }

// heard passes on what is news: the library tells a piece to a few members only.
func (d delegate) heard(piece []byte) {
	if about, news := d.news.Heard(piece); news {
		d.members.Tell(about, piece)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.members.queue.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate: what push and pull carry.
func (d delegate) LocalState(bool) []byte {
	b, err := json.Marshal(d.news.Latest())
	if err != nil {
		return nil
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	var pieces [][]byte
	if json.Unmarshal(b, &pieces) != nil {
		return
	}
	for _, p := range pieces {
		d.heard(p)
	}
}
