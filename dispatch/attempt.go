package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
	"quincerail.example/quincerail/limits"
)

// attempt is one attempt of a request: the submitted request, its class settings at the
// arrival, and its progress.
//
// Its lifecycle is a state machine. The decision module starts a queued or paused attempt
// (host.Run). From then until the core reports the end of the run (RunDone), the module
// counts the attempt as running, even while the core waits before the backend may start the
// run. The table omits the prefix of the states' names.
//
//	from             to                          when
//	received         queued                      admitted: reported to the decision module
//	                 finished                    answered without being admitted
//	queued           heldAfterStall              started right after a long stall of the process
//	                 awaitingJournal             started; the claim of its key has to be made durable
//	                 awaitingPeer                started; its key is claimed from the predecessor
//	                 awaitingPoolSlot            started; its class's pool is full
//	                 startDenied                 started after the drain's grace, or its run is expected to end too late
//	                 running                     started; the backend starts the run
//	                 finished                    answered, or its caller gave up, before the start
//	heldAfterStall   as queued                   the hold is over
//	                 finished                    its caller gave up during the hold
//	awaitingJournal  awaitingPeer                claim durable; its key is claimed from the predecessor as well
//	                 awaitingPoolSlot,
//	                 startDenied, running        claim durable
//	                 queued                      the predecessor has disconnected, and another attempt has run for the key
//	                 finished                    claim can't be made durable, or its caller gave up
//	awaitingPeer     awaitingPoolSlot,
//	                 startDenied, running        claim granted, or the predecessor has disconnected
//	                 queued                      claim denied: it waits for the result of the attempt that has the claim
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
//	                 startDenied                 started again; it still has the claim of its key
//	                 finished                    answered, or its caller gave up
//
// The module has states of its own (policy/request.go). An attempt that is queued here is
// queued or coalesced there, or running if it was started and waits for the result of
// another attempt of its key. A paused attempt is preempted there, and a started one
// (attemptState.started) is running, awaitingCall or callInFlight.
//
// An attempt is in Core.attempts from received to finished. Four facts do not follow from
// the state and have fields of their own: answered, mayHaveRun, holdsPoolSlot and resumed.
type attempt struct {
	Request
	state attemptState

	// answered is set when the final answer is given or the caller gives up. The run may
	// continue after that.
	answered bool
	// mayHaveRun is set when the backend gets the run, and reset if the backend proves that
	// the run did not start. While it is set, the run may have had its effect.
	mayHaveRun bool
	// holdsPoolSlot is set while poolPermit has to be released to the pools.
	holdsPoolSlot bool
	poolPermit    limits.Permit
	// resumed is set from the restart of a paused run by the module until the backend starts
	// it.
	resumed bool

	classIndex    int
	tenantIndex   int
	classSettings decision.Class // at the arrival of the request
	arrivedAt     time.Duration
	readAfter     time.Duration // lower bound of when its last byte arrived; at least arrivedAt
	readBefore    time.Duration // upper bound of when its last byte arrived
	deadline      time.Duration
	backend       Backend
	bodyHash      uint64             // of keyed requests
	call          *downstreamCall    // that the run waits for; nil for none
	callsMade     int                // the number of the latest call
	entry         *idempotency.Entry // of keyed requests
}

// attemptState is a state of an attempt; see there for the transitions.
type attemptState uint8

const (
	// stateReceived: submitted, but not reported to the decision module.
	stateReceived attemptState = iota
	// stateQueued: waits for the decision module to start it, or for the result of the
	// attempt that it duplicates.
	stateQueued
	// stateHeldAfterStall: started; held until a drain notice that was sent during the stall
	// would have been received.
	stateHeldAfterStall
	// stateAwaitingJournal: started; waits until the claim of its key is durable.
	stateAwaitingJournal
	// stateAwaitingPeer: started; waits for the predecessor's decision on the claim.
	stateAwaitingPeer
	// stateAwaitingPoolSlot: started; waits in the queue of its class's pool.
	stateAwaitingPoolSlot
	// stateStartDenied: started by the module, but may not run. Right after the module's
	// decision, it is shed and its run is reported as not started.
	stateStartDenied
	// stateRunning: the backend has the run.
	stateRunning
	// stateCancelling: the backend has the run and was asked to cancel it.
	stateCancelling
	// statePaused: the run is paused at the backend, and the module may start it again.
	statePaused
	// stateFinished: answered and not running. The attempt is removed from Core.attempts.
	stateFinished

	attemptStates = iota
)

// String returns the state's name in log events.
func (s attemptState) String() string {
	return [attemptStates]string{
		stateReceived: "received", stateQueued: "queued", stateHeldAfterStall: "held_after_stall",
		stateAwaitingJournal: "awaiting_journal", stateAwaitingPeer: "awaiting_peer",
		stateAwaitingPoolSlot: "awaiting_pool_slot", stateStartDenied: "start_denied",
		stateRunning: "running", stateCancelling: "cancelling", statePaused: "paused", stateFinished: "finished",
	}[s]
}

// started reports whether the decision module counts the attempt as running, so that the end
// of the run has to be reported to it.
func (s attemptState) started() bool {
	switch s {
	case stateReceived, stateQueued, statePaused, stateFinished:
		return false
	}
	return true
}

// awaitsClaim reports whether the start waits until the claim is durable or granted.
func (s attemptState) awaitsClaim() bool {
	return s == stateAwaitingJournal || s == stateAwaitingPeer
}

// stateSet is a set of states, with one bit for each.
type stateSet uint16

func setOf(states ...attemptState) (set stateSet) {
	for _, s := range states {
		set |= 1 << s
	}
	return set
}

func (set stateSet) has(s attemptState) bool { return set&(1<<s) != 0 }

// transitions are the states that may follow each state, as in the table at attempt.
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

// transition is the only function that changes the state of an attempt. A transition that is
// not in the table is a bug of the core. It is logged and takes place nevertheless, because
// the caller must still get an answer.
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
