package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// maxDeepCheckWait bounds how long a deep health check waits for the machine.
const maxDeepCheckWait = time.Second

// healthState decides what health checks and the discovery service report of this server.
type healthState struct {
	healthy bool // as the module sees it
	// cached is set where healthy is all that checks report: deep checks don't try the
	// machine.
	cached          bool
	trafficDisabled bool // by operators
}

// SetHealth sets how health checks are answered.
func (h host) SetHealth(on, cached bool) { h.setHealth(on, cached) }

func (c *Core) setHealth(healthy, cached bool) {
	c.health.healthy, c.health.cached = healthy, cached
	c.reportToRegistrar()
}

// acceptsTraffic reports whether callers may send requests here, whatever this server's
// health: not before the backend is ready, while draining, or where operators disabled it.
func (c *Core) acceptsTraffic() bool {
	return c.module != nil && !c.health.trafficDisabled && !c.drain.draining
}

// shouldReceiveTraffic reports whether callers should send requests here: it is healthy and
// accepts them. Ready reports less: that requests can be run.
func (c *Core) shouldReceiveTraffic() bool { return c.health.healthy && c.acceptsTraffic() }

// reportToRegistrar reports to the discovery service whether callers should send requests
// here. With EndpointListOmitsUnhealthy that includes this server's health.
func (c *Core) reportToRegistrar() {
	if c.options.Registrar != nil {
		c.options.Registrar.SetAccepting(c.acceptsTraffic() && (c.health.healthy || !c.settings.EndpointListOmitsUnhealthy))
	}
}

// CheckHealth answers a health check: from the module's view, or, if it is deep and the
// module has not settled it, by a trial of the machine.
func (c *Core) CheckHealth(deep bool, reply func(good bool)) error {
	return c.enqueue(healthCheckRequested{deep, reply})
}

type healthCheckRequested struct {
	deep  bool
	reply func(good bool)
}

func (e healthCheckRequested) apply(c *Core) {
	if !e.deep || c.health.cached || !c.shouldReceiveTraffic() || c.options.Machine == nil {
		e.reply(c.shouldReceiveTraffic())
		return
	}
	check := &deepCheck{reply: e.reply}
	late := time.AfterFunc(maxDeepCheckWait, func() { c.notify(deepCheckCompleted{check, false}) })
	c.options.Machine.CheckHealth(func(good bool) {
		late.Stop()
		c.notify(deepCheckCompleted{check, good})
	})
}

// deepCheck is a health check that waits for the machine.
type deepCheck struct {
	reply    func(good bool)
	answered bool
}

type deepCheckCompleted struct {
	check *deepCheck
	good  bool
}

func (e deepCheckCompleted) apply(c *Core) {
	if !e.check.answered {
		e.check.answered = true
		e.check.reply(e.good && c.shouldReceiveTraffic())
	}
}

// LoadReport returns the load value that is sent with answers and health checks; ok is
// false where the settings have none.
func (c *Core) LoadReport() (value float64, ok bool) {
	if v := c.loadReport.Load(); v != nil {
		return *v, true
	}
	return 0, false
}

// PublishLoad changes the load value.
func (h host) PublishLoad(value float64) {
	if h.settings.LoadReportMode != decision.LoadReportNone {
		h.loadReport.Store(&value)
	}
}

// SetTrafficDisabled has callers told to stay away, or to come again, whatever the
// module's view of this server's health. What still comes is served.
func (c *Core) SetTrafficDisabled(on bool, done func()) error {
	return c.enqueue(trafficDisabledSet{on, done})
}

type trafficDisabledSet struct {
	disabled bool
	done     func()
}

func (e trafficDisabledSet) apply(c *Core) {
	c.setTrafficDisabled(e.disabled)
	if c.replication.peer != nil {
		c.replication.peer.SetTrafficDisabled(e.disabled)
	}
	e.done()
}

func (c *Core) setTrafficDisabled(disabled bool) {
	if c.health.trafficDisabled != disabled {
		c.health.trafficDisabled = disabled
		c.log.Info("away", "on", disabled)
		c.reportToRegistrar()
	}
}

// Ready reports whether requests can be run here: the backend is ready, and no drain has
// begun.
func (c *Core) Ready(reply func(ready bool)) error { return c.enqueue(readinessRequested{reply}) }

type readinessRequested struct{ reply func(ready bool) }

func (e readinessRequested) apply(c *Core) { e.reply(c.module != nil && !c.drain.draining) }
