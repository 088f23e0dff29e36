package dispatch

import (
	"context"
	"log/slog"
	"time"

	"quincerail.example/quincerail/guard"
)

// respond gives an attempt its final answer, unless it has one. All answers to attempts go
// through it, so that there is exactly one.
func (c *Core) respond(a *attempt, o Outcome) {
	if guard.MayAnswer(a.answered) != nil {
		return
	}
	a.answered = true
	c.logResponse(a, o)
	c.checkResponse(a, o)
	a.Responder.Respond(a.ID, o)
	c.inFlight.Add(-1)
	c.observeResponse(a, o)
	c.removeIfDone(a)
}

// markAnswered marks an attempt as answered but gives no answer, because its caller no longer
// waits.
func (c *Core) markAnswered(a *attempt) {
	a.answered = true
	c.inFlight.Add(-1)
}

func (c *Core) observeResponse(a *attempt, o Outcome) {
	if c.options.Observer == nil {
		return
	}
	duplicate := o.Kind == Served && a.entry != nil && a.entry.RanAttemptID() != a.ID
	class := a.Class
	if _, inForce := c.currentSettings.Load().classes.indexOf[class]; !inForce {
		class = RemovedClass
	}
	c.options.Observer.ObserveResponse(class, o.Kind, c.now-a.arrivedAt, duplicate)
}

// logResponse logs an answer at level debug.
func (c *Core) logResponse(a *attempt, o Outcome) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.log.Debug("request_answered", "request", a.ID, "class", a.Class, "kind", o.Kind.String(),
		"after", (c.now - a.arrivedAt).Round(time.Millisecond).String(),
		"begun", a.state.started(), "ran", a.mayHaveRun, "draining", c.drain.draining)
}

// failureOutcome returns the answer to a request that fails: TimedOut if its deadline has
// passed or is at most the slack away, else Failed.
func (c *Core) failureOutcome(a *attempt) Outcome {
	if c.now+c.settings.DeadlineSlack >= a.deadline {
		return Outcome{Kind: TimedOut}
	}
	return Outcome{Kind: Failed}
}

// overdueDelay returns how long after its deadline the core itself answers a request. That is
// after the module, which answers at half of the slack, and before the end of the slack.
func overdueDelay(slack time.Duration) time.Duration { return slack * 3 / 4 }

// respondOverdue answers the requests that the module has not answered in time or by the end
// of a drain, so that every request gets an answer regardless of the module. For example, the
// module ignores a request whose id it still knows from an earlier one.
func (c *Core) respondOverdue() {
	for id, a := range c.attempts {
		overdue := c.now > a.deadline+overdueDelay(c.settings.DeadlineSlack) || c.drain.stopAt != 0 && c.now > c.drain.stopAt
		if !a.answered && overdue {
			c.respond(a, c.failureOutcome(a))
			c.module.RequestCancelled(c.now, id)
		}
	}
}

// removeIfDone removes an attempt that is answered and not started. A started one is kept
// until the end of its run is reported.
func (c *Core) removeIfDone(a *attempt) {
	if !a.answered || a.state.started() || c.attempts[a.ID] != a {
		return
	}
	delete(c.attempts, a.ID)
	wasPaused := a.state == statePaused
	if a.state != stateFinished {
		c.transition(a, stateFinished)
	}
	if a.entry == nil {
		return
	}
	if wasPaused {
		c.recordRun(a, RunCancelled, Payload{})
	}
	c.resolveDuplicates(a.entry, c.keys.Unregister(a.entry, a.ID))
}

// InFlight returns the number of requests that were received and have no answer yet.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// CountUnanswered calls reply with the number of requests whose caller still waits for an answer,
// after all requests that were submitted before the call have been received.
func (c *Core) CountUnanswered(reply func(requests int)) error {
	return c.enqueue(unansweredRequested{reply})
}

type unansweredRequested struct{ reply func(requests int) }

func (e unansweredRequested) apply(c *Core) {
	unanswered := 0
	for _, a := range c.attempts {
		if !a.answered {
			unanswered++
		}
	}
	e.reply(unanswered)
}
