package simulation

import (
	"math"
	"slices"

	"quincerail.example/quincerail/fleet/quota"
)

const (
	// maxRepeatedDeltas is how many known deltas a message repeats, at most.
	maxRepeatedDeltas = 32
	// repeatedFraction is the part of a message that is kept for known deltas: one
	// in so many bytes.
	repeatedFraction = 4
	// retransmitMultiplier times the decimal logarithm of the fleet's size is how
	// often a delta is sent.
	retransmitMultiplier = 3
)

// queuedDelta is a delta that is still to be sent a number of times.
type queuedDelta struct {
	delta     quota.Delta
	size      int
	sendsLeft int
}

// enqueue queues a delta, in place of an older one of the same member.
func (f *Fleet) enqueue(n *node, d quota.Delta) {
	sends := int(math.Ceil(retransmitMultiplier * math.Log10(float64(len(f.nodes)+1))))
	sends = max(sends/f.config.Fanout*f.config.Fanout, f.config.Fanout)
	older := n.queued[d.ID]
	if older == nil {
		older = &queuedDelta{}
		n.queue, n.queued[d.ID] = append(n.queue, older), older
	}
	if d.MemberState == nil {
		d.MemberState = older.delta.MemberState
	}
	if d.Account == nil {
		d.Account = older.delta.Account
	}
	*older = queuedDelta{delta: d, size: f.size(d), sendsLeft: sends}
}

// gossip sends one message of new and known deltas to a random member.
func (f *Fleet) gossip(from int, n *node) {
	to := f.rng.IntN(len(f.nodes))
	if to == from {
		return
	}
	deltas, room := f.takeQueued(n)
	deltas = f.appendRepeated(n, deltas, room)
	for _, d := range deltas {
		n.sentBytes += f.size(d)
	}
	f.transmit(message{to: to, partition: n.partition, deltas: deltas})
}

// takeQueued takes from the queue what fits into a message, one delta at least,
// and returns how many bytes are left. What is to be sent again goes to the
// queue's end.
func (f *Fleet) takeQueued(n *node) (deltas []quota.Delta, room int) {
	room = f.config.MaxMessageBytes
	reserved := f.config.MaxMessageBytes / repeatedFraction
	for _, q := range n.queue {
		if len(deltas) > 0 && q.size > room-reserved {
			break
		}
		deltas = append(deltas, q.delta)
		room -= q.size
		q.sendsLeft--
	}
	sent := n.queue[:len(deltas)]
	n.queue = n.queue[len(deltas):]
	for _, q := range sent {
		if q.sendsLeft > 0 {
			n.queue = append(n.queue, q)
		} else {
			delete(n.queued, q.delta.ID)
		}
	}
	return deltas, room
}

// appendRepeated fills a message with what the member knows, in turn, so that
// what was lost, or missed in a partition, still arrives.
func (f *Fleet) appendRepeated(n *node, deltas []quota.Delta, room int) []quota.Delta {
	s := n.member.State()
	for range maxRepeatedDeltas {
		if n.repeatNext >= len(n.repeatOrder) {
			f.drawRepeatOrder(n)
			if len(n.repeatOrder) == 0 {
				break
			}
		}
		id := n.repeatOrder[n.repeatNext]
		d := quota.Delta{ID: id, MemberState: s.Members[id], Account: s.Accounts[id]}
		size := f.size(d)
		if size > room && len(deltas) > 0 {
			break
		}
		room -= size
		deltas = append(deltas, d)
		n.repeatNext++
	}
	return deltas
}

// drawRepeatOrder draws a new order of all IDs that the member knows.
func (f *Fleet) drawRepeatOrder(n *node) {
	s := n.member.State()
	ids := n.repeatOrder[:0]
	for id := range s.Members {
		ids = append(ids, id)
	}
	for id := range s.Accounts {
		if s.Members[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, byIncarnation)
	f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	n.repeatOrder, n.repeatNext = ids, 0
}
