package policy

import (
	"math"
	"time"
)

// ewmaWeight is the weight of the newest sample in exponentially weighted moving averages.
const ewmaWeight = 0.1

// movingAverage returns an average moved toward a sample by the sample's weight, 0 to 1.
func movingAverage(average, sample, weight float64) float64 {
	return average + weight*(sample-average)
}

// movingAverageTime is movingAverage of spans, with ewmaWeight.
func movingAverageTime(average, sample time.Duration) time.Duration {
	return average + time.Duration(ewmaWeight*float64(sample-average))
}

// movingRate returns the fraction of recent events that happened, after one more.
func movingRate(rate float64, happened bool) float64 {
	rate -= ewmaWeight * rate
	if happened {
		rate += ewmaWeight
	}
	return rate
}

// decay is the factor by which a value fades exponentially over a span.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// stepWeight is the weight of a sample that covers a span, in an average that adapts
// over a time constant.
func stepWeight(span, timeConstant time.Duration) float64 {
	return min(1, float64(span)/float64(timeConstant))
}
