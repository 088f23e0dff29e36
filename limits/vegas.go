package limits

import (
	"math"
	"time"
)

// Constants of the algorithm: as in VegasLimit, except for the growth of the minimum.
const (
	alpha                = 3    // the limit grows while fewer runs wait (times log10 of the limit)
	beta                 = 6    // the limit shrinks while more runs wait (likewise)
	minLatencyGrowth     = 1e-5 // of the minimum latency, with each run
	recentLatencyWeight  = 0.05 // of the latest run in the recent mean latency: about 20 runs count
	minLimit             = 1.0  // slots
	maxLimitStep         = 0.5  // slots by which one run changes the limit at most
	minMeasurableLatency = 100 * time.Microsecond
)

// vegasLimit is a number of slots that follows the latencies of runs. See the package's
// comment. Latencies are in nanoseconds.
type vegasLimit struct {
	limit         float64
	minLatency    float64
	recentLatency float64 // exponentially weighted mean
	samples       int
	queueing      bool // the latencies show runs that wait downstream
}

// slots is the limit in whole slots.
func (l *vegasLimit) slots() int { return int(math.Floor(l.limit)) }

// observe takes in the latency of a run that succeeded, and adapts the limit.
//
// Inputs: the latency; the bound of the limit; whether the pool used at least half of its
// limit. Rule: by the number of runs that wait downstream, the limit grows, stays or
// shrinks; it grows only while it is used. Reason: while the pool uses less than half of
// its limit, latencies don't show whether more slots would help.
func (l *vegasLimit) observe(latency time.Duration, maxLimit float64, used bool) {
	if latency < minMeasurableLatency {
		return
	}
	l.observeLatency(float64(latency))
	waiting := l.limit * (1 - l.minLatency/l.recentLatency)
	scale := max(1, math.Log10(l.limit))
	step := min(maxLimitStep, scale/l.limit)
	l.queueing = waiting >= alpha*scale
	switch {
	case !l.queueing && used:
		l.limit += step
	case waiting > beta*scale:
		l.limit -= step
	}
	l.limit = min(maxLimit, max(minLimit, l.limit))
}

// observeLatency updates the mean and the minimum.
func (l *vegasLimit) observeLatency(latency float64) {
	if l.samples == 0 {
		l.minLatency, l.recentLatency = latency, latency
	}
	l.samples++
	l.recentLatency += recentLatencyWeight * (latency - l.recentLatency)
	l.minLatency = min(l.minLatency*(1+minLatencyGrowth), l.recentLatency)
}
