package policy

import (
	"math"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	inFlightUtilizationLimit = 0.85 // of the requests in flight that the cores survive
	busyRunnablePerCore      = 1.5  // runnable tasks per core beyond which cores count as busy
	idleCoreUtilization      = 0.95 // below it cores count as idle
	concurrencyDecrease      = 0.05 // of the excess over the cores, each timer
	concurrencyIncrease      = 0.25 // requests, each timer
	preemptionWeightRatio    = 0.5  // of a newcomer's weight: runs of at most that are preempted for it
)

// concurrencyLimit holds how many requests run at a time, and what it is adjusted by.
type concurrencyLimit struct {
	limit       float64       // running requests
	meanRunTime time.Duration // moving average of the time that a run takes the cores
	readShare   float64       // moving fraction of the runnable tasks that only read or shake hands
}

// recordRunTime takes in the time of a run that ended.
func (c *concurrencyLimit) recordRunTime(took time.Duration) {
	c.meanRunTime = movingAverageTime(c.meanRunTime, took)
}

// recordReadShare takes in how many tasks are runnable, and how many of them are runs.
func (c *concurrencyLimit) recordReadShare(runnable, runs float64, interval time.Duration) {
	share := max(0, runnable-runs) / max(1, runnable)
	c.readShare = movingAverage(c.readShare, share, stepWeight(interval, pressureTimeConstant))
}

// adjust raises the limit while cores idle and requests wait, and lowers it toward the
// number of cores while they are busy. It stays between the cores and maxInFlight.
func (c *concurrencyLimit) adjust(busy, waiting bool, cores, maxInFlight float64) {
	switch {
	case busy:
		c.limit -= (c.limit - cores) * concurrencyDecrease
	case waiting:
		c.limit += concurrencyIncrease
	}
	c.limit = min(max(c.limit, cores), max(cores, maxInFlight))
}

// adjustConcurrencyLimit adjusts the number of requests that may run, by the gauges.
func (in *Instance) adjustConcurrencyLimit(g decision.Gauges) {
	cores, runs := float64(in.settings.Cores), float64(in.count[running])
	runnable := g.RunnableTasks
	if runnable < 0 { // not known
		runnable = runs
	}
	in.recordLongRuns()
	in.concurrency.recordReadShare(runnable, runs, in.timerInterval)
	busy := runnable > busyRunnablePerCore*cores || g.CoreUtilization >= idleCoreUtilization
	in.concurrency.adjust(busy, len(in.queue) > 0, cores, in.maxInFlight())
}

// recordLongRuns raises the mean run time to that of the shortest run under way where
// all cores are taken: so a slow instance knows of it before a run has ended.
func (in *Instance) recordLongRuns() {
	if in.count[running] < in.settings.Cores {
		return
	}
	shortest := time.Duration(math.MaxInt64)
	for _, q := range in.live {
		if q.state == running {
			shortest = min(shortest, q.runTime+in.now)
		}
	}
	in.concurrency.meanRunTime = max(in.concurrency.meanRunTime, shortest)
}

// maxInFlight returns how many requests may have begun and not ended, so that the
// instance survives when all come back to the cores at once.
func (in *Instance) maxInFlight() float64 {
	cores := float64(in.settings.Cores)
	excess := max(0, in.settings.OverloadRatio-1) * in.slowStartSpeed()
	return max(1, inFlightUtilizationLimit*cores*(1+excess))
}

// slowStartSpeed returns the fraction of its normal speed that an instance has: it rises
// linearly from SlowStartMinSpeed to 1 in the time after a cold start.
func (in *Instance) slowStartSpeed() float64 {
	age := in.now - in.startedAt
	if !in.settings.SlowStart || age >= in.settings.SlowStartDuration {
		return 1
	}
	slowest := in.settings.SlowStartMinSpeed
	return slowest + (1-slowest)*float64(age)/float64(in.settings.SlowStartDuration)
}

// requestsInFlight counts the requests that have begun to run and not ended.
func (in *Instance) requestsInFlight() int {
	return in.count[running] + in.count[awaitingCall] + in.count[callInFlight]
}

// startQueued runs queued requests in the order of their priority, while the concurrency
// limit, the requests in flight and the memory allow. It passes over requests that have
// no room in memory, or would only wait for a call.
func (in *Instance) startQueued() {
	for i := 0; i < len(in.queue); {
		q := in.queue[i]
		if !in.canRun(q) {
			i++
			continue
		}
		if float64(in.requestsInFlight()) >= in.maxInFlight() {
			return
		}
		if float64(in.count[running]) >= in.effectiveLimit() && !in.preemptFor(q) {
			return
		}
		q.mayHaveRun = true
		in.host.Run(q.ID)
		in.moveTo(q, running) // takes it out of the queue
	}
}

// canRun tells whether a queued request has room in memory and would get its call soon.
func (in *Instance) canRun(q *request) bool {
	more := in.reservedMemory(q, running) - in.reservedMemory(q, q.state)
	if in.exceedsMemory(more) {
		return false
	}
	waitsForCall := in.callShedProbability(q) > 0 // false for a NaN, where nothing may wait
	return !waitsForCall
}

// effectiveLimit returns the concurrency limit, lowered while reads lag: they share the
// cores with the runs, and what is read late is useless.
func (in *Instance) effectiveLimit() float64 {
	return max(1, in.concurrency.limit/(1+in.readLagFraction()))
}

// preemptFor cancels the running request of least priority, to be resumed later, for one
// of far greater weight: with few cores a long run holds up all that come. It does so
// only where nothing that was done is lost.
func (in *Instance) preemptFor(q *request) bool {
	if in.settings.CancelMode != decision.CancelPause {
		return false
	}
	victim := in.lowestPriorityRun()
	if victim == nil || victim.weight > q.weight*preemptionWeightRatio {
		return false
	}
	victim.preempting = true
	in.host.Cancel(victim.ID)
	return true
}

// lowestPriorityRun returns the running request that would be preempted first, or nil.
func (in *Instance) lowestPriorityRun() *request {
	var lowest *request
	for _, q := range in.live {
		if q.state != running || q.preempting || q.answered {
			continue
		}
		if lowest == nil || comparePriority(lowest, q) < 0 {
			lowest = q
		}
	}
	return lowest
}
