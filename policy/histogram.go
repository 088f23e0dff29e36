package policy

import (
	"slices"
	"time"
)

const (
	timeoutCostSlope  = 0.4   // slope of g(t), the cost of a time-out t in the paper's section 3.6
	histogramBins     = 40    // more bins would show the noise of latencyBufferSize values
	minBinProbability = 0.001 // keeps the density f above 0, because equation 6 divides by it
)

// latencyHistogram is the probability density f of latencies from 0 to the greatest one, in
// bins of equal width. Its methods compute the terms of the paper's equations 3 to 6. Times
// are in nanoseconds.
type latencyHistogram struct {
	maxLatency  float64
	binWidth    float64
	probability [histogramBins]float64     // probability of a latency in the bin
	beyond      [histogramBins + 1]float64 // probability of a latency beyond the bin's start
	partialMean [histogramBins + 1]float64 // integral of x*f(x) from 0 to the bin's start
}

// fill computes the histogram of latencies, which are ordered from oldest to newest. The
// i-th oldest has the weight i, so that newer ones count more (section 4.5).
func (h *latencyHistogram) fill(latencies []time.Duration) {
	h.maxLatency = float64(slices.Max(latencies))
	h.binWidth = h.maxLatency / histogramBins
	total := 0.0
	for i, latency := range latencies {
		weight := float64(i + 1)
		h.probability[h.bin(float64(latency))] += weight
		total += weight
	}
	h.normalize(total)
	h.integrate()
}

// normalize converts weights to probabilities. It raises each to at least
// minBinProbability, and then scales their sum to 1.
func (h *latencyHistogram) normalize(total float64) {
	sum := 0.0
	for k := range h.probability {
		h.probability[k] = max(h.probability[k]/total, minBinProbability)
		sum += h.probability[k]
	}
	for k := range h.probability {
		h.probability[k] /= sum
	}
}

// integrate computes the integrals up to the start of each bin.
func (h *latencyHistogram) integrate() {
	h.beyond[0] = 1
	for k, probability := range h.probability {
		h.beyond[k+1] = max(0, h.beyond[k]-probability)
		mean := float64(probability * (float64(k) + 0.5) * h.binWidth) // at the bin's middle
		h.partialMean[k+1] = h.partialMean[k] + mean
	}
}

// bin returns the index of the bin that contains a time.
func (h *latencyHistogram) bin(t float64) int {
	return min(int(t/h.binWidth), histogramBins-1)
}

// binStart returns the start of bin k.
func (h *latencyHistogram) binStart(k int) float64 { return float64(float64(k) * h.binWidth) }

// costTerms returns the terms a and b of the expected cost of an attempt with time-out t:
// E = a + b × E(next attempts). b is the probability that the attempt times out, and a is
// the cost of the attempt itself (equations 4 and 5, with the integral of b from t on).
func (h *latencyHistogram) costTerms(t float64) (a, b float64) {
	k := h.bin(t)
	fraction := t/h.binWidth - float64(k)
	b = max(0, h.beyond[k]-float64(h.probability[k]*fraction))
	meanUpTo := h.partialMean[k] + float64(h.probability[k]*fraction*(h.binStart(k)+t)/2)
	return meanUpTo + float64(t*b) + float64(timeoutCostSlope*t), b
}

// finalTimeout returns the last time-out t_z, which is the greatest latency, and the expected
// cost E_z = a_z / (1 - b_z) of a call that is retried with it until it succeeds.
func (h *latencyHistogram) finalTimeout() (timeout, cost float64) {
	a, b := h.costTerms(h.maxLatency)
	return h.maxLatency, a / (1 - b)
}

// earlierTimeout returns the time-out below next with the least expected cost, if that is
// less than the given cost. retryCost is the cost after the attempt times out: that of the
// time-outs which follow, plus that of the abandoned call.
//
// The cost has a local minimum where its slope changes from negative to positive. Inside a
// bin the slope falls with t, so a minimum is at the start of a bin with a lower density
// than the bin before.
func (h *latencyHistogram) earlierTimeout(next, cost, retryCost float64) (t, least float64, found bool) {
	t, least = 0, cost
	for k := 1; k < histogramBins; k++ {
		start := h.binStart(k)
		if start >= next {
			break
		}
		if !h.isCostMinimum(k, retryCost) {
			continue
		}
		a, b := h.costTerms(start)
		if candidate := a + float64(b*retryCost); candidate < least {
			t, least, found = start, candidate, true
		}
	}
	return t, least, found
}

// isCostMinimum reports whether the expected cost has a local minimum at the start of bin k:
// it falls before and rises after. The slope is that of equation 6: b(t) + g'(t) - E f(t).
func (h *latencyHistogram) isCostMinimum(k int, retryCost float64) bool {
	slopeBefore := h.beyond[k] + timeoutCostSlope - retryCost*h.probability[k-1]/h.binWidth
	slopeAfter := h.beyond[k] + timeoutCostSlope - float64(retryCost*(h.probability[k]/h.binWidth))
	return slopeBefore <= 0 && slopeAfter >= 0
}
