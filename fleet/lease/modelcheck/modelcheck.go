package modelcheck

import (
	"fmt"
	"strings"

	"quincerail.example/quincerail/fleet/lease"
)

// Config bounds the states that a search visits. Each Max field bounds a total
// along one trace.
type Config struct {
	Timing        lease.Timing
	ClockRates    []float64 // rate of each client's clock: 1 is exact, 1.1 runs 10% fast
	MaxTimeSteps  int       // number of AdvanceTime transitions
	MaxCommands   int       // commands sent by all clients
	MaxDuplicates int       // duplicates of commands and requests
	MaxPauses     int       // pauses of all clients between checking the lease and sending
	MaxRequests   int       // requests sent by all clients
	DisableFence  bool      // makes the receiver accept any token, to test that the search finds the violation
}

// TransitionKind names the effect of a transition.
type TransitionKind string

// The kinds of transitions. The package comment describes them.
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
	Index int // index of the client, or of the command or request in flight; 0 for AdvanceTime
}

// String returns the transition as "kind:index", or only the kind for
// AdvanceTime. Error texts contain this form.
func (t Transition) String() string {
	if t.Kind == AdvanceTime {
		return string(t.Kind)
	}
	return fmt.Sprintf("%s:%d", t.Kind, t.Index)
}

// Result is the size of a search. After a violation it covers the levels that were
// completed before, and the states visited until then.
type Result struct {
	States int // number of distinct states visited
	Depth  int // number of breadth-first levels searched
}

// ViolationError reports a violated invariant and the trace from the initial
// state to the violation. Run returns a shortest trace.
type ViolationError struct {
	Invariant string // description of the violation
	Trace     []Transition
}

func (e *ViolationError) Error() string {
	steps := make([]string, len(e.Trace))
	for i, transition := range e.Trace {
		steps[i] = transition.String()
	}
	return fmt.Sprintf("modelcheck: %s, after the trace: %s", e.Invariant, strings.Join(steps, " "))
}

// TransitionError reports a transition of a trace that is not enabled in the
// state before it, or changes nothing there.
type TransitionError struct {
	Step       int // index of the transition in the trace
	Transition Transition
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("modelcheck: transition %s at step %d of the trace is not possible", e.Transition, e.Step)
}
