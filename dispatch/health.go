package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// maxDeepCheckWait bounds how long a deep health check waits for the machine's report.
const maxDeepCheckWait = time.Second

// healthState holds the inputs of health checks and of the reports to the discovery service.
type healthState struct {
	healthy bool // the module's view of this server
	// cached is set if all checks are answered from healthy: deep checks don't check the
	// machine.
	cached          bool
	trafficDisabled bool       // set by operators
	deepCheck       *deepCheck // that waits for the machine's report; nil for none
}

// SetHealth sets the answer to health checks.
func (h host) SetHealth(healthy, cached bool) { h.setHealth(healthy, cached) }

func (c *Core) setHealth(healthy, cached bool) {
	c.health.healthy, c.health.cached = healthy, cached
	c.reportToRegistrar()
}

// acceptsTraffic reports whether callers may send requests here, regardless of this server's
// health: not before the backend is ready, during a drain, or after operators disabled
// traffic.
func (c *Core) acceptsTraffic() bool {
	return c.module != nil && !c.health.trafficDisabled && !c.drain.draining
}

// shouldReceiveTraffic reports whether this server accepts traffic and is healthy. Ready
// ignores the health and whether traffic is disabled.
func (c *Core) shouldReceiveTraffic() bool { return c.health.healthy && c.acceptsTraffic() }

// reportToRegistrar reports to the discovery service whether this server accepts traffic, and
// with the setting EndpointListOmitsUnhealthy also whether it is healthy.
func (c *Core) reportToRegistrar() {
	if c.options.Registrar != nil {
		c.options.Registrar.SetAccepting(c.acceptsTraffic() && (c.health.healthy || !c.settings.EndpointListOmitsUnhealthy))
	}
}

// CheckHealth answers a health check by calling reply. The answer follows the module's view;
// a deep check also checks the machine, unless the answer is already negative or the module
// has set cached answers.
func (c *Core) CheckHealth(deep bool, reply func(healthy bool)) error {
	return c.enqueue(healthCheckRequested{deep, reply})
}

type healthCheckRequested struct {
	deep  bool
	reply func(healthy bool)
}

func (e healthCheckRequested) apply(c *Core) {
	if !e.deep || c.health.cached || !c.shouldReceiveTraffic() || c.options.Machine == nil {
		e.reply(c.shouldReceiveTraffic())
		return
	}
	if check := c.health.deepCheck; check != nil {
		check.replies = append(check.replies, e.reply)
		return
	}
	check := &deepCheck{replies: []func(bool){e.reply}}
	c.health.deepCheck = check
	timeout := time.AfterFunc(maxDeepCheckWait, func() { c.report(deepCheckCompleted{check, false}) })
	c.options.Machine.CheckHealth(func(healthy bool) {
		timeout.Stop()
		c.report(deepCheckCompleted{check, healthy})
	})
}

// deepCheck is a check of the machine. Deep health checks that arrive before its report share it,
// because each costs the machine work.
type deepCheck struct {
	replies []func(healthy bool)
}

type deepCheckCompleted struct {
	check   *deepCheck
	healthy bool
}

func (e deepCheckCompleted) apply(c *Core) {
	if c.health.deepCheck != e.check {
		return // it has its report, or has timed out
	}
	c.health.deepCheck = nil
	for _, reply := range e.check.replies {
		reply(e.healthy && c.shouldReceiveTraffic())
	}
}

// LoadReport returns the load value that is sent with answers and health checks; ok is
// false if there is none.
func (c *Core) LoadReport() (value float64, ok bool) {
	if v := c.loadReport.Load(); v != nil {
		return *v, true
	}
	return 0, false
}

// PublishLoad sets the load value.
func (h host) PublishLoad(value float64) {
	if h.settings.LoadReportMode != decision.LoadReportNone {
		h.loadReport.Store(&value)
	}
}

// SetTrafficDisabled carries out an operator's request to disable or enable traffic. While
// traffic is disabled, health checks fail and the discovery service gets the report that this
// server accepts no requests. Requests that arrive nevertheless are processed as usual. done is
// called once the change is in force.
func (c *Core) SetTrafficDisabled(disabled bool, done func()) error {
	return c.enqueue(trafficDisabledSet{disabled, done})
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
		c.log.Info("traffic_disabled_changed", "disabled", disabled)
		c.reportToRegistrar()
	}
}

// Ready calls reply with whether requests can be run here: the backend is ready, and no drain
// has begun.
func (c *Core) Ready(reply func(ready bool)) error { return c.enqueue(readinessRequested{reply}) }

type readinessRequested struct{ reply func(ready bool) }

func (e readinessRequested) apply(c *Core) { e.reply(c.module != nil && !c.drain.draining) }
