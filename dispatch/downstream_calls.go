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

// Call makes the call that a run waits for. The dependency keeps no time-out, so the core
// abandons it.
func (h host) Call(id string, timeout time.Duration) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	if err := guard.MayCall(a.callFacts()); err != nil {
		if errors.Is(err, guard.ErrMayHaveRun) {
			h.options.Monitor.Denied(guard.RepeatedCall, err, id)
			h.deferEvent(callDenied{id})
		}
		return
	}
	k := a.call
	k.inFlight, k.abandoned, k.startedAt, k.attempted = true, false, h.now, true
	a.callsMade++
	number := a.callsMade
	if h.options.Dependency == nil {
		h.deferEvent(callEnded{a, number, decision.ConnectFailed})
		return
	}
	c := h.Core
	k.timer = time.AfterFunc(timeout, func() { c.notify(callTimedOut{a, k, number}) })
	h.options.Dependency.Call(id, number, timeout, k.body)
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
	a, k := e.attempt, e.call
	if a.call != k || !k.inFlight || a.callsMade != e.number {
		return
	}
	k.abandoned = true
	c.options.Dependency.Abandon(a.ID)
	k.timer = time.AfterFunc(c.abandonedCallDelay(), func() {
		c.notify(callEnded{a, e.number, decision.TimedOut})
	})
}

// abandonedCallDelay is how long after a call was abandoned the module hears of its end. The
// other parties process an abandonment once a batch: a call that is made again before that
// would be abandoned together with the first one.
func (c *Core) abandonedCallDelay() time.Duration { return 2 * c.settings.BatchInterval }

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

func (c *Core) finishCall(a *attempt, number int, outcome CallOutcome, reply []byte) {
	k := a.call
	if k == nil || !k.inFlight || a.callsMade != number { // it is late: another may be in flight
		return
	}
	k.inFlight, k.hadNoEffect = false, outcome.ProvesNoEffect()
	if k.timer != nil {
		k.timer.Stop()
	}
	if outcome == decision.Succeeded {
		a.call = nil
		a.backend.ReplyToCall(a.ID, reply)
	}
	c.module.CallDone(c.now, a.ID, outcome, c.now-k.startedAt)
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
	k := a.call
	a.call = nil
	if k == nil || !k.inFlight {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	if c.options.Dependency != nil {
		c.options.Dependency.Abandon(a.ID)
	}
}
