package dispatch

import (
	"sync"
	"time"

	"quincerail.example/quincerail/clock"
)

// Bounds of stalls. The core is woken every few milliseconds: a longer gap between two
// batches means that the process stood still.
const (
	// minStall is the shortest gap between batches that counts as a stall.
	minStall = 50 * time.Millisecond
	// recentStall is how long after a stall a signal that is seen may have been sent during
	// the stall.
	recentStall = 100 * time.Millisecond
	// minLoggedStall is the shortest stall that is logged.
	minLoggedStall = 250 * time.Millisecond
	// stallHoldTime is how long nothing is begun after a stall that may have outlasted the
	// grace of a drain: a drain notice that came during the stall is seen within it.
	stallHoldTime = 50 * time.Millisecond
)

// stallDetector knows when the process last stood still. The core's goroutine reports its
// batches; any goroutine may ask.
type stallDetector struct {
	mu         sync.Mutex
	watching   bool // batches come regularly
	lastBatch  time.Duration
	stallStart time.Duration // of the last stall
	stallEnd   time.Duration // 0 where there was none
}

// observeBatch reports a batch. It returns how long the process stood still before it, 0 if
// it did not.
func (d *stallDetector) observeBatch(now time.Duration) (stalled time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := now - d.lastBatch; d.watching && gap > minStall {
		d.stallStart, d.stallEnd, stalled = d.lastBatch, now, gap
	}
	d.lastBatch = now
	return stalled
}

// start has gaps between batches count as stalls from the next batch on.
func (d *stallDetector) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watching = true
}

// notBefore returns the earliest time at which a signal that is seen now may have been sent:
// before that, the process ran and would have seen it.
func (d *stallDetector) notBefore(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.watching:
		return now
	case now-d.lastBatch > minStall:
		return d.lastBatch
	case d.stallEnd > 0 && now-d.stallEnd < recentStall:
		return d.stallStart
	}
	return now
}

// advanceClock reads the clock for a batch, and logs stalls and steps of the Unix time.
func (c *Core) advanceClock() {
	c.now = c.clock.Now()
	stalled := c.stallDetector.observeBatch(c.now)
	if stalled >= minLoggedStall {
		c.log.Info("stalled", "for", stalled.Round(time.Millisecond).String())
	}
	if stalled > 0 && stalled >= c.settings.DrainGrace && !c.drain.draining {
		c.drain.stallHoldUntil = c.now + stallHoldTime
	}
	if step := c.clock.DetectStep(); step != 0 {
		c.log.Warn("clock_stepped", "by", step.Round(time.Millisecond).String())
	}
}

// Clock returns the core's clock.
func (c *Core) Clock() *clock.Clock { return c.clock }

// DrainNoticeTime gives the earliest moment at which a signal that is seen now may have been
// sent: the process may have stood still when it came.
func (c *Core) DrainNoticeTime() time.Time {
	return c.clock.Time(c.stallDetector.notBefore(c.clock.Now()))
}
