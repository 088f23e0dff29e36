package routing

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// Relay: what backend and dependency report goes on to the module and back.

// Completed tells how a run ended.
func (c *Core) Completed(id string, end End, took time.Duration, result Payload) {
	c.post(func() { c.completed(id, end, took, result) })
}

func (c *Core) completed(id string, end End, took time.Duration, result Payload) {
	a := c.attempts[id]
	if a == nil || !a.begun {
		return
	}
	c.endCall(a)
	c.released(a, took, end == Good)
	a.pooled = false
	if end == Cut && a.halting && !a.answered && c.set.Stop == decision.StopPause {
		a.begun, a.paused = false, true // what it has of its key stays claimed
		c.module.Done(c.now, id, decision.Cancelled, took)
		return
	}
	if end == Unborn {
		a.ran = false
	}
	outcome := [...]decision.Outcome{Good: decision.OK, Bad: decision.Errored, Cut: decision.Cancelled, Unborn: decision.Moot}[end]
	c.recordRun(a, end, result)
	switch end {
	case Good:
		c.answer(a, Outcome{Kind: Served, Result: result})
	case Bad, Unborn:
		o := c.failure(a)
		o.Result = result
		c.answer(a, o)
	}
	a.begun = false
	c.module.Done(c.now, id, outcome, took)
	c.release(a)
}

// Asked tells that a run waits for a call.
func (c *Core) Asked(id string, notice uint64, body []byte) {
	c.post(func() {
		a := c.attempts[id]
		if a == nil || !a.begun || a.call != nil && a.call.notice >= notice {
			return
		}
		c.endCall(a)
		a.call = &call{notice: notice, body: body}
		c.module.NeedsCall(c.now, id)
	})
}

// Called tells how the call of that number ended.
func (c *Core) Called(id string, number int, end CallEnd, reply []byte) {
	c.post(func() {
		if a := c.attempts[id]; a != nil && a.call != nil && !a.call.givenUp {
			c.called(a, number, end, reply)
		}
	})
}

func (c *Core) called(a *attempt, number int, end CallEnd, reply []byte) {
	k := a.call
	if k == nil || !k.out || a.calls != number { // late: it was given up, and another may be out
		return
	}
	k.out, k.unseen = false, end == decision.Full || end == decision.ConnectFailed
	if k.timer != nil {
		k.timer.Stop()
	}
	if end == decision.OK {
		a.call = nil
		a.backend.Answer(a.ID, reply)
	}
	c.module.CallDone(c.now, a.ID, end, c.now-k.since)
}

// settleRepeat ends a repeat with what the try that ran came to.
func (c *Core) settleRepeat(a *attempt, e *entry) {
	if a.answered {
		return
	}
	outcome := decision.Errored
	if e != nil && e.result != nil && e.body == a.body {
		outcome = decision.OK
		c.answer(a, Outcome{Kind: Served, Result: *e.result})
	} else {
		c.answer(a, c.failure(a))
	}
	c.module.Done(c.now, a.ID, outcome, 0)
	c.release(a)
}
