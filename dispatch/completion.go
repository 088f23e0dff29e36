package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// RunCompleted reports how a run ended, how long it took, and its result. The answer has the
// result of a failed run as well.
func (c *Core) RunCompleted(id string, end RunEnd, took time.Duration, result Payload) {
	c.report(runCompleted{id, end, took, result})
}

type runCompleted struct {
	id     string
	end    RunEnd
	took   time.Duration
	result Payload
}

// runOutcomes are the outcomes that the module gets for each end of a run.
var runOutcomes = [...]decision.Outcome{
	RunSucceeded: decision.Succeeded, RunFailed: decision.Failed,
	RunCancelled: decision.Cancelled, RunNotStarted: decision.NotStarted,
}

func (e runCompleted) apply(c *Core) {
	a := c.attempts[e.id]
	if a == nil || !a.state.started() {
		return
	}
	c.dropCall(a)
	c.releasePoolSlot(a, e.took, e.end == RunSucceeded)
	if c.canResume(a, e.end) {
		c.transition(a, statePaused)
		c.module.RunDone(c.now, e.id, decision.Cancelled, e.took)
		return
	}
	if e.end == RunNotStarted {
		a.mayHaveRun = false
	}
	c.recordRun(a, e.end, e.result)
	c.respondToRun(a, e.end, e.result)
	if a.answered {
		c.transition(a, stateFinished)
	} else {
		c.transition(a, stateQueued)
	}
	c.module.RunDone(c.now, e.id, runOutcomes[e.end], e.took)
	c.removeIfDone(a)
}

// canResume reports whether a run that has ended is only paused: it was cancelled while its
// request has no answer, and the settings have CancelPause.
func (c *Core) canResume(a *attempt, end RunEnd) bool {
	return end == RunCancelled && a.state == stateCancelling && !a.answered && c.settings.CancelMode == decision.CancelPause
}

// respondToRun answers an attempt whose run has ended. If the run was cancelled, the attempt
// has its answer already or the module decides about it.
func (c *Core) respondToRun(a *attempt, end RunEnd, result Payload) {
	switch end {
	case RunSucceeded:
		c.respond(a, Outcome{Kind: Served, Result: result})
	case RunFailed, RunNotStarted:
		o := c.failureOutcome(a)
		o.Result = result
		c.respond(a, o)
	}
}

// recordRun records the end of a keyed run for its duplicates: in the table, at the peer and
// in the journal.
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
	c.recordKey(a.entry, true)
}

// recordKey records the state of a key in the journal, if there is one, without waiting for
// it. If the record fails, the journal may hold a claim without its end. The key is then in doubt
// after a restart: it does not run again within its window, and its retries fail.
func (c *Core) recordKey(e *idempotency.Entry, completed bool) {
	if c.options.Journal == nil {
		return
	}
	state := c.keyStateWith(e, completed)
	c.options.Journal.Record(state, func(err error) {
		if err != nil {
			c.log.Warn("journal_failed", "key", state.Key, "error", err.Error())
		}
	})
}

// resolveDuplicates schedules answers to the duplicates that waited for the run of a key.
func (c *Core) resolveDuplicates(e *idempotency.Entry, waiting []string) {
	for _, id := range waiting {
		c.deferEvent(duplicateResolved{c.attempts[id], e})
	}
}

// duplicateResolved answers a duplicate with the result of the attempt that ran, or as failed
// if there is none or the two have different bodies.
type duplicateResolved struct {
	attempt *attempt
	entry   *idempotency.Entry
}

func (e duplicateResolved) apply(c *Core) {
	a := e.attempt
	if a.answered {
		return
	}
	outcome := decision.Failed
	if e.entry != nil && e.entry.Result() != nil && e.entry.BodyHash() == a.bodyHash {
		outcome = decision.Succeeded
		c.respond(a, Outcome{Kind: Served, Result: *e.entry.Result()})
	} else {
		c.respond(a, c.failureOutcome(a))
	}
	c.module.RunDone(c.now, a.ID, outcome, 0)
	c.removeIfDone(a)
}
