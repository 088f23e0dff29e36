package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// RunCompleted reports how a run ended.
func (c *Core) RunCompleted(id string, end RunEnd, took time.Duration, result Payload) {
	c.notify(runCompleted{id, end, took, result})
}

type runCompleted struct {
	id     string
	end    RunEnd
	took   time.Duration
	result Payload
}

// runOutcomes are the ends of a run as the module knows them.
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

// canResume reports whether a run that has ended was only paused: it was cancelled, its
// request still waits for an answer, and the settings let cancelled runs go on later.
func (c *Core) canResume(a *attempt, end RunEnd) bool {
	return end == RunCancelled && a.state == stateCancelling && !a.answered && c.settings.CancelMode == decision.CancelPause
}

// respondToRun answers an attempt whose run has ended. One whose run was cancelled is left
// to the module, or has its answer already.
func (c *Core) respondToRun(a *attempt, end RunEnd, result Payload) {
	switch end {
	case RunSucceeded:
		c.respond(a, Outcome{Kind: Served, Result: result})
	case RunFailed, RunNotStarted:
		o := c.failure(a)
		o.Result = result
		c.respond(a, o)
	}
}

// recordRun records how a keyed run ended, for its duplicates: in the table, at the peer
// and in the journal.
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

// recordKey has the journal, where there is one, record the state of a key; nothing waits
// for it. If that fails, the claim stays in force, in doubt: its retries fail, and it does
// not run again within its window.
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

// settleDuplicates has the duplicates that waited for a key settled.
func (c *Core) settleDuplicates(e *idempotency.Entry, waiting []string) {
	for _, id := range waiting {
		c.deferEvent(duplicateSettled{c.attempts[id], e})
	}
}

// duplicateSettled answers a duplicate with what the attempt that ran came to.
type duplicateSettled struct {
	attempt *attempt
	entry   *idempotency.Entry
}

func (e duplicateSettled) apply(c *Core) {
	a := e.attempt
	if a.answered {
		return
	}
	outcome := decision.Failed
	if e.entry != nil && e.entry.Result() != nil && e.entry.BodyHash() == a.bodyHash {
		outcome = decision.Succeeded
		c.respond(a, Outcome{Kind: Served, Result: *e.entry.Result()})
	} else {
		c.respond(a, c.failure(a))
	}
	c.module.RunDone(c.now, a.ID, outcome, 0)
	c.removeIfDone(a)
}
