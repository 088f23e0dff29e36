package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// Relay: what backend and dependency report goes on to the module and back.

// RunCompleted tells how a run ended.
func (c *Core) RunCompleted(id string, end RunEnd, took time.Duration, result Payload) {
	c.enqueue(func() { c.completeRun(id, end, took, result) })
}

func (c *Core) completeRun(id string, end RunEnd, took time.Duration, result Payload) {
	a := c.attempts[id]
	if a == nil || !a.state.started() {
		return
	}
	c.dropCall(a)
	c.releasePoolSlot(a, took, end == RunSucceeded)
	if end == RunCancelled && a.state == stateCancelling && !a.answered && c.settings.CancelMode == decision.CancelPause {
		c.transition(a, statePaused) // what it has of its key stays claimed
		c.module.RunDone(c.now, id, decision.Cancelled, took)
		return
	}
	if end == RunNotStarted {
		a.mayHaveRun = false
	}
	outcome := [...]decision.Outcome{RunSucceeded: decision.Succeeded, RunFailed: decision.Failed, RunCancelled: decision.Cancelled, RunNotStarted: decision.NotStarted}[end]
	c.recordRun(a, end, result)
	switch end {
	case RunSucceeded:
		c.respond(a, Outcome{Kind: Served, Result: result})
	case RunFailed, RunNotStarted:
		o := c.failure(a)
		o.Result = result
		c.respond(a, o)
	}
	if a.answered {
		c.transition(a, stateFinished)
	} else {
		c.transition(a, stateQueued)
	}
	c.module.RunDone(c.now, id, outcome, took)
	c.removeIfDone(a)
}

// CallRequested tells that a run waits for a call.
func (c *Core) CallRequested(id string, notice uint64, body []byte) {
	c.enqueue(func() {
		a := c.attempts[id]
		if a == nil || !a.state.started() || a.call != nil && a.call.notice >= notice {
			return
		}
		c.dropCall(a)
		a.call = &downstreamCall{notice: notice, body: body}
		c.module.CallNeeded(c.now, id)
	})
}

// CallCompleted tells how the call of that number ended.
func (c *Core) CallCompleted(id string, number int, end CallOutcome, reply []byte) {
	c.enqueue(func() {
		if a := c.attempts[id]; a != nil && a.call != nil && !a.call.abandoned {
			c.finishCall(a, number, end, reply)
		}
	})
}

func (c *Core) finishCall(a *attempt, number int, end CallOutcome, reply []byte) {
	k := a.call
	if k == nil || !k.inFlight || a.callsMade != number { // late: it was given up, and another may be out
		return
	}
	k.inFlight, k.hadNoEffect = false, end == decision.Rejected || end == decision.ConnectFailed
	if k.timer != nil {
		k.timer.Stop()
	}
	if end == decision.Succeeded {
		a.call = nil
		a.backend.ReplyToCall(a.ID, reply)
	}
	c.module.CallDone(c.now, a.ID, end, c.now-k.startedAt)
}

// settleDuplicate ends a repeat with what the try that ran came to.
func (c *Core) settleDuplicate(a *attempt, e *idempotency.Entry) {
	if a.answered {
		return
	}
	outcome := decision.Failed
	if e != nil && e.Result() != nil && e.BodyHash() == a.bodyHash {
		outcome = decision.Succeeded
		c.respond(a, Outcome{Kind: Served, Result: *e.Result()})
	} else {
		c.respond(a, c.failure(a))
	}
	c.module.RunDone(c.now, a.ID, outcome, 0)
	c.removeIfDone(a)
}
