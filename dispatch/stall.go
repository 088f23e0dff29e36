package dispatch

import (
	"sync"
	"time"

	"quincerail.example/quincerail/clock"
)

// A stall is a time in which the process did not run. The module's timers cause a batch every
// few milliseconds, so a gap of more than minStall between two batches counts as a stall.
const (
	// minStall is the shortest gap between two batches that counts as a stall.
	minStall = 50 * time.Millisecond
	// recentStall is the time after a stall within which a received signal may have been sent
	// during the stall.
	recentStall = 100 * time.Millisecond
	// minLoggedStall is the shortest stall that is logged.
	minLoggedStall = 250 * time.Millisecond
	// stallHoldTime is the time after a stall of at least DrainGrace in which no request is
	// started. A drain notice that was sent during the stall is received within this time.
	stallHoldTime = 50 * time.Millisecond
)

// stallDetector detects stalls of the process. The goroutine of [Core.Run] reports the batches;
// any goroutine may call earliestSignal.
type stallDetector struct {
	mu         sync.Mutex
	watching   bool // batches are regular, so gaps count as stalls
	lastBatch  time.Duration
	stallStart time.Duration // of the latest stall
	stallEnd   time.Duration // of the latest stall; 0 if there was none
}

// observeBatch reports a batch. It returns the length of the stall before it, or 0 if there
// was none.
func (d *stallDetector) observeBatch(now time.Duration) (stalled time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := now - d.lastBatch; d.watching && gap > minStall {
		d.stallStart, d.stallEnd, stalled = d.lastBatch, now, gap
	}
	d.lastBatch = now
	return stalled
}

// start makes gaps count as stalls from the next batch on.
func (d *stallDetector) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watching = true
}

// earliestSignal returns the earliest time at which a signal that is received now may have
// been sent: before that, the process was running and would have received it.
func (d *stallDetector) earliestSignal(now time.Duration) time.Duration {
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

// advanceClock reads the clock for a batch, and logs stalls and steps of Unix time.
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

// DrainNoticeTime returns the earliest time at which a drain notice that is received now may
// have been sent. It is before now if the process has just been stalled.
func (c *Core) DrainNoticeTime() time.Time {
	return c.clock.Time(c.stallDetector.earliestSignal(c.clock.Now()))
}
