package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// downstreamCall is the call that a run stands at.
type downstreamCall struct {
	notice      uint64
	body        []byte
	inFlight    bool
	abandoned   bool // while it is out: a reply is too late
	attempted   bool // once at least
	hadNoEffect bool // the last time it was made it had no effect for certain
	startedAt   time.Duration
	timer       *time.Timer
}

// Send: work goes to the backend, calls go below.

// startOrWaitForSlot begins a run, where its class's pool has room; else it waits in the
// pool's line, or is turned away at once where it would wait beyond half its
// aim, as the module's own refusals begin there.
func (c *Core) startOrWaitForSlot(a *attempt) {
	if c.pools != nil {
		ticket, ok := c.pools.TryAcquire(a.classIndex, a.CacheKey)
		if !ok {
			patience := a.arrivedAt + a.classSettings.LatencyObjective/2 - c.now
			if c.pools.Enqueue(a.classIndex, a.ID, c.now, patience) {
				c.transition(a, stateAwaitingPoolSlot)
				return
			}
			c.transition(a, stateStartDenied)
			c.deferredEvents = append(c.deferredEvents, func() { c.shedUnstarted(a) })
			return
		}
		a.poolPermit, a.holdsPoolSlot = ticket, true
	}
	c.start(a)
}

func (c *Core) start(a *attempt) {
	if err := c.recheckStart(a); err != nil { // a drain has overtaken its claim, or its wait for a pool
		c.options.Monitor.Denied(guard.DrainStart, err, a.ID)
		c.transition(a, stateStartDenied)
		c.deferredEvents = append(c.deferredEvents, func() { c.shedUnstarted(a) })
		return
	}
	c.transition(a, stateRunning)
	c.checkStart(a)
	a.backend.Start(Run{ID: a.ID, Class: a.Class, Deadline: c.clock.Time(a.deadline), Payload: a.Payload})
	if c.settings.CancelMode != decision.CancelPause { // else it is begun again with the same, once it was paused
		a.Payload = Payload{} // the backend has it; a kept key need not
	}
}

// shedUnstarted answers a run that its pool has no room for: it never ran.
func (c *Core) shedUnstarted(a *attempt) {
	if c.attempts[a.ID] != a || a.state != stateStartDenied {
		return
	}
	if a.entry != nil {
		c.keys.ReleaseClaim(a.entry, a.ID)
	}
	c.respond(a, Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter})
	c.completeRun(a.ID, RunNotStarted, 0, Payload{})
}

// releasePoolSlot gives a pool's slot back, and begins what its end lets begin.
// Only a run that holds a slot gives one back: one that waited, or was turned
// away, holds none.
func (c *Core) releasePoolSlot(a *attempt, took time.Duration, good bool) {
	if !a.holdsPoolSlot {
		return
	}
	a.holdsPoolSlot = false
	for _, next := range c.pools.Release(a.poolPermit, took, good) {
		if w := c.attempts[next.ID]; w != nil && w.state == stateAwaitingPoolSlot {
			w.poolPermit, w.holdsPoolSlot = next.Permit, true
			c.start(w)
		}
	}
}

// Call makes the call that a run stands at. The dependency keeps no time
// limit, so it is given up here.
func (h host) Call(id string, timeout time.Duration) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	if err := guard.MayCall(a.callFacts()); err != nil {
		if errors.Is(err, guard.ErrMayHaveRun) {
			h.options.Monitor.Denied(guard.RepeatedCall, err, id)
			h.deferredEvents = append(h.deferredEvents, func() { h.module.CallDone(h.now, id, decision.Failed, 0) })
		}
		return
	}
	k := a.call
	k.inFlight, k.abandoned, k.startedAt, k.attempted = true, false, h.now, true
	a.callsMade++
	number := a.callsMade
	if h.options.Dependency == nil {
		h.deferredEvents = append(h.deferredEvents, func() { h.finishCall(a, number, decision.ConnectFailed, nil) })
		return
	}
	k.timer = time.AfterFunc(timeout, func() {
		h.enqueue(func() {
			if a.call == k && k.inFlight && a.callsMade == number {
				k.abandoned = true
				h.options.Dependency.Abandon(id)
				k.timer = time.AfterFunc(h.abandonedCallDelay(), func() {
					h.enqueue(func() { h.finishCall(a, number, decision.TimedOut, nil) })
				})
			}
		})
	})
	h.options.Dependency.Call(id, number, timeout, k.body)
}

// abandonedCallDelay is how long after a call was given up the module hears of it. The
// run stands at the call again only when those around have taken the giving up
// in, which they do once a batch: a call made before that is given up with the
// first, and further ones find no run that waits.
func (c *Core) abandonedCallDelay() time.Duration { return 2 * c.settings.BatchInterval }

// SkipCall has a run go on without its call.
func (h host) SkipCall(id string) {
	if a := h.attempts[id]; a != nil && a.call != nil {
		notice := a.call.notice
		h.dropCall(a)
		a.backend.SkipCall(id, notice)
	}
}

// dropCall forgets the call that a run stood at, and gives it up if it is out.
func (c *Core) dropCall(a *attempt) {
	k := a.call
	a.call = nil
	if k == nil || !k.inFlight {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	if c.options.Dependency != nil {
		c.options.Dependency.Abandon(a.ID)
	}
}

// Log writes the module's remarks.
func (h host) Log(text string) { h.log.Info("module", "remark", text) }
