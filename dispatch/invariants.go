package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// The facts that package guard decides by, and the checks after the fact: what breaks a
// rule in spite of the guard is counted as a violation.

// startFacts are the facts by which an attempt may be started.
func (c *Core) startFacts(a *attempt) guard.Start {
	return guard.Start{
		Answered: a.answered, Running: a.state.started(), Resumed: a.state == statePaused,
		KeyRan: a.entry != nil && a.entry.RanInWindow(a.arrivedAt),
		ReadBy: a.readBefore, Draining: c.drain.draining, GraceEnd: c.drain.graceEnd,
	}
}

// recheckStart decides once more about an attempt that the module has started, right before
// its backend begins it.
func (c *Core) recheckStart(a *attempt) error {
	return guard.MayStart(guard.Start{
		Resumed: a.resumed, ReadBy: a.readBefore, Draining: c.drain.draining, GraceEnd: c.drain.graceEnd,
	})
}

// checkStart counts a violation if a run that begins breaks a rule.
func (c *Core) checkStart(a *attempt) {
	switch {
	case a.resumed:
	case a.entry != nil && a.entry.RanAttemptID() != a.ID, a.mayHaveRun && a.classSettings.Idempotency != decision.Idempotent:
		c.options.Monitor.Violated(guard.DuplicateRun, "request", a.ID, "key", a.Key)
	case c.drain.draining && a.readBefore > c.drain.graceEnd:
		c.options.Monitor.Violated(guard.DrainStart, "request", a.ID, "read_after_grace", (a.readBefore - c.drain.graceEnd).String())
	}
}

// callFacts are the facts by which the call that a run waits for may be made.
func (a *attempt) callFacts() guard.Call {
	call := a.call
	if call == nil {
		return guard.Call{}
	}
	return guard.Call{
		Needed: true, InFlight: call.inFlight, Attempted: call.attempted, ProvenWithoutEffect: call.hadNoEffect,
		Idempotent: a.classSettings.Idempotency == decision.Idempotent,
	}
}

// shedFacts are the facts by which a request may be shed.
func (a *attempt) shedFacts() guard.Shed {
	keyRan := a.entry != nil && a.entry.RanInWindow(a.arrivedAt)
	return guard.Shed{Idempotent: a.classSettings.Idempotency == decision.Idempotent, MayHaveRun: keyRan || a.mayHaveRun}
}

// checkResponse counts a violation if an answer breaks a rule.
func (c *Core) checkResponse(a *attempt, o Outcome) {
	if late := c.now - max(a.deadline, a.readBefore) - c.settings.DeadlineSlack; late > 0 {
		c.options.Monitor.Violated(guard.LateAnswer, "request", a.ID, "late_by", late.Round(time.Millisecond).String())
	}
	if err := guard.MayShed(a.shedFacts()); o.Kind == Shed && err != nil {
		c.options.Monitor.Violated(guard.ShedAfterRun, "request", a.ID, "reason", err.Error())
	}
}
