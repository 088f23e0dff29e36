package simulation

import (
	"math"
	"slices"

	"quincerail.example/quincerail/fleet/quota"
)

const (
	// maxRepeatedDeltas is the maximum number of known deltas that a message repeats.
	maxRepeatedDeltas = 32
	// repeatedDivisor defines the part of a message that is reserved for known deltas:
	// 1/repeatedDivisor of its bytes.
	repeatedDivisor = 4
	// retransmitMultiplier times the decimal logarithm of the fleet's size is about the
	// number of times that a delta is sent. enqueue makes it a multiple of Config.Fanout.
	retransmitMultiplier = 3
)

// queuedDelta is a delta that still has to be sent sendsLeft times.
type queuedDelta struct {
	delta     quota.Delta
	size      int
	sendsLeft int
}

// enqueue queues a delta. It replaces the queued delta of the same member, if any, and
// keeps the older part where the new delta has none.
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

// gossip sends a message with new and known deltas to a random member.
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

// takeQueued takes as many deltas from the queue as fit into a message, at least one,
// and returns the remaining bytes. Deltas that must be sent again move to the end of
// the queue.
func (f *Fleet) takeQueued(n *node) (deltas []quota.Delta, room int) {
	room = f.config.MaxMessageBytes
	reserved := f.config.MaxMessageBytes / repeatedDivisor
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

// appendRepeated fills a message with deltas that the member knows, in rotation, so
// that state that was lost, or missed in a partition, still arrives.
func (f *Fleet) appendRepeated(n *node, deltas []quota.Delta, room int) []quota.Delta {
	s := n.member.State()
	for range maxRepeatedDeltas {
		if n.nextRepeat >= len(n.repeatOrder) {
			f.drawRepeatOrder(n)
			if len(n.repeatOrder) == 0 {
				break
			}
		}
		id := n.repeatOrder[n.nextRepeat]
		d := quota.Delta{ID: id, MemberState: s.Members[id], Account: s.Accounts[id]}
		size := f.size(d)
		if size > room && len(deltas) > 0 {
			break
		}
		room -= size
		deltas = append(deltas, d)
		n.nextRepeat++
	}
	return deltas
}

// drawRepeatOrder draws a new random order of all IDs that the member knows.
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
	slices.SortFunc(ids, compareIncarnations)
	f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	n.repeatOrder, n.nextRepeat = ids, 0
}
