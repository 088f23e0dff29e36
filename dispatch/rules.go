package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// What package guard is asked about an attempt, and the checks after the fact: what was
// done in spite of all is counted as a violation of the rule.

// startFacts is what counts for beginning a run.
func (c *Core) startFacts(a *attempt) guard.Start {
	return guard.Start{
		Answered: a.answered, Running: a.state.started(), Resumed: a.state == statePaused,
		KeyRan: a.entry != nil && a.entry.RanInWindow(a.arrivedAt),
		ReadBy: a.readBefore, Draining: c.draining, GraceEnd: c.graceEnd,
	}
}

// recheckStart decides once more about a run that the module has begun, right before its
// backend hears of it.
func (c *Core) recheckStart(a *attempt) error {
	return guard.MayStart(guard.Start{
		Resumed: a.resumed, ReadBy: a.readBefore, Draining: c.draining, GraceEnd: c.graceEnd,
	})
}

// checkStart counts a run that begins against the rules.
func (c *Core) checkStart(a *attempt) {
	switch {
	case a.resumed:
	case a.entry != nil && a.entry.RanAttemptID() != a.ID, a.mayHaveRun && a.classSettings.Effect != decision.Idempotent:
		c.options.Monitor.Violated(guard.DuplicateRun, "request", a.ID, "key", a.Key)
	case c.draining && a.readBefore > c.graceEnd:
		c.options.Monitor.Violated(guard.DrainStart, "request", a.ID, "read_after_grace", (a.readBefore - c.graceEnd).String())
	}
	a.resumed, a.mayHaveRun = false, true
}

// callFacts is what counts for making the call that a run stands at.
func (a *attempt) callFacts() guard.Call {
	k := a.call
	if k == nil {
		return guard.Call{}
	}
	return guard.Call{Needed: true, InFlight: k.inFlight, Attempted: k.attempted, ProvenWithoutEffect: k.hadNoEffect, Idempotent: a.classSettings.Effect == decision.Idempotent}
}

// shedFacts is what counts for turning a request away.
func (a *attempt) shedFacts() guard.Shed {
	keyRan := a.entry != nil && a.entry.RanInWindow(a.arrivedAt)
	return guard.Shed{Idempotent: a.classSettings.Effect == decision.Idempotent, MayHaveRun: keyRan || a.mayHaveRun}
}

// checkResponse counts an answer against the rules.
func (c *Core) checkResponse(a *attempt, o Outcome) {
	if late := c.now - max(a.deadline, a.readBefore) - c.settings.DeadlineSlack; late > 0 {
		c.options.Monitor.Violated(guard.LateAnswer, "request", a.ID, "late_by", late.Round(time.Millisecond).String())
	}
	if err := guard.MayShed(a.shedFacts()); o.Kind == Shed && err != nil {
		c.options.Monitor.Violated(guard.ShedAfterRun, "request", a.ID, "reason", err.Error())
	}
}
