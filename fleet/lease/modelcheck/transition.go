package modelcheck

import (
	"fmt"
	"slices"

	"quincerail.example/quincerail/fleet/lease"
)

// enabled returns the transitions that are possible in a state. An idle client
// needs no transition, because time advances independently of it. Only a delay
// between a client's check of the lease and its request needs one: Pause.
func (s *state) enabled(config Config) []Transition {
	var transitions []Transition
	for i := range s.clients {
		transitions = append(transitions, s.enabledForClient(config, i)...)
	}
	if int(s.now/timeStep) < config.MaxTimeSteps {
		transitions = append(transitions, Transition{AdvanceTime, 0})
	}
	mayDuplicate := s.used.duplicates < config.MaxDuplicates
	for i := range s.commands {
		transitions = append(transitions, Transition{Commit, i})
		if mayDuplicate {
			transitions = append(transitions, Transition{CommitDuplicate, i})
		}
	}
	for i := range s.requests {
		transitions = append(transitions, Transition{Deliver, i})
		if mayDuplicate {
			transitions = append(transitions, Transition{DeliverDuplicate, i})
		}
	}
	return transitions
}

// enabledForClient returns the transitions that one client can make.
func (s *state) enabledForClient(config Config, client int) []Transition {
	if s.paused[client] != nil {
		return []Transition{{Resume, client}}
	}
	var transitions []Transition
	if s.used.commands < config.MaxCommands {
		transitions = append(transitions, Transition{Tick, client})
	}
	if s.applied[client] < len(s.log) {
		transitions = append(transitions, Transition{ApplyEntry, client})
	}
	if _, holds := s.holds(config, client); !holds || s.used.requests >= config.MaxRequests {
		return transitions
	}
	transitions = append(transitions, Transition{Send, client})
	if s.used.pauses < config.MaxPauses {
		transitions = append(transitions, Transition{Pause, client})
	}
	return transitions
}

// next returns the state after an enabled transition, or nil if the transition
// changes nothing. The error describes the invariant that the next state
// violates.
func (s *state) next(config Config, transition Transition) (*state, error) {
	after := *s
	index := transition.Index
	switch transition.Kind {
	case AdvanceTime:
		after.now += timeStep
	case Tick:
		if !after.tick(config, index) {
			return nil, nil
		}
	case Commit, CommitDuplicate:
		after.commit(index, transition.Kind == CommitDuplicate)
	case ApplyEntry:
		after.applyEntry(config, index)
	case Send:
		after.requests = append(slices.Clone(s.requests), after.newRequest(config, index))
	case Pause:
		after.pause(config, index)
	case Resume:
		after.resume(index)
	case Deliver, DeliverDuplicate:
		if err := after.deliver(config, index, transition.Kind == DeliverDuplicate); err != nil {
			return &after, err
		}
	default:
		return nil, fmt.Errorf("modelcheck: unknown transition %s", transition)
	}
	return &after, after.checkOwners(config)
}

// cloneClient replaces a client by a copy that may be modified, and returns it.
func (s *state) cloneClient(client int) *lease.Client {
	s.clients = slices.Clone(s.clients)
	s.clients[client] = s.clients[client].Clone()
	return s.clients[client]
}

// tick sends the commands that a client's Tick returns, and reports whether there
// were any.
func (s *state) tick(config Config, client int) bool {
	sent := s.cloneClient(client).Tick(s.clock(config, client), true)
	s.commands = append(slices.Clone(s.commands), sent...)
	s.used.commands += len(sent)
	return len(sent) > 0
}

// commit appends a command in flight to the log.
func (s *state) commit(index int, duplicate bool) {
	s.log = append(slices.Clone(s.log), s.commands[index])
	if duplicate {
		s.used.duplicates++
		return
	}
	s.commands = slices.Delete(slices.Clone(s.commands), index, index+1)
}

// applyEntry applies a client's next log entry.
func (s *state) applyEntry(config Config, client int) {
	index := s.applied[client]
	token := lease.Token{Term: logTerm, Index: uint64(index + 1)}
	s.cloneClient(client).Apply(s.log[index], token, s.clock(config, client))
	s.applied = slices.Clone(s.applied)
	s.applied[client]++
}

// newRequest returns a request with the token of the client's lease.
func (s *state) newRequest(config Config, client int) request {
	token, _ := s.holds(config, client)
	s.used.requests++
	return request{client, token}
}

// pause prepares a client's request and pauses the client before sending it.
func (s *state) pause(config Config, client int) {
	prepared := s.newRequest(config, client)
	s.paused = slices.Clone(s.paused)
	s.paused[client] = &prepared
	s.used.pauses++
}

// resume sends a paused client's request.
func (s *state) resume(client int) {
	s.requests = append(slices.Clone(s.requests), *s.paused[client])
	s.paused = slices.Clone(s.paused)
	s.paused[client] = nil
}

// deliver passes a request in flight to the receiver.
func (s *state) deliver(config Config, index int, duplicate bool) error {
	if err := s.receive(config, s.requests[index]); err != nil {
		return err
	}
	if duplicate {
		s.used.duplicates++
		return nil
	}
	s.requests = slices.Delete(slices.Clone(s.requests), index, index+1)
	return nil
}

// receive implements the receiver: it accepts the requests that its fence admits.
// It returns an error if the accepted requests violate an invariant.
func (s *state) receive(config Config, received request) error {
	var fence lease.Fence
	if err := fence.Admit(leaseName, s.highestAccepted); err != nil {
		return err
	}
	if err := fence.Admit(leaseName, received.token); err != nil && !config.DisableFence {
		return nil // rejected, as required
	}
	if received.token.Compare(s.highestAccepted) < 0 {
		return fmt.Errorf("the receiver accepted token %v after token %v", received.token, s.highestAccepted)
	}
	s.highestAccepted = received.token
	for _, earlier := range s.accepted {
		if earlier.token == received.token && earlier.client != received.client {
			return fmt.Errorf("the receiver accepted requests of clients %d and %d under token %v", earlier.client, received.client, received.token)
		}
	}
	if !slices.Contains(s.accepted, received) {
		s.accepted = append(slices.Clone(s.accepted), received)
	}
	return nil
}
