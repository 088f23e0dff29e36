package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// poolPatienceDivisor divides the latency objective: an attempt waits for a slot until so
// long after its arrival, as the module too sheds at half the objective.
const poolPatienceDivisor = 2

// acquirePoolSlot has a started attempt begin if its class's pool has a free slot. Else it
// waits for one, or is shed at once where it would wait too long (poolPatienceDivisor).
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
	patience := a.arrivedAt + a.classSettings.LatencyObjective/poolPatienceDivisor - c.now
	if !c.pools.Enqueue(a.classIndex, a.ID, c.now, patience) {
		c.denyStart(a)
		return
	}
	c.transition(a, stateAwaitingPoolSlot)
}

// startBackend has the backend begin a run, unless a drain has overtaken the attempt while
// it waited for its claim or a slot.
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
	if c.settings.CancelMode != decision.CancelPause { // a paused run is begun again with its payload
		a.Payload = Payload{} // the backend has it, and the attempt may be kept for long
	}
}

// denyStart has an attempt shed that the module has started and that may not begin. It is
// shed after the module's decision, as the module must not be called in the middle of one.
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

// shedNotStarted sheds an attempt that the module has started and that never began.
func (c *Core) shedNotStarted(a *attempt) {
	if a.entry != nil {
		c.keys.ReleaseClaim(a.entry, a.ID)
	}
	c.respond(a, Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter})
	c.completeNotStarted(a)
}

// completeNotStarted ends an attempt that the module has started and that never began.
func (c *Core) completeNotStarted(a *attempt) {
	runCompleted{id: a.ID, end: RunNotStarted}.apply(c)
}

// releasePoolSlot returns the slot of a run that has ended, and begins the attempts that
// the pools give a slot to. An attempt that waited for a slot, or was shed, holds none.
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
