package policy

import (
	"math"
	"time"
)

// ewmaWeight is the weight of the newest sample in exponentially weighted moving averages.
const ewmaWeight = 0.1

// movingAverage returns the average after one more sample. The weight of the sample is 0 to 1.
func movingAverage(average, sample, weight float64) float64 {
	return average + float64(weight*(sample-average))
}

// movingAverageTime is movingAverage for durations, with ewmaWeight.
func movingAverageTime(average, sample time.Duration) time.Duration {
	return average + time.Duration(ewmaWeight*float64(sample-average))
}

// movingRate returns the moving average, with ewmaWeight, of whether an event happened.
func movingRate(rate float64, happened bool) float64 {
	rate -= float64(ewmaWeight * rate)
	if happened {
		rate += ewmaWeight
	}
	return rate
}

// decayFactor returns the factor of an exponential decay over the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// sampleWeight returns the weight of a sample that covers the time span, in a moving average
// with the given time constant.
func sampleWeight(span, timeConstant time.Duration) float64 {
	return min(1, float64(span)/float64(timeConstant))
}
