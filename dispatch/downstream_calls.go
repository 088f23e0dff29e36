package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// downstreamCall is the call to the shared dependency that a run waits for.
type downstreamCall struct {
	notice      uint64 // the backend's number of the notice that asked for it
	body        []byte
	inFlight    bool
	abandoned   bool // while it is in flight: a reply comes too late
	attempted   bool // at least once
	hadNoEffect bool // the last attempt is proven to have had no effect
	startedAt   time.Duration
	timer       *time.Timer
}

// CallRequested reports that a run waits for a downstream call. notice grows with each
// call of a run.
func (c *Core) CallRequested(id string, notice uint64, body []byte) {
	c.notify(callRequested{id, notice, body})
}

type callRequested struct {
	id     string
	notice uint64
	body   []byte
}

func (e callRequested) apply(c *Core) {
	a := c.attempts[e.id]
	if a == nil || !a.state.started() || a.call != nil && a.call.notice >= e.notice {
		return
	}
	c.dropCall(a)
	a.call = &downstreamCall{notice: e.notice, body: e.body}
	c.module.CallNeeded(c.now, e.id)
}

// Call makes the call that a run waits for, or a retry of it, if guard allows it. The
// dependency keeps no time-out: after it the core abandons the call (callTimedOut).
func (h host) Call(id string, timeout time.Duration) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	if err := guard.MayCall(a.callFacts()); err != nil {
		if errors.Is(err, guard.ErrMayHaveRun) {
			h.options.Monitor.RecordDenial(guard.RepeatedCall, err, id)
			h.deferEvent(callDenied{id})
		}
		return
	}
	call := a.call
	call.inFlight, call.abandoned, call.startedAt, call.attempted = true, false, h.now, true
	a.callsMade++
	number := a.callsMade
	if h.options.Dependency == nil {
		h.deferEvent(callEnded{a, number, decision.ConnectFailed})
		return
	}
	c := h.Core
	call.timer = time.AfterFunc(timeout, func() { c.notify(callTimedOut{a, call, number}) })
	h.options.Dependency.Call(id, number, timeout, call.body)
}

// callDenied reports a call that was not made as failed.
type callDenied struct{ id string }

func (e callDenied) apply(c *Core) { c.module.CallDone(c.now, e.id, decision.Failed, 0) }

// callTimedOut abandons a call.
type callTimedOut struct {
	attempt *attempt
	call    *downstreamCall
	number  int
}

func (e callTimedOut) apply(c *Core) {
	a, call := e.attempt, e.call
	if a.call != call || !call.inFlight || a.callsMade != e.number {
		return
	}
	call.abandoned = true
	c.options.Dependency.Abandon(a.ID)
	call.timer = time.AfterFunc(c.abandonedCallDelay(), func() {
		c.notify(callEnded{a, e.number, decision.TimedOut})
	})
}

// abandonedCallBatches is for how many batches the end of an abandoned call is held back.
const abandonedCallBatches = 2

// abandonedCallDelay is how long after a call was abandoned the module hears of its end. The
// dependency processes an abandonment once a batch: a call that is made again before that
// would be abandoned together with the first one.
func (c *Core) abandonedCallDelay() time.Duration {
	return abandonedCallBatches * c.settings.BatchInterval
}

// callEnded reports the end of a call that the core knows by itself.
type callEnded struct {
	attempt *attempt
	number  int
	outcome CallOutcome
}

func (e callEnded) apply(c *Core) { c.finishCall(e.attempt, e.number, e.outcome, nil) }

// CallCompleted reports how the call of that number ended.
func (c *Core) CallCompleted(id string, number int, end CallOutcome, reply []byte) {
	c.notify(callCompleted{id, number, end, reply})
}

type callCompleted struct {
	id      string
	number  int
	outcome CallOutcome
	reply   []byte
}

func (e callCompleted) apply(c *Core) {
	if a := c.attempts[e.id]; a != nil && a.call != nil && !a.call.abandoned {
		c.finishCall(a, e.number, e.outcome, e.reply)
	}
}

// finishCall takes in how a call ended, passes a reply on to the backend, and reports the
// end to the module, which decides whether the call is retried.
func (c *Core) finishCall(a *attempt, number int, outcome CallOutcome, reply []byte) {
	call := a.call
	if call == nil || !call.inFlight || a.callsMade != number { // it is late: another may be in flight
		return
	}
	call.inFlight, call.hadNoEffect = false, outcome.ProvesNoEffect()
	if call.timer != nil {
		call.timer.Stop()
	}
	if outcome == decision.Succeeded {
		a.call = nil
		a.backend.ReplyToCall(a.ID, reply)
	}
	c.module.CallDone(c.now, a.ID, outcome, c.now-call.startedAt)
}

// SkipCall has a run go on without its call.
func (h host) SkipCall(id string) {
	if a := h.attempts[id]; a != nil && a.call != nil {
		notice := a.call.notice
		h.dropCall(a)
		a.backend.SkipCall(id, notice)
	}
}

// dropCall forgets the call that a run waited for, and abandons it if it is in flight.
func (c *Core) dropCall(a *attempt) {
	call := a.call
	a.call = nil
	if call == nil || !call.inFlight {
		return
	}
	if call.timer != nil {
		call.timer.Stop()
	}
	if c.options.Dependency != nil {
		c.options.Dependency.Abandon(a.ID)
	}
}
