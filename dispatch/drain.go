package dispatch

import "time"

// stopMargin is how long before the process is stopped all requests are answered.
const stopMargin = 250 * time.Millisecond

// drainState is what is known of the process's end. Times are on the clock's timeline.
type drainState struct {
	draining bool
	noticeAt time.Duration // when the notice to drain came, at the earliest
	graceEnd time.Duration // nothing that is read later is begun
	stopAt   time.Duration // all is answered by then; 0 where no end is known
	// stallHoldUntil is set after a stall: nothing is begun before, as a notice to drain
	// may have come that is not seen yet.
	stallHoldUntil time.Duration
	idle           chan struct{} // closed once no attempt is left; nil where nobody waits for that
}

// Drain begins a graceful shutdown. The notice came at a time at the earliest
// (DrainNoticeTime), and the process is stopped at another. From the end of the grace on,
// nothing that is read is begun; all is answered a margin before the process is stopped.
func (c *Core) Drain(notice, stopAt time.Time) { c.notify(drainNoticed{notice, stopAt}) }

type drainNoticed struct{ notice, stopAt time.Time }

func (e drainNoticed) apply(c *Core) {
	d := &c.drain
	if d.draining {
		return
	}
	d.draining, d.noticeAt, d.stopAt = true, c.clock.FromTime(e.notice), c.clock.FromTime(e.stopAt.Add(-stopMargin))
	d.graceEnd = d.noticeAt + c.settings.DrainGrace
	if c.module == nil {
		c.setHealth(false, true)
		return
	}
	c.module.Drain(d.noticeAt, d.stopAt)
}

// HandOver reports that a successor takes the requests to come. What is open here goes on,
// and is answered a margin before the process is stopped. The channel is closed once
// nothing is open.
func (c *Core) HandOver(stopAt time.Time) <-chan struct{} {
	idle := make(chan struct{})
	c.notify(handoverStarted{stopAt, idle})
	return idle
}

type handoverStarted struct {
	stopAt time.Time
	idle   chan struct{}
}

func (e handoverStarted) apply(c *Core) {
	c.log.Info("handover", "open", len(c.attempts))
	c.drain.stopAt, c.drain.idle = c.clock.FromTime(e.stopAt.Add(-stopMargin)), e.idle
}

// notifyIdle closes the channel of HandOver once no attempt is left.
func (c *Core) notifyIdle() {
	if c.drain.idle != nil && len(c.attempts) == 0 {
		close(c.drain.idle)
		c.drain.idle = nil
	}
}
