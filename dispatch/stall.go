package dispatch

import (
	"sync"
	"time"

	"quincerail.example/quincerail/clock"
)

// A process is taken to have stood still where the core, which is woken every few
// milliseconds, had no batch for stallFrom. A signal that is seen within stallRecent
// after that may have been sent at any time of it.
const (
	minStall    = 50 * time.Millisecond
	recentStall = 100 * time.Millisecond
)

// stallHoldTime is for how long after a stall that may have outlasted the grace of a drain
// nothing is begun: a notice to leave that came meanwhile is seen within it.
const stallHoldTime = 50 * time.Millisecond

// stallDetector knows the spans in which the process stood still. The core's goroutine
// notes its batches, others ask.
type stallDetector struct {
	mu         sync.Mutex
	watching   bool // batches come regularly
	lastBatch  time.Duration
	stallStart time.Duration // of the last stall
	stallEnd   time.Duration
}

// observeBatch notes that the core works at a time. It returns how long it had stood still, 0
// if it had not.
func (w *stallDetector) observeBatch(now time.Duration) (stalled time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if gap := now - w.lastBatch; w.watching && gap > minStall {
		w.stallStart, w.stallEnd, stalled = w.lastBatch, now, gap
	}
	w.lastBatch = now
	return stalled
}

// start has gaps between batches count as stalls from now on.
func (w *stallDetector) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = true
}

// notBefore gives the last moment before which a signal that is seen now can't have been
// sent: the process ran then and did not see it.
func (w *stallDetector) notBefore(now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.watching:
		return now
	case now-w.lastBatch > minStall:
		return w.lastBatch
	case w.stallEnd > 0 && now-w.stallEnd < recentStall:
		return w.stallStart
	}
	return now
}

// advanceClock reads the clock, and logs what happened to it and to the process meanwhile.
func (c *Core) advanceClock() {
	c.now = c.clock.Now()
	stalled := c.stallDetector.observeBatch(c.now)
	if stalled >= minLoggedStall {
		c.log.Info("stalled", "for", stalled.Round(time.Millisecond).String())
	}
	if stalled > 0 && stalled >= c.settings.DrainGrace && !c.draining {
		c.stallHoldUntil = c.now + stallHoldTime
	}
	if step := c.clock.Observe(); step != 0 {
		c.log.Warn("clock_stepped", "by", step.Round(time.Millisecond).String())
	}
}

// Clock is the clock that the core goes by.
func (c *Core) Clock() *clock.Clock { return c.clock }

// DrainNoticeTime gives the earliest moment at which a signal that is seen now may have been
// sent: the process may have stood still when it came.
func (c *Core) DrainNoticeTime() time.Time {
	return c.clock.Time(c.stallDetector.notBefore(c.clock.Now()))
}
