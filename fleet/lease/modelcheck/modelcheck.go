package modelcheck

import (
	"fmt"
	"strings"

	"quincerail.example/quincerail/fleet/lease"
)

// Config bounds the states that a search visits.
type Config struct {
	Timing        lease.Timing
	ClockRates    []float64 // of each client's clock: 1 is exact, 1.1 runs a tenth fast
	MaxTimeSteps  int       // by which time advances
	MaxCommands   int       // that all clients send
	MaxDuplicates int       // of commands and requests
	MaxPauses     int       // of clients between checking the lease and sending
	MaxRequests   int       // that all clients send
	DisableFence  bool      // the receiver accepts any token: shows that the search finds the violation
}

// TransitionKind is what happens in a transition.
type TransitionKind string

// The kinds of transitions; the package's comment describes them.
const (
	AdvanceTime      TransitionKind = "time"
	Tick             TransitionKind = "tick"
	Commit           TransitionKind = "commit"
	CommitDuplicate  TransitionKind = "commit-duplicate"
	ApplyEntry       TransitionKind = "apply"
	Send             TransitionKind = "send"
	Pause            TransitionKind = "pause"
	Resume           TransitionKind = "resume"
	Deliver          TransitionKind = "deliver"
	DeliverDuplicate TransitionKind = "deliver-duplicate"
)

// Transition is one step of a trace.
type Transition struct {
	Kind  TransitionKind
	Index int // of the client, or of the command or request in flight; 0 for AdvanceTime
}

// String returns the transition as violations show it, "kind:index".
func (t Transition) String() string {
	if t.Kind == AdvanceTime {
		return string(t.Kind)
	}
	return fmt.Sprintf("%s:%d", t.Kind, t.Index)
}

// Result is the size of a completed search.
type Result struct {
	States int // distinct states visited
	Depth  int // transitions of the longest trace
}

// ViolationError reports an invariant that does not hold, and a shortest trace
// from the initial state to its violation.
type ViolationError struct {
	Invariant string // how it was violated
	Trace     []Transition
}

func (e *ViolationError) Error() string {
	steps := make([]string, len(e.Trace))
	for i, transition := range e.Trace {
		steps[i] = transition.String()
	}
	return fmt.Sprintf("modelcheck: %s, after: %s", e.Invariant, strings.Join(steps, " "))
}

// TransitionError reports a transition of a trace that is impossible in the
// state that the trace has reached.
type TransitionError struct {
	Step       int // index of the transition in the trace
	Transition Transition
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("modelcheck: step %d, %s, is impossible", e.Step, e.Transition)
}
