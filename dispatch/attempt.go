package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/limits"
)

// attempt is one attempt of a request: what its caller handed in, how the settings
// in force at its arrival see it, and how far it has come.
//
// Its life is a state machine. The decision module starts a queued or paused attempt
// (host.Run); until the core reports the run's end (RunDone), the module counts it as
// running, whatever the core still waits for before the backend may begin it.
//
//	state            leaves for                  when
//	received         queued                      admitted: the decision module knows it
//	                 finished                    answered without being admitted
//	queued           heldAfterStall              started right after a long stall of the process
//	                 awaitingJournal             started; its key's claim has to be made durable
//	                 awaitingPeer                started; its key is claimed from the predecessor
//	                 awaitingPoolSlot            started; its class's pool is full
//	                 startDenied                 started after the drain's grace, or no room in the pool's queue
//	                 running                     started; the backend begins it
//	                 finished                    answered, or its caller gave up, before it was started
//	heldAfterStall   as queued                   the hold is over
//	                 finished                    its caller gave up during the hold
//	awaitingJournal  awaitingPeer                claim durable; it is claimed from the predecessor as well
//	                 awaitingPoolSlot,
//	                 startDenied, running        claim durable
//	                 queued                      the predecessor has disconnected, and another attempt has the key
//	                 finished                    claim can't be made durable, or its caller gave up
//	awaitingPeer     awaitingPoolSlot,
//	                 startDenied, running        claim granted, or the predecessor has disconnected
//	                 queued                      claim denied: it waits for the result of the attempt that has it
//	                 finished                    its caller gave up
//	awaitingPoolSlot running                     a slot is free
//	                 startDenied                 a slot is free, but the drain's grace is over
//	                 finished                    cancelled in the queue
//	startDenied      finished                    shed, and its run reported as not started
//	running          cancelling                  the module cancels the run
//	                 queued                      the backend cancelled the run, and no answer was given
//	                 finished                    the run has ended
//	cancelling       paused                      the backend paused the run (decision.CancelPause)
//	                 queued                      the backend cancelled the run, and no answer was given
//	                 finished                    the run has ended
//	paused           running, awaitingPoolSlot,
//	                 startDenied                 started again; its key's claim still holds
//	                 finished                    answered, or its caller gave up
//
// The module has states of its own (policy/request.go). In its view an attempt that is
// queued here is queued or coalesced; or running, if it was started and waits for the
// result of another attempt, which has its key. One that is paused here is preempted, and
// one that is started (attemptState.started) is running, awaitingCall or callInFlight.
//
// An attempt is in Core.attempts from received to finished. Four facts do not follow
// from the state, and are kept beside it: answered, mayHaveRun, holdsPoolSlot and resumed.
type attempt struct {
	Request
	state attemptState

	// answered is set with the one answer, or when the caller gives up. A run may go on
	// after that.
	answered bool
	// mayHaveRun is set once the backend gets the run, and unset if the backend proves
	// that it did not begin. While it is set, the run may have had its effect.
	mayHaveRun bool
	// holdsPoolSlot is set while poolPermit is to be given back to the pools.
	holdsPoolSlot bool
	poolPermit    limits.Permit
	// resumed is set from the moment at which a paused run is started again until the
	// backend begins it.
	resumed bool

	classIndex    int
	tenantIndex   int
	classSettings decision.Class // as they were when the request came
	arrivedAt     time.Duration
	readAfter     time.Duration // its last byte came after this; arrivedAt at the earliest
	readBefore    time.Duration // its last byte came before this
	deadline      time.Duration
	backend       Backend
	bodyHash      uint64 // of keyed requests
	call          *downstreamCall
	callsMade     int
	entry         *idempotency.Entry // of keyed requests
}

// attemptState is how far an attempt has come.
type attemptState uint8

const (
	// stateReceived: read by a front and handed in, but not known to the decision module.
	stateReceived attemptState = iota
	// stateQueued: waits for the decision module to start it, or for the result of
	// the attempt that it repeats.
	stateQueued
	// stateHeldAfterStall: started, but held back until a drain notice that came while
	// the process stood still would have been seen.
	stateHeldAfterStall
	// stateAwaitingJournal: started; waits until its key's claim is durable.
	stateAwaitingJournal
	// stateAwaitingPeer: started; waits for the predecessor's decision on its key's claim.
	stateAwaitingPeer
	// stateAwaitingPoolSlot: started; waits in the queue of its class's pool.
	stateAwaitingPoolSlot
	// stateStartDenied: started by the module, but it may not begin. It is shed, and
	// its run reported as not started, as soon as the module's decision is over.
	stateStartDenied
	// stateRunning: its backend has the run.
	stateRunning
	// stateCancelling: its backend has the run and the order to cancel it.
	stateCancelling
	// statePaused: its run is paused at the backend, and the module may start it again.
	statePaused
	// stateFinished: answered, and nothing runs for it any more. It is forgotten.
	stateFinished

	attemptStates = iota
)

// String names the state.
func (s attemptState) String() string {
	return [attemptStates]string{
		stateReceived: "received", stateQueued: "queued", stateHeldAfterStall: "held_after_stall",
		stateAwaitingJournal: "awaiting_journal", stateAwaitingPeer: "awaiting_peer",
		stateAwaitingPoolSlot: "awaiting_pool_slot", stateStartDenied: "start_denied",
		stateRunning: "running", stateCancelling: "cancelling", statePaused: "paused", stateFinished: "finished",
	}[s]
}

// started tells whether the decision module counts the attempt as running, and is owed
// a report of the run's end.
func (s attemptState) started() bool {
	switch s {
	case stateReceived, stateQueued, statePaused, stateFinished:
		return false
	}
	return true
}

// awaitsClaim tells whether the start waits until its key's claim is durable or granted.
func (s attemptState) awaitsClaim() bool {
	return s == stateAwaitingJournal || s == stateAwaitingPeer
}

// stateSet is a set of states, a bit for each.
type stateSet uint16

func setOf(states ...attemptState) (set stateSet) {
	for _, s := range states {
		set |= 1 << s
	}
	return set
}

func (set stateSet) has(s attemptState) bool { return set&(1<<s) != 0 }

// transitions is the table in attempt's comment: the states that may follow each.
var transitions = [attemptStates]stateSet{
	stateReceived: setOf(stateQueued, stateFinished),
	stateQueued: setOf(stateHeldAfterStall, stateAwaitingJournal, stateAwaitingPeer, stateAwaitingPoolSlot,
		stateStartDenied, stateRunning, stateFinished),
	stateHeldAfterStall: setOf(stateAwaitingJournal, stateAwaitingPeer, stateAwaitingPoolSlot,
		stateStartDenied, stateRunning, stateFinished),
	stateAwaitingJournal: setOf(stateAwaitingPeer, stateAwaitingPoolSlot, stateStartDenied, stateRunning,
		stateQueued, stateFinished),
	stateAwaitingPeer:     setOf(stateAwaitingPoolSlot, stateStartDenied, stateRunning, stateQueued, stateFinished),
	stateAwaitingPoolSlot: setOf(stateRunning, stateStartDenied, stateFinished),
	stateStartDenied:      setOf(stateFinished),
	stateRunning:          setOf(stateCancelling, stateQueued, stateFinished),
	stateCancelling:       setOf(statePaused, stateQueued, stateFinished),
	statePaused:           setOf(stateRunning, stateAwaitingPoolSlot, stateStartDenied, stateFinished),
}

// transition moves an attempt to another state, and is the only place that does. One that
// is not in the table is a fault of the core: it is logged, and the attempt moves on, as
// its caller is still owed an answer.
func (c *Core) transition(a *attempt, to attemptState) {
	from := a.state
	a.state = to
	if !transitions[from].has(to) {
		c.log.Error("attempt_transition_invalid", "request", a.ID, "from", from.String(), "to", to.String())
	}
	if c.onTransition != nil {
		c.onTransition(a, from, to)
	}
}
