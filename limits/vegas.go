package limits

import (
	"math"
	"time"
)

// Constants of the algorithm, as in VegasLimit except for minLatencyGrowth.
const (
	alpha                = 3                      // times log10 of the limit: the limit grows while fewer runs wait
	beta                 = 6                      // times log10 of the limit: the limit shrinks while more runs wait
	minLatencyGrowth     = 1e-5                   // relative growth of the minimum latency with each run
	recentLatencyWeight  = 0.05                   // weight of the latest run in the recent mean latency, so about 20 runs count
	minLimit             = 1.0                    // slots
	maxLimitStep         = 0.5                    // slots; maximum change of the limit by one run
	minMeasurableLatency = 100 * time.Microsecond // shorter latencies are ignored
)

// vegasLimit is a limit of concurrent runs that adapts to their latencies. The package's
// comment explains the algorithm. Latencies are in nanoseconds.
type vegasLimit struct {
	limit         float64 // slots
	minLatency    float64
	recentLatency float64 // exponentially weighted mean
	samples       int
	queueing      bool // the latencies show that runs wait downstream
}

// slots returns the limit in whole slots.
func (l *vegasLimit) slots() int { return int(math.Floor(l.limit)) }

// observe adapts the limit to the latency of a run that succeeded.
//
// Inputs: the latency; the upper bound of the limit; whether the pool used at least half of
// its limit. Rule: depending on how many runs wait downstream, the limit grows, stays or
// shrinks. It grows only if the pool used at least half of it. Reason: while the pool uses
// less, the latencies don't show whether more slots would increase the throughput.
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

// observeLatency updates the recent mean latency and the minimum latency.
func (l *vegasLimit) observeLatency(latency float64) {
	if l.samples == 0 {
		l.minLatency, l.recentLatency = latency, latency
	}
	l.samples++
	l.recentLatency += float64(recentLatencyWeight * (latency - l.recentLatency))
	l.minLatency = min(l.minLatency*(1+minLatencyGrowth), l.recentLatency)
}
