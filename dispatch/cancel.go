package dispatch

// CancelRequest reports that a caller no longer waits for the request that it handed in
// with a Responder; no answer is owed. The Responder keeps others from cancelling it by
// its id.
func (c *Core) CancelRequest(id string, r Responder) { c.notify(requestCancelled{id, r}) }

type requestCancelled struct {
	id        string
	responder Responder
}

func (e requestCancelled) apply(c *Core) {
	if a := c.unansweredAttempt(e.id, e.responder); a != nil {
		c.giveUp(a)
	}
}

// CallerDisconnected reports that the caller's connection has ended; no answer is owed. It
// may retry: a keyed run goes on, so that a retry gets its result, as it must not run a
// second time.
func (c *Core) CallerDisconnected(id string, r Responder) { c.notify(callerDisconnected{id, r}) }

type callerDisconnected struct {
	id        string
	responder Responder
}

func (e callerDisconnected) apply(c *Core) {
	a := c.unansweredAttempt(e.id, e.responder)
	switch {
	case a == nil:
	case a.entry != nil && a.state.started():
		c.markAnswered(a) // the module hears of the run's end as of any other's
	default:
		c.giveUp(a)
	}
}

// unansweredAttempt returns the attempt that was handed in with a Responder, if it has no
// answer yet.
func (c *Core) unansweredAttempt(id string, r Responder) *attempt {
	if a := c.attempts[id]; a != nil && !a.answered && a.Responder == r {
		return a
	}
	return nil
}

// giveUp ends an attempt that no caller waits for.
func (c *Core) giveUp(a *attempt) {
	c.markAnswered(a)
	if c.module != nil {
		c.module.RequestCancelled(c.now, a.ID)
	}
	c.removeIfDone(a)
}

// Cancel cancels a run. One that waits for its claim, or is held after a stall, can't be
// cancelled; if it is answered by the time that its wait ends, it is not begun.
func (h host) Cancel(id string) {
	a := h.attempts[id]
	switch {
	case a == nil || !a.state.started() || a.state.awaitsClaim() || a.state == stateHeldAfterStall:
	case a.state == stateAwaitingPoolSlot:
		h.pools.Cancel(a.classIndex, id)
		h.deferEvent(runCompleted{id: id, end: RunNotStarted})
	default:
		if a.state == stateRunning {
			h.transition(a, stateCancelling)
		}
		a.backend.Cancel(id)
	}
}
