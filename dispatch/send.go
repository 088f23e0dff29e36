package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// call is the call that a run stands at.
type call struct {
	notice  uint64
	body    []byte
	out     bool
	givenUp bool // while it is out: a reply is too late
	made    bool // once at least
	unseen  bool // the last time it was made it had no effect for certain
	since   time.Duration
	timer   *time.Timer
}

// Send: work goes to the backend, calls go below.

// send begins a run, where its class's pool has room; else it waits in the
// pool's line, or is turned away at once where it would wait beyond half its
// aim, as the module's own refusals begin there.
func (c *Core) send(a *attempt) {
	a.begun = true
	if c.pools != nil {
		ticket, ok := c.pools.TryAcquire(a.class, a.CacheKey)
		if !ok {
			patience := a.door + a.kind.LatencyObjective/2 - c.now
			if c.pools.Enqueue(a.class, a.ID, c.now, patience) {
				a.pooled = true
				return
			}
			c.deferredEvents = append(c.deferredEvents, func() { c.turnAway(a) })
			return
		}
		a.ticket, a.slotted = ticket, true
	}
	c.begin(a)
}

func (c *Core) begin(a *attempt) {
	if err := c.mayBegin(a); err != nil { // a drain has overtaken its claim, or its wait for a pool
		c.opt.Monitor.Denied(guard.DrainStart, err, a.ID)
		c.deferredEvents = append(c.deferredEvents, func() { c.turnAway(a) })
		return
	}
	c.checkStart(a)
	a.backend.Start(Run{ID: a.ID, Class: a.Class, Deadline: c.clock.Time(a.due), Payload: a.Payload})
	if c.set.CancelMode != decision.CancelPause { // else it is begun again with the same, once it was paused
		a.Payload = Payload{} // the backend has it; a kept key need not
	}
}

// turnAway answers a run that its pool has no room for: it never ran.
func (c *Core) turnAway(a *attempt) {
	if c.attempts[a.ID] != a || !a.begun {
		return
	}
	if a.entry != nil {
		c.keys.ReleaseClaim(a.entry, a.ID)
	}
	c.answer(a, Outcome{Kind: Shed, RetryAfter: c.set.MaxRetryAfter})
	c.completed(a.ID, RunNotStarted, 0, Payload{})
}

// released gives a pool's slot back, and begins what its end lets begin.
// Only a run that holds a slot gives one back: one that waited, or was turned
// away, holds none.
func (c *Core) released(a *attempt, took time.Duration, good bool) {
	if !a.slotted {
		return
	}
	a.slotted = false
	for _, next := range c.pools.Release(a.ticket, took, good) {
		if w := c.attempts[next.ID]; w != nil && w.pooled {
			w.pooled, w.ticket, w.slotted = false, next.Permit, true
			c.begin(w)
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
			h.opt.Monitor.Denied(guard.RepeatedCall, err, id)
			h.deferredEvents = append(h.deferredEvents, func() { h.module.CallDone(h.now, id, decision.Failed, 0) })
		}
		return
	}
	k := a.call
	k.out, k.givenUp, k.since, k.made = true, false, h.now, true
	a.calls++
	number := a.calls
	if h.opt.Dependency == nil {
		h.deferredEvents = append(h.deferredEvents, func() { h.called(a, number, decision.ConnectFailed, nil) })
		return
	}
	k.timer = time.AfterFunc(timeout, func() {
		h.enqueue(func() {
			if a.call == k && k.out && a.calls == number {
				k.givenUp = true
				h.opt.Dependency.Abandon(id)
				k.timer = time.AfterFunc(h.settling(), func() {
					h.enqueue(func() { h.called(a, number, decision.TimedOut, nil) })
				})
			}
		})
	})
	h.opt.Dependency.Call(id, number, timeout, k.body)
}

// settling is how long after a call was given up the module hears of it. The
// run stands at the call again only when those around have taken the giving up
// in, which they do once a batch: a call made before that is given up with the
// first, and further ones find no run that waits.
func (c *Core) settling() time.Duration { return 2 * c.set.BatchInterval }

// SkipCall has a run go on without its call.
func (h host) SkipCall(id string) {
	if a := h.attempts[id]; a != nil && a.call != nil {
		notice := a.call.notice
		h.endCall(a)
		a.backend.SkipCall(id, notice)
	}
}

// endCall forgets the call that a run stood at, and gives it up if it is out.
func (c *Core) endCall(a *attempt) {
	k := a.call
	a.call = nil
	if k == nil || !k.out {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	if c.opt.Dependency != nil {
		c.opt.Dependency.Abandon(a.ID)
	}
}

// Log writes an event of the module to the log, under the event's name.
func (h host) Log(event decision.Event) {
	//nolint:sloglint // the message is the event's name, a constant of package decision
	h.log.LogAttrs(context.Background(), slog.LevelInfo, event.Name(), event.Attributes()...)
}
