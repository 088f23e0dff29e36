package gossip

import "github.com/hashicorp/memberlist"

// broadcast is a queued update. It replaces queued updates of the same topic.
type broadcast struct {
	topic  string
	update []byte
}

// Name implements memberlist.NamedBroadcast.
func (b broadcast) Name() string { return b.topic }

// Invalidates implements memberlist.Broadcast.
func (b broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(broadcast)
	return ok && other.topic == b.topic
}

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.update }

// Finished implements memberlist.Broadcast.
func (b broadcast) Finished() {}
