package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// downstreamCall is the call to the shared dependency that a run waits for, with its retries.
type downstreamCall struct {
	notice      uint64 // the number of the backend's notice that requested the call
	body        []byte
	inFlight    bool
	abandoned   bool          // abandoned while in flight: a reply to it is ignored
	attempted   bool          // made at least once
	hadNoEffect bool          // the latest attempt is proven to have had no effect
	startedAt   time.Duration // of the latest attempt
	timer       *time.Timer   // for its timeout, or for its end once it is abandoned
}

// CallRequested reports that a run waits for a downstream call. notice increases with each
// call of a run. A report is ignored if the run already waits for a call with an equal or
// greater number.
func (c *Core) CallRequested(id string, notice uint64, body []byte) {
	c.report(callRequested{id, notice, body})
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

// Call makes the call that a run waits for, or retries it, if guard allows that. The core,
// not the dependency, enforces the timeout (callTimedOut).
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
		h.deferEvent(callEndedByCore{a, number, decision.ConnectFailed})
		return
	}
	c := h.Core
	call.timer = time.AfterFunc(timeout, func() { c.report(callTimedOut{a, call, number}) })
	h.options.Dependency.Call(id, number, timeout, call.body)
}

// callDenied reports to the module that a call which guard denied has failed.
type callDenied struct{ id string }

func (e callDenied) apply(c *Core) { c.module.CallDone(c.now, e.id, decision.Failed, 0) }

// callTimedOut abandons a call, and reports its end to the module after abandonedCallDelay.
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
		c.report(callEndedByCore{a, e.number, decision.TimedOut})
	})
}

// abandonedCallBatches is the number of batches by which the report of an abandoned call to
// the module is delayed.
const abandonedCallBatches = 2

// abandonedCallDelay returns how long after a call was abandoned its end is reported to the
// module. The delay is needed because the dependency processes abandonments once per batch: a
// retry that the module makes before that would be abandoned as well.
func (c *Core) abandonedCallDelay() time.Duration {
	return abandonedCallBatches * c.settings.BatchInterval
}

// callEndedByCore reports the end of a call that the dependency does not report: it was
// abandoned, or there is no dependency.
type callEndedByCore struct {
	attempt *attempt
	number  int
	outcome CallOutcome
}

func (e callEndedByCore) apply(c *Core) { c.finishCall(e.attempt, e.number, e.outcome, nil) }

// CallCompleted reports how the run's call with the given number ended. The report is ignored
// if the call was abandoned or is not the latest of its run.
func (c *Core) CallCompleted(id string, number int, outcome CallOutcome, reply []byte) {
	c.report(callCompleted{id, number, outcome, reply})
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

// finishCall records how a call ended, passes the reply of a successful one to the backend,
// and reports the end to the module, which decides about a retry.
func (c *Core) finishCall(a *attempt, number int, outcome CallOutcome, reply []byte) {
	call := a.call
	if call == nil || !call.inFlight || a.callsMade != number { // stale: another call may be in flight
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

// SkipCall lets a run continue without the call that it waits for.
func (h host) SkipCall(id string) {
	if a := h.attempts[id]; a != nil && a.call != nil {
		notice := a.call.notice
		h.dropCall(a)
		a.backend.SkipCall(id, notice)
	}
}

// dropCall removes the call that a run waits for, and abandons it if it is in flight.
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
