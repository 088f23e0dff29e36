package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// This file collects the inputs of package guard's decisions, and checks starts and answers
// once more when they take place: a broken rule is counted as a violation.

// startFacts returns guard's input for the start of an attempt.
func (c *Core) startFacts(a *attempt) guard.StartState {
	return guard.StartState{
		Answered: a.answered, Running: a.state.started(), Resumed: a.state == statePaused,
		KeyRan:         a.entry != nil && a.entry.RanInWindow(a.arrivedAt),
		LatestReadTime: a.readBefore, Draining: c.drain.draining, GraceEnd: c.drain.graceEnd,
	}
}

// recheckStart asks guard again about an attempt that the module has started, right before the
// backend starts the run.
func (c *Core) recheckStart(a *attempt) error {
	return guard.MayStart(guard.StartState{
		Resumed: a.resumed, LatestReadTime: a.readBefore, Draining: c.drain.draining, GraceEnd: c.drain.graceEnd,
	})
}

// checkStart counts a violation if a run that starts breaks a rule.
func (c *Core) checkStart(a *attempt) {
	switch {
	case a.resumed:
	case a.entry != nil && a.entry.RanAttemptID() != a.ID, a.mayHaveRun && a.classSettings.Idempotency != decision.Idempotent:
		c.options.Monitor.RecordViolation(guard.DuplicateRun, "request", a.ID, "key", a.Key)
	case c.drain.draining && a.readBefore > c.drain.graceEnd:
		c.options.Monitor.RecordViolation(guard.DrainStart, "request", a.ID, "read_after_grace", (a.readBefore - c.drain.graceEnd).String())
	}
}

// callFacts returns guard's input for the call that a run waits for.
func (a *attempt) callFacts() guard.CallState {
	call := a.call
	if call == nil {
		return guard.CallState{}
	}
	return guard.CallState{
		Needed: true, InFlight: call.inFlight, Attempted: call.attempted, ProvenWithoutEffect: call.hadNoEffect,
		Idempotent: a.classSettings.Idempotency == decision.Idempotent,
	}
}

// shedFacts returns guard's input for shedding a request.
func (a *attempt) shedFacts() guard.ShedState {
	keyRan := a.entry != nil && a.entry.RanInWindow(a.arrivedAt)
	return guard.ShedState{Idempotent: a.classSettings.Idempotency == decision.Idempotent, MayHaveRun: keyRan || a.mayHaveRun}
}

// checkResponse counts a violation if an answer breaks a rule.
func (c *Core) checkResponse(a *attempt, o Outcome) {
	if late := c.now - max(a.deadline, a.readBefore) - c.settings.DeadlineSlack; late > 0 {
		c.options.Monitor.RecordViolation(guard.LateAnswer, "request", a.ID, "late_by", late.Round(time.Millisecond).String())
	}
	if err := guard.MayShed(a.shedFacts()); o.Kind == Shed && err != nil {
		c.options.Monitor.RecordViolation(guard.ShedAfterRun, "request", a.ID, "reason", err.Error())
	}
}
