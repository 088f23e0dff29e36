package dispatch

import (
	"context"
	"log/slog"
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/idempotency"
)

// Answer: the final answer is given and remembered.

// respond gives a request its final answer. All answers go through here, which is
// what guards that there is one and no more.
func (c *Core) respond(a *attempt, o Outcome) {
	if guard.MayAnswer(a.answered) != nil {
		return
	}
	a.answered = true
	c.logResponse(a, o)
	c.checkResponse(a, o)
	a.Responder.Respond(a.ID, o)
	c.inFlight.Add(-1)
	if c.options.Observer != nil {
		repeat := o.Kind == Served && a.entry != nil && a.entry.RanAttemptID() != a.ID
		class := a.Class
		if _, taken := c.currentSettings.Load().classes.indexOf[class]; !taken {
			class = RemovedClass
		}
		c.options.Observer.ObserveResponse(class, o.Kind, time.Duration(c.now-a.arrivedAt), repeat)
	}
	c.removeIfDone(a)
}

// logResponse traces a request's final answer, at the level debug.
func (c *Core) logResponse(a *attempt, o Outcome) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.log.Debug("request_answered", "request", a.ID, "class", a.Class, "kind", o.Kind.String(),
		"after", (c.now - a.arrivedAt).Round(time.Millisecond).String(), "begun", a.state.started(), "ran", a.mayHaveRun, "draining", c.draining)
}

// respondOverdue answers what the module has let pass its time, so that rule 1
// holds whatever it does. It hears nothing of a request whose id it still knows
// from an earlier one, for example: a caller that uses an id again would wait
// for ever.
func (c *Core) respondOverdue() {
	late := c.settings.DeadlineSlack * 3 / 4 // the module's own guard comes at half of it
	for id, a := range c.attempts {
		if !a.answered && (c.now > a.deadline+late || c.stopAt != 0 && c.now > c.stopAt) {
			c.respond(a, c.failure(a))
			c.module.CallerGone(c.now, id)
		}
	}
}

// removeIfDone drops an attempt of which nothing more is to come. What still runs
// is remembered until its end is told.
func (c *Core) removeIfDone(a *attempt) {
	if !a.answered || a.state.started() || c.attempts[a.ID] != a {
		return
	}
	delete(c.attempts, a.ID)
	paused := a.state == statePaused
	if a.state != stateFinished {
		c.transition(a, stateFinished)
	}
	if a.entry == nil {
		return
	}
	if paused {
		c.recordRun(a, RunCancelled, Payload{})
	}
	c.settleDuplicates(a.entry, c.keys.Unregister(a.entry, a.ID))
}

// recordRun remembers what a keyed run came to, for its repeats.
func (c *Core) recordRun(a *attempt, end RunEnd, result Payload) {
	if a.entry == nil || a.entry.RanAttemptID() != a.ID {
		return
	}
	switch end {
	case RunSucceeded:
		c.keys.StoreResult(a.entry, result)
	case RunNotStarted:
		c.keys.ReleaseClaim(a.entry, a.ID)
	}
	c.replicateKey(a.entry, true)
	c.journal(a.entry, true)
}

// journal records what has become of a key, where there is a journal; nothing
// waits for it. One that is lost leaves the claim in force, in doubt: its
// repeats fail, and it never runs again within its window.
func (c *Core) journal(e *idempotency.Entry, over bool) {
	if c.options.Journal != nil {
		k := c.keyState(e)
		k.Completed = over
		c.options.Journal.Record(k, func(err error) {
			if err != nil {
				c.log.Warn("journal_failed", "key", k.Key, "error", err.Error())
			}
		})
	}
}

// Unanswered tells how many requests have no answer and a caller that waits for one, once
// all that was handed in before is taken in.
func (c *Core) Unanswered(reply func(requests int)) error {
	return c.enqueue(func() {
		waiting := 0
		for _, a := range c.attempts {
			if !a.answered {
				waiting++
			}
		}
		reply(waiting)
	})
}
