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
		Answered: a.answered, Running: a.begun, Resumed: a.paused,
		KeyRan: a.entry != nil && a.entry.RanInWindow(a.door),
		ReadBy: a.readBy, Draining: c.draining, GraceEnd: c.graceEnd,
	}
}

// mayBegin decides once more about a run that the module has begun, right before its
// backend hears of it.
func (c *Core) mayBegin(a *attempt) error {
	return guard.MayStart(guard.Start{
		Resumed: a.resuming, ReadBy: a.readBy, Draining: c.draining, GraceEnd: c.graceEnd,
	})
}

// checkStart counts a run that begins against the rules.
func (c *Core) checkStart(a *attempt) {
	switch {
	case a.resuming:
	case a.entry != nil && a.entry.RanAttemptID() != a.ID, a.ran && a.kind.Effect != decision.Idempotent:
		c.opt.Monitor.Violated(guard.DuplicateRun, "request", a.ID, "key", a.Key)
	case c.draining && a.readBy > c.graceEnd:
		c.opt.Monitor.Violated(guard.DrainStart, "request", a.ID, "read_after_grace", (a.readBy - c.graceEnd).String())
	}
	a.resuming, a.ran = false, true
}

// callFacts is what counts for making the call that a run stands at.
func (a *attempt) callFacts() guard.Call {
	k := a.call
	if k == nil {
		return guard.Call{}
	}
	return guard.Call{Needed: true, InFlight: k.out, Attempted: k.made, ProvenWithoutEffect: k.unseen, Idempotent: a.kind.Effect == decision.Idempotent}
}

// shedFacts is what counts for turning a request away.
func (a *attempt) shedFacts() guard.Shed {
	keyRan := a.entry != nil && a.entry.RanInWindow(a.door)
	return guard.Shed{Idempotent: a.kind.Effect == decision.Idempotent, MayHaveRun: keyRan || a.ran}
}

// checkAnswer counts an answer against the rules.
func (c *Core) checkAnswer(a *attempt, o Outcome) {
	if late := c.now - max(a.due, a.readBy) - c.set.DeadlineSlack; late > 0 {
		c.opt.Monitor.Violated(guard.LateAnswer, "request", a.ID, "late_by", late.Round(time.Millisecond).String())
	}
	if err := guard.MayShed(a.shedFacts()); o.Kind == Shed && err != nil {
		c.opt.Monitor.Violated(guard.ShedAfterRun, "request", a.ID, "reason", err.Error())
	}
}
