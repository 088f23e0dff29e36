package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"slices"

	"quincerail.example/quincerail/fleet/lease"
)

// notPaused encodes that a client is not paused.
const notPaused = -1

// encoder builds the encoding of a state.
type encoder struct {
	seed maphash.Seed
	b    []byte
}

// fingerprint returns a hash of all parts of a state that determine which states
// can follow. Two states with different successors have the same fingerprint with
// a probability of 2^-64.
func (s *state) fingerprint(config Config, seed maphash.Seed) uint64 {
	e := &encoder{seed: seed}
	e.appendInts(int(s.now), int(s.highestAccepted.Index), len(s.log))
	e.appendInts(s.used.commands, s.used.duplicates, s.used.pauses, s.used.requests)
	for i, client := range s.clients {
		e.b = client.AppendState(e.b, s.clock(config, i))
		e.appendInts(s.applied[i])
		if s.paused[i] != nil {
			e.appendInts(int(s.paused[i].token.Index))
		} else {
			e.appendInts(notPaused)
		}
	}
	for _, command := range s.log[slices.Min(s.applied):] { // the clients' states contain the entries that all have applied
		e.appendCommand(command)
	}
	e.appendUnordered(len(s.commands), func(i int) { e.appendCommand(s.commands[i]) })
	e.appendUnordered(len(s.requests), func(i int) { e.appendRequest(s.requests[i]) })
	e.appendUnordered(len(s.accepted), func(i int) { e.appendRequest(s.accepted[i]) })
	return maphash.Bytes(seed, e.b)
}

func (e *encoder) appendInts(values ...int) {
	for _, v := range values {
		e.b = binary.AppendVarint(e.b, int64(v))
	}
}

func (e *encoder) appendCommand(command lease.Command) {
	e.b = append(e.b, command.Kind...)
	e.b = append(e.b, command.Owner.Member...)
	e.appendInts(int(command.Token.Index), int(command.Renewals), int(command.Nonce))
}

func (e *encoder) appendRequest(r request) { e.appendInts(r.client, int(r.token.Index)) }

// appendUnordered appends the sum of the items' hashes, which does not depend on
// their order: the order of the items in flight does not affect which states can
// follow.
func (e *encoder) appendUnordered(n int, appendItem func(i int)) {
	var sum uint64
	for i := range n {
		start := len(e.b)
		appendItem(i)
		sum += maphash.Bytes(e.seed, e.b[start:])
		e.b = e.b[:start]
	}
	e.b = binary.LittleEndian.AppendUint64(e.b, sum)
	e.appendInts(n)
}
