package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	unhealthyErrorRate      = 0.4 // largest error rate of a healthy instance
	errorRateTimeConstant   = 8 * time.Second
	readLagTimeConstant     = time.Second
	minHealthChangeInterval = 8 * time.Second // after a change, during which read lag alone has no effect
)

// healthMonitor evaluates the instance's own health from two signals. The error rate of its
// runs detects fast failures: an instance whose runs fail fast looks idle and attracts requests. The
// read lag detects an instance that hangs or is slow: it still reads requests, but late.
type healthMonitor struct {
	healthy         bool
	errorRate       float64       // moving average of the fraction of own runs that failed or hung
	readLag         float64       // moving average of Request.ReadLag, in seconds
	lagIgnoredUntil time.Duration // read lag does not make it unhealthy before this time
}

// recordRun records a run. bad is true if the run failed or hangs.
func (h *healthMonitor) recordRun(bad bool) { h.errorRate = movingRate(h.errorRate, bad) }

// recordRead records the read lag of a request.
func (h *healthMonitor) recordRead(lag time.Duration) {
	h.readLag = movingAverage(h.readLag, lag.Seconds(), ewmaWeight)
}

// decay reduces both signals over the elapsed time, because an unhealthy instance may get no
// requests and must recover without them.
func (h *healthMonitor) decay(elapsed time.Duration) {
	h.readLag *= decayFactor(elapsed, readLagTimeConstant)
	h.errorRate *= decayFactor(elapsed, errorRateTimeConstant)
}

// evaluate reports whether the instance is healthy. lagging says that reads are too late. Late
// reads alone do not make the instance unhealthy until minHealthChangeInterval after the last
// change: if all instances lag at once, only a few of them may leave the endpoint list.
func (h *healthMonitor) evaluate(now time.Duration, lagging bool) bool {
	tooLate := lagging && (!h.healthy || now > h.lagIgnoredUntil)
	return h.errorRate <= unhealthyErrorRate && !tooLate
}

// updateHealth reports a change of the instance's health, except during a drain.
func (in *Instance) updateHealth() {
	healthy := in.health.evaluate(in.now, in.readLagFraction() > 1)
	if healthy == in.health.healthy || in.drain.started {
		return
	}
	in.health.healthy = healthy
	in.health.lagIgnoredUntil = in.now + minHealthChangeInterval
	in.host.SetHealth(healthy, true)
	in.host.Log(decision.HealthChanged{
		Healthy: healthy, ErrorRate: in.health.errorRate, ReadLagSeconds: in.health.readLag,
	})
}

// readLagFraction returns the read lag as a fraction of the lag at which every request would
// be shed once it is read: shedOnsetFraction of the shortest latency objective.
func (in *Instance) readLagFraction() float64 {
	return in.health.readLag / (shedOnsetFraction * in.shortestObjective.Seconds())
}
