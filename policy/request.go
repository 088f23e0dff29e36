package policy

import (
	"cmp"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

// state is where a request is in its life.
//
//	from                          on                                          to
//	-                             RequestReceived                             received
//	received                      admitted                                    queued
//	received                      it repeats a request that is known          coalesced
//	queued, preempted             its turn (Host.Run)                         running
//	running                       RunDone, cancelled for another request      preempted
//	running                       CallNeeded                                  awaitingCall
//	awaitingCall                  Host.Call                                   callInFlight
//	awaitingCall                  Host.SkipCall                               running
//	callInFlight                  CallDone, succeeded                         running
//	callInFlight                  CallDone, any other outcome                 awaitingCall
//	received to coalesced         its answer, as nothing of it is under way   finished
//	any but finished              RunDone                                     finished
//
// A request that is answered while it runs or calls stays in its state until RunDone,
// as it still takes cores, memory and calls.
type state uint8

const (
	received     state = iota // read in this batch, not yet decided on
	queued                    // waits for its turn to run
	preempted                 // has run, and waits to be resumed
	coalesced                 // waits for the result of the request that it repeats
	running                   // on the cores or at the disk
	awaitingCall              // its run waits for a call that has not been made
	callInFlight              // its call is under way
	finished
)

// request is one attempt of a request, with what has become of it.
type request struct {
	decision.Request
	class       *decision.Class
	arrivedAt   time.Duration // when it reached the machine
	dueAt       time.Duration // its deadline
	weight      float64       // priority weight; the greatest runs first
	state       state
	answered    bool          // it has its answer, whatever still runs
	mayHaveRun  bool          // it may have had its effect
	preempting  bool          // its run was cancelled to be resumed later
	cachedUntil time.Duration // end of its entry among the cached results; 0 without one
	runTime     time.Duration // time that it has run; while it runs, less the time when it began
	callCount   int           // calls that its run has needed so far
	call        callProgress  // of the call that it needs now
}

// callProgress is the state of a call that a run waits for.
type callProgress struct {
	notBefore time.Duration // the next attempt is not made before then
	step      int           // place in the sequence of time-outs
	attempts  int           // times that it was made
	timeout   timeoutChoice // of the latest attempt
}

// newRequest returns a request that is read now, in the state received.
func (in *Instance) newRequest(r decision.Request) *request {
	class := &in.settings.Classes[r.Class]
	q := &request{Request: r, class: class, arrivedAt: in.now - r.Waited, dueAt: r.Deadline, state: received}
	if q.dueAt <= 0 {
		q.dueAt = max(in.now, q.arrivedAt+class.Deadline)
	}
	q.weight = in.requestWeight(class, r.Tenant, r.Retry)
	return q
}

// moveTo changes a request's state, and with it the queue, the time that the request
// has run, the memory that is reserved and the number of requests in each state.
func (in *Instance) moveTo(q *request, to state) {
	in.accrueCallCredit() // at the number of calls until now
	in.transitions++
	if q.isWaitingToRun() {
		in.queue.remove(q)
	}
	if q.state == running {
		q.runTime += in.now
	} else if to == running {
		q.runTime -= in.now
	}
	in.reservedKB += in.reservedMemory(q, to) - in.reservedMemory(q, q.state)
	in.count[q.state]--
	in.count[to]++
	q.state = to
	if q.isWaitingToRun() {
		in.queue.insert(q)
	}
}

// isWaitingToRun tells whether a request is in the queue.
func (q *request) isWaitingToRun() bool { return q.state == queued || q.state == preempted }

// reservedMemory returns the memory in KB that a request needs in a state.
func (in *Instance) reservedMemory(q *request, s state) float64 {
	switch s {
	case finished:
		return 0
	case received, queued, coalesced:
		return q.ReservedKB
	default:
		return q.ReservedKB * in.settings.RunningMemoryFactor
	}
}

// comparePriority orders requests: the greatest weight first, then the oldest.
func comparePriority(a, b *request) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// priorityQueue holds the requests that wait to run, in the order of comparePriority.
type priorityQueue []*request

// insert adds a request before others of its priority.
func (p *priorityQueue) insert(q *request) {
	at, _ := slices.BinarySearchFunc(*p, q, comparePriority)
	*p = slices.Insert(*p, at, q)
}

// remove takes out a request.
func (p *priorityQueue) remove(q *request) {
	*p = slices.DeleteFunc(*p, func(other *request) bool { return other == q })
}
