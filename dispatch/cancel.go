package dispatch

// CancelRequest cancels a request that has no answer yet, which then gets none. r must be the
// Responder with which it was submitted, so that no other caller can cancel it by its id.
func (c *Core) CancelRequest(id string, r Responder) { c.notify(requestCancelled{id, r}) }

type requestCancelled struct {
	id        string
	responder Responder
}

func (e requestCancelled) apply(c *Core) {
	if a := c.unansweredAttempt(e.id, e.responder); a != nil {
		c.cancelAttempt(a)
	}
}

// CallerDisconnected reports that the connection of a request's caller has ended; the request
// gets no answer. A keyed run continues: the caller may retry, and the retry must get its
// result instead of running a second time. Any other request is cancelled.
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
		c.markAnswered(a) // the end of the run is reported to the module as usual
	default:
		c.cancelAttempt(a)
	}
}

// unansweredAttempt returns the attempt with that id if it was submitted with the Responder
// and has no answer yet, else nil.
func (c *Core) unansweredAttempt(id string, r Responder) *attempt {
	if a := c.attempts[id]; a != nil && !a.answered && a.Responder == r {
		return a
	}
	return nil
}

// cancelAttempt ends an attempt whose caller no longer waits.
func (c *Core) cancelAttempt(a *attempt) {
	c.markAnswered(a)
	if c.module != nil {
		c.module.RequestCancelled(c.now, a.ID)
	}
	c.removeIfDone(a)
}

// Cancel cancels a run. It has no effect on an attempt that waits for its claim or is held
// after a stall: such an attempt does not run if it is answered when its wait ends.
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
