package modelcheck

import (
	"fmt"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// leaseName is the name of the model's only lease.
const leaseName = "work"

// timeStep is the exact time that passes in one AdvanceTime transition.
const timeStep = 100 * time.Millisecond

// clockOffset is the difference between the clocks of consecutive clients at the
// start. The invariants must hold although the clocks' readings differ.
const clockOffset = time.Hour

// logTerm is the Raft term of all log entries.
const logTerm = 1

// request is fleet work that an owner sends to the receiver.
type request struct {
	client int
	token  lease.Token
}

// state is one state of the model. States share their slices, so a transition
// replaces a slice and never modifies it.
type state struct {
	now             time.Duration // exact time
	clients         []*lease.Client
	applied         []int // number of log entries that each client has applied
	log             []lease.Command
	commands        []lease.Command // in flight to the log
	requests        []request       // in flight to the receiver
	paused          []*request      // what each paused client sends when it resumes; nil if not paused
	highestAccepted lease.Token     // highest token that the receiver accepted
	accepted        []request       // distinct requests that the receiver accepted
	used            usage
}

// usage counts what the Max fields of Config bound, except the time steps.
type usage struct{ commands, duplicates, pauses, requests int }

// initialState returns the state before the first transition.
func initialState(config Config) (*state, error) {
	n := len(config.ClockRates)
	s := &state{applied: make([]int, n), paused: make([]*request, n)}
	for i := range n {
		self := lease.Owner{Member: fmt.Sprint("m", i), Incarnation: 1}
		client, err := lease.NewClient(self, config.Timing, []string{leaseName})
		if err != nil {
			return nil, err
		}
		s.clients = append(s.clients, client)
	}
	return s, nil
}

// clock returns the reading of a client's clock.
func (s *state) clock(config Config, client int) time.Duration {
	return time.Duration(client)*clockOffset + time.Duration(float64(s.now)*config.ClockRates[client])
}

// holds reports whether a client holds the lease, and returns its token.
func (s *state) holds(config Config, client int) (lease.Token, bool) {
	return s.clients[client].Holds(leaseName, s.clock(config, client))
}

// checkOwners returns an error if more than one client holds the lease.
func (s *state) checkOwners(config Config) error {
	owners := 0
	for i := range s.clients {
		if _, holds := s.holds(config, i); holds {
			owners++
		}
	}
	if owners > 1 {
		return fmt.Errorf("%d clients hold the lease at the same instant", owners)
	}
	return nil
}
