package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"slices"

	"quincerail.example/quincerail/fleet/lease"
)

// notPaused stands for no prepared request in the encoding of a state.
const notPaused = -1

// encoder appends to the encoding of a state.
type encoder struct {
	seed maphash.Seed
	b    []byte
}

// fingerprint returns a hash of all that decides what can follow a state. Two
// states with different futures collide with a probability of 2^-64.
func (s *state) fingerprint(config Config, seed maphash.Seed) uint64 {
	e := &encoder{seed: seed}
	e.ints(int(s.now), int(s.acceptedTo.Index), len(s.log))
	e.ints(s.used.commands, s.used.duplicates, s.used.pauses, s.used.requests)
	for i, client := range s.clients {
		e.b = client.AppendState(e.b, s.clock(config, i))
		e.ints(s.applied[i])
		if s.paused[i] != nil {
			e.ints(int(s.paused[i].token.Index))
		} else {
			e.ints(notPaused)
		}
	}
	for _, command := range s.log[slices.Min(s.applied):] { // what all have applied is in the clients' states
		e.command(command)
	}
	e.set(len(s.commands), func(i int) { e.command(s.commands[i]) })
	e.set(len(s.requests), func(i int) { e.request(s.requests[i]) })
	e.set(len(s.accepted), func(i int) { e.request(s.accepted[i]) })
	return maphash.Bytes(seed, e.b)
}

func (e *encoder) ints(values ...int) {
	for _, v := range values {
		e.b = binary.AppendVarint(e.b, int64(v))
	}
}

func (e *encoder) command(command lease.Command) {
	e.b = append(e.b, command.Kind...)
	e.b = append(e.b, command.Owner.Member...)
	e.ints(int(command.Token.Index), int(command.Renewals), int(command.Nonce))
}

func (e *encoder) request(r request) { e.ints(r.client, int(r.token.Index)) }

// set appends the sum of the items' hashes, which does not depend on their
// order: in whichever order things are in flight, the same can follow.
func (e *encoder) set(n int, appendItem func(i int)) {
	var sum uint64
	for i := range n {
		start := len(e.b)
		appendItem(i)
		sum += maphash.Bytes(e.seed, e.b[start:])
		e.b = e.b[:start]
	}
	e.b = binary.LittleEndian.AppendUint64(e.b, sum)
	e.ints(n)
}
