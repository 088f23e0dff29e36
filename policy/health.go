package policy

import (
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	unhealthyErrorRate      = 0.4 // of own runs that fail or hang
	errorRateTimeConstant   = 8 * time.Second
	readLagTimeConstant     = time.Second
	minHealthChangeInterval = 8 * time.Second // read lag alone makes it unhealthy no sooner after a change
)

// healthMonitor judges the instance's own health by two signals. The error rate of its runs
// shows one whose runs fail fast, which looks idle and attracts requests. The read lag
// shows one that hangs or is slow, which still reads, but late.
type healthMonitor struct {
	healthy         bool
	errorRate       float64       // moving fraction of own runs that failed or hung
	readLag         float64       // moving average of the time from arrival to being read, in seconds
	lagIgnoredUntil time.Duration // until then read lag does not make it unhealthy
}

// recordRun takes in whether one of the instance's own runs failed or hung.
func (h *healthMonitor) recordRun(bad bool) { h.errorRate = movingRate(h.errorRate, bad) }

// recordRead takes in how long after its arrival a request was read.
func (h *healthMonitor) recordRead(lag time.Duration) {
	h.readLag = movingAverage(h.readLag, lag.Seconds(), ewmaWeight)
}

// decay fades what was seen: an instance that gets no requests as it is unhealthy must
// recover without them.
func (h *healthMonitor) decay(elapsed time.Duration) {
	h.readLag *= decay(elapsed, readLagTimeConstant)
	h.errorRate *= decay(elapsed, errorRateTimeConstant)
}

// judge returns whether the instance is healthy. lagging is whether reads are too late;
// that alone does not count soon after another change: if all instances lag at once, only
// a few of them may leave the endpoint list.
func (h *healthMonitor) judge(now time.Duration, lagging bool) bool {
	tooLate := lagging && (!h.healthy || now > h.lagIgnoredUntil)
	return h.errorRate <= unhealthyErrorRate && !tooLate
}

// updateHealth reports the instance's health when it changed. While draining it stays bad.
func (in *Instance) updateHealth() {
	healthy := in.health.judge(in.now, in.readLagFraction() > 1)
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

// readLagFraction returns the read lag as a fraction of the lag at which all that is read
// would be shed: that part of the shortest latency objective.
func (in *Instance) readLagFraction() float64 {
	return in.health.readLag / (shedOnsetFraction * in.shortestObjective.Seconds())
}
