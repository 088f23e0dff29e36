package simulation

import (
	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/quota"
)

const (
	// maxDelayRounds is how late a delayed message arrives, at most.
	maxDelayRounds = 20
	// maxCachedSizes is how many sizes are remembered, as they keep what they are
	// of from being collected.
	maxCachedSizes = 1 << 15
	// requestBytes is about what a transfer request takes on the wire.
	requestBytes = 64
	// deltaOverheadBytes is about what a delta takes beside its member's name and
	// its parts.
	deltaOverheadBytes = 8
)

// message is a message on its way.
type message struct {
	to        int
	partition int // of the sender when it sent it
	deltas    []quota.Delta
	request   *quota.TransferRequest
}

// sendDelta sends a delta to one node alone.
func (f *Fleet) sendDelta(n *node, to int, d quota.Delta) {
	if to == noNode || f.nodes[to] == n {
		return
	}
	n.sentBytes += f.size(d)
	f.transmit(message{to: to, partition: n.partition, deltas: []quota.Delta{d}})
}

// sendRequest sends a transfer request to the members that it names, and to
// others that are drawn.
func (f *Fleet) sendRequest(from int, n *node, messages quota.Messages) {
	for k := range quota.RequestFanout {
		to := f.rng.IntN(len(f.nodes))
		if k < len(messages.RequestTo) {
			to = f.indexOf(messages.RequestTo[k])
		}
		if to == noNode || to == from {
			continue
		}
		n.sentBytes += requestBytes
		f.transmit(message{to: to, partition: n.partition, request: messages.Request})
	}
}

// transmit delivers a message, or loses, duplicates or delays it.
func (f *Fleet) transmit(m message) {
	switch p := f.rng.Float64(); {
	case p < f.config.LossRate:
	case p < f.config.LossRate+f.config.DuplicateRate:
		f.deliver(m)
		f.delay(m)
	case p < f.config.LossRate+f.config.DuplicateRate+f.config.DelayRate:
		f.delay(m)
	default:
		f.deliver(m)
	}
}

func (f *Fleet) delay(m message) {
	round := f.round + 1 + f.rng.IntN(maxDelayRounds)
	f.delayed[round] = append(f.delayed[round], m)
}

func (f *Fleet) deliverDelayed() {
	for _, m := range f.delayed[f.round] {
		f.deliver(m)
	}
	delete(f.delayed, f.round)
}

func (f *Fleet) deliver(m message) {
	n := f.nodes[m.to]
	if !n.running() || n.partition != m.partition {
		return
	}
	for _, d := range m.deltas {
		f.merge(n, d)
	}
	if m.request != nil {
		n.member.HandleRequest(*m.request)
	}
}

// size returns a delta's length on the wire.
func (f *Fleet) size(d quota.Delta) int {
	return deltaOverheadBytes + len(d.ID.Member) + sizeOf(f.stateSizes, d.MemberState) + sizeOf(f.accountSizes, d.Account)
}

// sizeOf returns the length of a part of a delta, 0 for nil.
func sizeOf[T any](cached map[*T]int, part *T) int {
	if part == nil {
		return 0
	}
	if size, ok := cached[part]; ok {
		return size
	}
	encoded, err := cbor.Marshal(part)
	if err != nil {
		panic(err) // plain records can be encoded
	}
	if len(cached) >= maxCachedSizes {
		clear(cached)
	}
	cached[part] = len(encoded)
	return len(encoded)
}
