package simulation

import (
	"github.com/fxamacker/cbor/v2"

	"quincerail.example/quincerail/fleet/quota"
)

const (
	// maxDelayRounds is the maximum delay of a message, in rounds.
	maxDelayRounds = 20
	// maxCachedSizes bounds each cache of encoded sizes, whose keys keep their values
	// from being garbage collected.
	maxCachedSizes = 1 << 15
	// requestBytes is the approximate encoded size of a transfer request.
	requestBytes = 64
	// deltaOverheadBytes is the approximate encoded size of a delta without its
	// member's name and its parts.
	deltaOverheadBytes = 8
)

// message is a message in transit.
type message struct {
	to        int // index of the receiving node
	partition int // partition of the sender at the time of sending
	deltas    []quota.Delta
	request   *quota.TransferRequest
}

// sendDelta sends a delta to one node. It does nothing for noNode and the sender itself.
func (f *Fleet) sendDelta(n *node, to int, d quota.Delta) {
	if to == noNode || f.nodes[to] == n {
		return
	}
	n.sentBytes += f.size(d)
	f.transmit(message{to: to, partition: n.partition, deltas: []quota.Delta{d}})
}

// sendRequest sends a transfer request to the members of messages.RequestTo, and to
// random members up to quota.RequestFanout.
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

// transmit delivers, loses, duplicates or delays a message at random.
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

// size returns the approximate encoded size of a delta, in bytes.
func (f *Fleet) size(d quota.Delta) int {
	return deltaOverheadBytes + len(d.ID.Member) + sizeOf(f.stateSizes, d.MemberState) + sizeOf(f.accountSizes, d.Account)
}

// sizeOf returns the encoded size of a part of a delta, in bytes; 0 for nil.
func sizeOf[T any](cached map[*T]int, part *T) int {
	if part == nil {
		return 0
	}
	if size, ok := cached[part]; ok {
		return size
	}
	encoded, err := cbor.Marshal(part)
	if err != nil {
		panic(err) // the types have no values that can't be encoded
	}
	if len(cached) >= maxCachedSizes {
		clear(cached)
	}
	cached[part] = len(encoded)
	return len(encoded)
}
