package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// maxGaugeWait bounds how long a call of the module's Tick waits for the machine's gauges.
const maxGaugeWait = 20 * time.Millisecond

// SetTimer sets a timer that calls the module's Tick with the token.
func (h host) SetTimer(after time.Duration, token int64) {
	c := h.Core
	time.AfterFunc(after, func() { c.report(timerFired{token}) })
}

// timerFired answers overdue requests and calls the module's Tick with the current gauges,
// or with the latest ones if the machine does not report within maxGaugeWait.
type timerFired struct{ token int64 }

func (e timerFired) apply(c *Core) {
	c.respondOverdue()
	if c.options.Machine == nil {
		c.module.Tick(c.now, e.token, c.gauges)
		return
	}
	t := &pendingTick{token: e.token}
	timeout := time.AfterFunc(maxGaugeWait, func() { c.report(gaugesTimedOut{t}) })
	c.options.Machine.ReadGauges(func(g decision.Gauges) {
		timeout.Stop()
		c.report(gaugesRead{t, g})
	})
}

// pendingTick is a call of the module's Tick that waits for gauges.
type pendingTick struct {
	token int64
	done  bool
}

func (t *pendingTick) run(c *Core) {
	if !t.done {
		t.done = true
		c.module.Tick(c.now, t.token, c.gauges)
	}
}

type gaugesRead struct {
	tick   *pendingTick
	gauges decision.Gauges
}

func (e gaugesRead) apply(c *Core) {
	c.gauges = e.gauges
	e.tick.run(c)
}

type gaugesTimedOut struct{ tick *pendingTick }

func (e gaugesTimedOut) apply(c *Core) { e.tick.run(c) }
