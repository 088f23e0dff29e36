package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// poolWaitDivisor bounds the queues of the pools: an attempt is queued only if its run is
// expected to end within the latency objective divided by this, counted from the attempt's
// arrival. The module also sheds at half the objective.
const poolWaitDivisor = 2

// acquirePoolSlot continues the start of an attempt if its class's pool has a free slot.
// Otherwise the attempt is queued for one, or shed at once if its run is expected to end
// too late (poolWaitDivisor).
func (c *Core) acquirePoolSlot(a *attempt) {
	if c.pools == nil {
		c.startBackend(a)
		return
	}
	permit, ok := c.pools.TryAcquire(a.classIndex, a.CacheKey)
	if ok {
		a.poolPermit, a.holdsPoolSlot = permit, true
		c.startBackend(a)
		return
	}
	maxWait := a.arrivedAt + a.classSettings.LatencyObjective/poolWaitDivisor - c.now
	if !c.pools.Enqueue(a.classIndex, a.ID, c.now, maxWait) {
		c.denyStart(a)
		return
	}
	c.transition(a, stateAwaitingPoolSlot)
}

// startBackend lets the backend start a run, unless the grace of a drain has ended while the
// attempt waited for its claim or a slot.
func (c *Core) startBackend(a *attempt) {
	if err := c.recheckStart(a); err != nil {
		c.options.Monitor.RecordDenial(guard.DrainStart, err, a.ID)
		c.denyStart(a)
		return
	}
	c.transition(a, stateRunning)
	c.checkStart(a)
	a.resumed, a.mayHaveRun = false, true
	a.backend.Start(Run{ID: a.ID, Class: a.Class, Deadline: c.clock.Time(a.deadline), Payload: a.Payload})
	if c.settings.CancelMode != decision.CancelPause { // a paused run is started again with its payload
		a.Payload = Payload{} // the backend has it; frees the memory, as the attempt may be open for long
	}
}

// denyStart schedules an attempt that the module has started, but that may not run, to be
// shed. This happens after the module's current decision, because an action must not call the
// module back.
func (c *Core) denyStart(a *attempt) {
	c.transition(a, stateStartDenied)
	c.deferEvent(startDenied{a})
}

type startDenied struct{ attempt *attempt }

func (e startDenied) apply(c *Core) {
	a := e.attempt
	if c.attempts[a.ID] == a && a.state == stateStartDenied {
		c.shedNotStarted(a)
	}
}

// shedNotStarted sheds an attempt that the module has started and the backend has not, with
// the longest Retry-After, and releases its claim.
func (c *Core) shedNotStarted(a *attempt) {
	if a.entry != nil {
		c.keys.ReleaseClaim(a.entry, a.ID)
	}
	c.respond(a, Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter})
	c.completeNotStarted(a)
}

// completeNotStarted ends an attempt that the module has started and the backend has not: its
// run is reported as not started.
func (c *Core) completeNotStarted(a *attempt) {
	runCompleted{id: a.ID, end: RunNotStarted}.apply(c)
}

// releasePoolSlot releases the slot of a run that has ended, and starts the queued attempts
// that the pools admit in return. It does nothing for an attempt that holds no slot, such as
// one that was queued or shed.
func (c *Core) releasePoolSlot(a *attempt, took time.Duration, succeeded bool) {
	if !a.holdsPoolSlot {
		return
	}
	a.holdsPoolSlot = false
	for _, next := range c.pools.Release(a.poolPermit, took, succeeded) {
		if waiting := c.attempts[next.ID]; waiting != nil && waiting.state == stateAwaitingPoolSlot {
			waiting.poolPermit, waiting.holdsPoolSlot = next.Permit, true
			c.startBackend(waiting)
		}
	}
}
