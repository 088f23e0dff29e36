package policy

import (
	"math"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	inFlightUtilizationLimit = 0.85 // fraction of the requests that may be runnable at once without overload
	busyRunnablePerCore      = 1.5  // runnable tasks per core above which the cores count as busy
	busyCoreUtilization      = 0.95 // utilization from which the cores count as busy
	concurrencyDecrease      = 0.05 // fraction of the excess over the number of cores, per timer
	concurrencyIncrease      = 0.25 // requests, per timer
	preemptionWeightRatio    = 0.5  // largest weight of a preempted run, as a fraction of the next run's
)

// concurrencyLimit is the number of requests that may run at a time, and related averages.
type concurrencyLimit struct {
	limit       float64       // in running requests
	meanRunTime time.Duration // moving average of the time that a run spends in the state running
	readShare   float64       // moving average of the fraction of runnable tasks that are not runs
}

// recordRunTime records the time that a run spent in the state running.
func (c *concurrencyLimit) recordRunTime(took time.Duration) {
	c.meanRunTime = movingAverageTime(c.meanRunTime, took)
}

// recordReadShare updates the read share: the fraction of the runnable tasks that read
// requests or do handshakes instead of running requests.
func (c *concurrencyLimit) recordReadShare(runnable, runs float64, interval time.Duration) {
	share := max(0, runnable-runs) / max(1, runnable)
	c.readShare = movingAverage(c.readShare, share, sampleWeight(interval, pressureTimeConstant))
}

// adjust raises the limit if cores are idle and requests wait, and lowers it toward the
// number of cores if they are busy. The limit stays between cores and maxInFlight.
func (c *concurrencyLimit) adjust(busy, waiting bool, cores, maxInFlight float64) {
	switch {
	case busy:
		c.limit -= float64((c.limit - cores) * concurrencyDecrease)
	case waiting:
		c.limit += concurrencyIncrease
	}
	c.limit = min(max(c.limit, cores), max(cores, maxInFlight))
}

// adjustConcurrencyLimit adjusts the concurrency limit to the gauges.
func (in *Instance) adjustConcurrencyLimit(g decision.Gauges) {
	cores, runs := float64(in.settings.Cores), float64(in.stateCount[running])
	runnable := g.RunnableTasks
	if runnable < 0 { // unknown
		runnable = runs
	}
	in.raiseMeanRunTime()
	in.concurrency.recordReadShare(runnable, runs, in.timerInterval)
	busy := runnable > busyRunnablePerCore*cores || g.CoreUtilization >= busyCoreUtilization
	in.concurrency.adjust(busy, len(in.queue) > 0, cores, in.maxInFlight())
}

// raiseMeanRunTime raises the mean run time to that of the shortest current run if at least
// Cores requests run. A slow instance thus detects its slowness before a run has ended.
func (in *Instance) raiseMeanRunTime() {
	if in.stateCount[running] < in.settings.Cores {
		return
	}
	shortest := time.Duration(math.MaxInt64)
	for _, req := range in.unfinished {
		if req.state == running {
			shortest = min(shortest, req.runTime+in.now)
		}
	}
	in.concurrency.meanRunTime = max(in.concurrency.meanRunTime, shortest)
}

// maxInFlight returns the maximum number of requests in flight (see requestsInFlight). It is
// inFlightUtilizationLimit times the number of requests that may be runnable at once without
// overloading the instance, and at least 1.
func (in *Instance) maxInFlight() float64 {
	cores := float64(in.settings.Cores)
	excess := float64(max(0, in.settings.OverloadRatio-1) * in.slowStartSpeed())
	return max(1, inFlightUtilizationLimit*cores*(1+excess))
}

// slowStartSpeed returns the instance's speed as a fraction of its normal speed. After a cold
// start it rises linearly from SlowStartMinSpeed to 1 within SlowStartDuration.
func (in *Instance) slowStartSpeed() float64 {
	age := in.now - in.startedAt
	if !in.settings.SlowStart || age >= in.settings.SlowStartDuration {
		return 1
	}
	slowest := in.settings.SlowStartMinSpeed
	return slowest + (1-slowest)*float64(age)/float64(in.settings.SlowStartDuration)
}

// requestsInFlight returns the number of requests that run or wait for a call. Preempted
// requests don't count.
func (in *Instance) requestsInFlight() int {
	return in.stateCount[running] + in.stateCount[awaitingCall] + in.stateCount[callInFlight]
}

// startQueued runs queued requests in order of priority while the concurrency limit and
// maxInFlight allow it. It passes over requests that lack memory or would only wait for a
// call (canRun).
func (in *Instance) startQueued() {
	for i := 0; i < len(in.queue); {
		req := in.queue[i]
		if !in.canRun(req) {
			i++
			continue
		}
		if float64(in.requestsInFlight()) >= in.maxInFlight() {
			return
		}
		if float64(in.stateCount[running]) >= in.effectiveLimit() && !in.preemptFor(req) {
			return
		}
		req.mayHaveRun = true
		in.host.Run(req.ID)
		in.setState(req, running) // removes it from the queue
	}
}

// canRun reports whether there is enough memory to run a queued request, and whether it would
// get its call soon.
func (in *Instance) canRun(req *request) bool {
	more := in.reservedMemory(req, running) - in.reservedMemory(req, req.state)
	if in.exceedsMemory(more) {
		return false
	}
	waitsForCall := in.callShedProbability(req) > 0 // false for NaN: the expected and the maximum wait are 0
	return !waitsForCall
}

// effectiveLimit returns the concurrency limit, reduced by the read lag: reads share the
// cores with runs, and a request that is read late is useless.
func (in *Instance) effectiveLimit() float64 {
	return max(1, in.concurrency.limit/(1+in.readLagFraction()))
}

// preemptFor pauses the running request of lowest priority if the given request has far
// more weight, because with few cores a long run would delay all later requests. It reports
// whether it did. Runs are preempted only in the mode CancelPause, which loses no work.
func (in *Instance) preemptFor(req *request) bool {
	if in.settings.CancelMode != decision.CancelPause {
		return false
	}
	victim := in.lowestPriorityRun()
	if victim == nil || victim.weight > req.weight*preemptionWeightRatio {
		return false
	}
	victim.preempting = true
	in.host.Cancel(victim.ID)
	return true
}

// lowestPriorityRun returns the running request with the lowest priority, or nil. It ignores
// requests that are being preempted or are answered.
func (in *Instance) lowestPriorityRun() *request {
	var lowest *request
	for _, req := range in.unfinished {
		if req.state != running || req.preempting || req.answered {
			continue
		}
		if lowest == nil || comparePriority(lowest, req) < 0 {
			lowest = req
		}
	}
	return lowest
}
