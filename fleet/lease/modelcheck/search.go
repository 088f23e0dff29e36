package modelcheck

import (
	"hash/maphash"
	"runtime"
	"slices"
	"sync"
)

// batchSize is the maximum number of states that one goroutine expands.
const batchSize = 512

// noParent is the parent index of the initial state, which has no parent.
const noParent = -1

// visit records how a state was first reached.
type visit struct {
	parent     int // index in search.visited of the state before the transition
	transition Transition
}

// frontierState is a visited state that has not been expanded yet.
type frontierState struct {
	state *state
	index int // in search.visited
}

// successor is a state that one transition reaches from a frontier state.
type successor struct {
	visit
	state       *state // nil if an invariant is violated
	fingerprint uint64
	violation   error // nil if all invariants hold
}

// search is a breadth-first search in progress.
type search struct {
	config  Config
	seed    maphash.Seed
	known   map[uint64]bool // fingerprints of all visited states
	visited []visit
}

// Run visits all states within the bounds of a configuration. It returns a
// *ViolationError if an invariant does not hold.
func Run(config Config) (Result, error) {
	initial, err := initialState(config)
	if err != nil {
		return Result{}, err
	}
	s := &search{config: config, seed: maphash.MakeSeed(), known: map[uint64]bool{}}
	s.known[initial.fingerprint(config, s.seed)] = true
	s.visited = []visit{{parent: noParent}}
	frontier := []frontierState{{initial, 0}}
	depth := 0
	for ; len(frontier) > 0; depth++ {
		if frontier, err = s.visitSuccessors(frontier); err != nil {
			break
		}
	}
	return Result{States: len(s.visited), Depth: depth}, err
}

// visitSuccessors visits all successors of the frontier and returns those that
// were not visited before.
func (s *search) visitSuccessors(frontier []frontierState) ([]frontierState, error) {
	var next []frontierState
	for _, found := range s.expandAll(frontier) {
		if found.violation != nil {
			return nil, &ViolationError{Invariant: found.violation.Error(), Trace: s.trace(found.visit)}
		}
		if s.known[found.fingerprint] {
			continue
		}
		s.known[found.fingerprint] = true
		next = append(next, frontierState{found.state, len(s.visited)})
		s.visited = append(s.visited, found.visit)
	}
	return next, nil
}

// expandAll expands the frontier in parallel. The result has the order of the
// frontier.
func (s *search) expandAll(frontier []frontierState) []successor {
	batches := slices.Collect(slices.Chunk(frontier, batchSize))
	found := make([][]successor, len(batches))
	running := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i, batch := range batches {
		running <- struct{}{}
		wg.Go(func() {
			found[i] = s.expand(batch)
			<-running
		})
	}
	wg.Wait()
	return slices.Concat(found...)
}

// expand returns the successors of a batch of states, up to the first violation.
func (s *search) expand(batch []frontierState) []successor {
	var successors []successor
	for _, from := range batch {
		for _, transition := range from.state.enabled(s.config) {
			after, err := from.state.next(s.config, transition)
			found := successor{visit: visit{from.index, transition}, violation: err}
			if err != nil {
				return append(successors, found)
			}
			if after == nil {
				continue
			}
			found.state, found.fingerprint = after, after.fingerprint(s.config, s.seed)
			successors = append(successors, found)
		}
	}
	return successors
}

// trace returns the transitions from the initial state to a visit, inclusive.
func (s *search) trace(last visit) []Transition {
	var transitions []Transition
	for v := last; v.parent != noParent; v = s.visited[v.parent] {
		transitions = append(transitions, v.transition)
	}
	slices.Reverse(transitions)
	return transitions
}

// Replay runs a trace from the initial state. It returns a *ViolationError for
// the first violated invariant, a *TransitionError for a transition that is not
// possible, and nil if the trace has neither.
func Replay(config Config, trace []Transition) error {
	current, err := initialState(config)
	if err != nil {
		return err
	}
	for i, transition := range trace {
		if !slices.Contains(current.enabled(config), transition) {
			return &TransitionError{Step: i, Transition: transition}
		}
		after, err := current.next(config, transition)
		switch {
		case err != nil:
			return &ViolationError{Invariant: err.Error(), Trace: trace[:i+1]}
		case after == nil: // the transition changes nothing
			return &TransitionError{Step: i, Transition: transition}
		}
		current = after
	}
	return nil
}
