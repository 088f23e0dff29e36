package policy

import (
	"cmp"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

// state is the state of a request.
//
//	from                          on                                          to
//	-                             RequestReceived                             received
//	received                      admission                                   queued
//	received                      admission, with DuplicateOf (coalesce)      coalesced
//	queued, preempted             Host.Run                                    running
//	running                       RunDone after preemption                    preempted
//	running                       CallNeeded                                  awaitingCall
//	awaitingCall                  Host.Call                                   callInFlight
//	awaitingCall                  Host.SkipCall                               running
//	callInFlight                  CallDone, succeeded                         running
//	callInFlight                  CallDone, any other outcome                 awaitingCall
//	received, queued              its answer                                  finished
//	preempted, coalesced          its answer                                  finished
//	any but finished              RunDone                                     finished
//
// A request that is answered while it runs or waits for a call stays in its state until
// RunDone, because it still uses cores, memory and calls.
type state uint8

const (
	received     state = iota // read in this batch; admission is pending
	queued                    // waits to run
	preempted                 // its run is paused and waits to be resumed
	coalesced                 // waits for the result of the request that it duplicates
	running                   // uses a core or the disk
	awaitingCall              // its run waits for a call that is not in flight
	callInFlight              // its run waits for a call in flight
	finished
)

// request is one attempt of a request and its state.
type request struct {
	decision.Request
	class       *decision.Class
	arrivedAt   time.Duration // when it arrived at the machine
	dueAt       time.Duration // deadline of its caller
	weight      float64       // priority weight; the highest runs first
	state       state
	answered    bool          // it has its answer or needs none; its run may continue
	mayHaveRun  bool          // it or the request that it duplicates may have had the effect
	preempting  bool          // its run was cancelled and will be resumed
	cachedUntil time.Duration // when its cached result expires; 0 if none is cached
	runTime     time.Duration // total run time; while it runs, the total before this run minus its start
	callCount   int           // calls that its run has needed so far, without retries
	call        callProgress  // the current call
}

// callProgress is the state of a call that a run waits for.
type callProgress struct {
	notBefore     time.Duration // earliest time of the next attempt
	sequenceIndex int           // index in the optimizer's sequence
	attempts      int           // attempts made so far
	timeout       timeoutChoice // of the latest attempt
}

// newRequest returns a request in the state received, which was read now.
func (in *Instance) newRequest(incoming decision.Request) *request {
	class := &in.settings.Classes[incoming.Class]
	req := &request{
		Request: incoming, class: class, arrivedAt: in.now - incoming.ReadLag, dueAt: incoming.Deadline,
		state: received,
	}
	if req.dueAt <= 0 {
		req.dueAt = max(in.now, req.arrivedAt+class.Deadline)
	}
	req.weight = in.requestWeight(class, incoming.Tenant, incoming.Retry)
	return req
}

// setState changes a request's state. It updates the queue, the request's run time, the
// reserved memory and the number of requests in each state.
func (in *Instance) setState(req *request, to state) {
	in.accrueCallCredit() // at the number of calls in flight before the change
	in.transitionCount++
	if req.isWaitingToRun() {
		in.queue.remove(req)
	}
	if req.state == running {
		req.runTime += in.now
	} else if to == running {
		req.runTime -= in.now
	}
	in.reservedKB += in.reservedMemory(req, to) - in.reservedMemory(req, req.state)
	in.stateCount[req.state]--
	in.stateCount[to]++
	req.state = to
	if req.isWaitingToRun() {
		in.queue.insert(req)
	}
}

// isWaitingToRun reports whether a request is in the queue.
func (req *request) isWaitingToRun() bool { return req.state == queued || req.state == preempted }

// reservedMemory returns the memory, in KB, that a request reserves in a state.
func (in *Instance) reservedMemory(req *request, s state) float64 {
	switch s {
	case finished:
		return 0
	case received, queued, coalesced:
		return req.ReservedKB
	default:
		return float64(req.ReservedKB * in.settings.RunningMemoryFactor)
	}
}

// comparePriority orders requests by descending weight, then by arrival.
func comparePriority(a, b *request) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// priorityQueue holds the requests that wait to run, sorted by comparePriority.
type priorityQueue []*request

// insert adds a request before any others that compare equal.
func (p *priorityQueue) insert(req *request) {
	at, _ := slices.BinarySearchFunc(*p, req, comparePriority)
	*p = slices.Insert(*p, at, req)
}

// remove removes a request.
func (p *priorityQueue) remove(req *request) {
	*p = slices.DeleteFunc(*p, func(other *request) bool { return other == req })
}
