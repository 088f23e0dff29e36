package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// maxGaugeWait bounds how long a tick of the module waits for the machine's gauges.
const maxGaugeWait = 20 * time.Millisecond

// SetTimer sets a timer of the module.
func (h host) SetTimer(after time.Duration, token int64) {
	c := h.Core
	time.AfterFunc(after, func() { c.notify(timerFired{token}) })
}

// timerFired starts a tick of the module. It gets the gauges of the moment, or the last
// ones if the machine does not report them in time.
type timerFired struct{ token int64 }

func (e timerFired) apply(c *Core) {
	c.respondOverdue()
	if c.options.Machine == nil {
		c.module.Tick(c.now, e.token, c.gauges)
		return
	}
	t := &tick{token: e.token}
	late := time.AfterFunc(maxGaugeWait, func() { c.notify(gaugesLate{t}) })
	c.options.Machine.ReadGauges(func(g decision.Gauges) {
		late.Stop()
		c.notify(gaugesRead{t, g})
	})
}

// tick is one call of the module's Tick that waits for gauges.
type tick struct {
	token int64
	done  bool
}

func (t *tick) run(c *Core) {
	if !t.done {
		t.done = true
		c.module.Tick(c.now, t.token, c.gauges)
	}
}

type gaugesRead struct {
	tick   *tick
	gauges decision.Gauges
}

func (e gaugesRead) apply(c *Core) {
	c.gauges = e.gauges
	e.tick.run(c)
}

type gaugesLate struct{ tick *tick }

func (e gaugesLate) apply(c *Core) { e.tick.run(c) }
