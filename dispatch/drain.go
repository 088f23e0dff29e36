package dispatch

import "time"

// stopMargin is the time between the latest answers and the stop of the process.
const stopMargin = 250 * time.Millisecond

// drainState holds the deadlines of a drain or handover. Times are on the clock's timeline.
type drainState struct {
	draining bool
	noticeAt time.Duration // the earliest time at which the drain notice may have been sent
	graceEnd time.Duration // requests that are read later are not started
	stopAt   time.Duration // all requests are answered by then; 0 if no end is known
	// stallHoldUntil is set after a stall of at least DrainGrace. No request is started before
	// this time, because a drain notice may have been sent during the stall that has not been
	// received yet.
	stallHoldUntil time.Duration
	idle           chan struct{} // closed once no attempt is left; nil without a handover
}

// Drain begins a graceful shutdown. noticeAt is the earliest time at which the drain notice
// may have been sent (DrainNoticeTime), and stopAt is when the process is stopped. Requests
// that are read after the end of the grace are not started. All requests are answered at
// least stopMargin before stopAt. Further calls have no effect.
func (c *Core) Drain(noticeAt, stopAt time.Time) { c.notify(drainNoticed{noticeAt, stopAt}) }

type drainNoticed struct{ noticeAt, stopAt time.Time }

func (e drainNoticed) apply(c *Core) {
	d := &c.drain
	if d.draining {
		return
	}
	d.draining, d.noticeAt, d.stopAt = true, c.clock.FromTime(e.noticeAt), c.clock.FromTime(e.stopAt.Add(-stopMargin))
	d.graceEnd = d.noticeAt + c.settings.DrainGrace
	if c.module == nil {
		c.setHealth(false, true)
		return
	}
	c.module.Drain(d.noticeAt, d.stopAt)
}

// HandOver reports that a successor receives all further requests. The open ones continue, and
// are answered at least stopMargin before stopAt, when the process is stopped. The returned
// channel is closed once no request is open.
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

// closeIdle closes the channel of HandOver once no attempt is left.
func (c *Core) closeIdle() {
	if c.drain.idle != nil && len(c.attempts) == 0 {
		close(c.drain.idle)
		c.drain.idle = nil
	}
}
