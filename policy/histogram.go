package policy

import (
	"slices"
	"time"
)

const (
	timeoutCostSlope  = 0.4   // of g(t), the cost of a request by its time-out t, in the paper's section 3.6
	histogramBins     = 40    // finer bins show the noise of latencyBufferSize values
	minBinProbability = 0.001 // so that the density f is never 0, as equation 6 divides by it
)

// latencyHistogram is the density f of latencies from 0 to the greatest one, in bins of
// equal width. It gives the terms of the paper's equations 3 to 6. Times are in
// nanoseconds.
type latencyHistogram struct {
	maxLatency  float64
	binWidth    float64
	probability [histogramBins]float64     // of a latency in the bin
	beyond      [histogramBins + 1]float64 // probability of a latency beyond the bin's start
	partialMean [histogramBins + 1]float64 // integral of x f(x) from 0 to the bin's start
}

// fill counts latencies, the oldest first. The i-th oldest has the weight i, so that
// newer ones count more (section 4.5).
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

// normalize turns weights into probabilities, none of them under minBinProbability
// before their sum is brought to 1 again.
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
		h.partialMean[k+1] = h.partialMean[k] + probability*(float64(k)+0.5)*h.binWidth // at the bin's middle
	}
}

// bin returns the bin that a time falls in.
func (h *latencyHistogram) bin(t float64) int {
	return min(int(t/h.binWidth), histogramBins-1)
}

// binStart returns the time at which a bin begins.
func (h *latencyHistogram) binStart(k int) float64 { return float64(k) * h.binWidth }

// terms returns, for a time-out t, the probability b that a request times out, and the
// expected cost a of one attempt: E = a + b × E of what follows (equations 4 and 5, with
// the integral of b from t on).
func (h *latencyHistogram) terms(t float64) (a, b float64) {
	k := h.bin(t)
	part := t/h.binWidth - float64(k)
	b = max(0, h.beyond[k]-h.probability[k]*part)
	meanUpTo := h.partialMean[k] + h.probability[k]*part*(h.binStart(k)+t)/2
	return meanUpTo + t*b + timeoutCostSlope*t, b
}

// finalTimeout returns the last time-out t_z, the greatest latency, with the expected cost
// E_z = a_z / (1 - b_z) of a request that is retried with it until it succeeds.
func (h *latencyHistogram) finalTimeout() (timeout, cost float64) {
	a, b := h.terms(h.maxLatency)
	return h.maxLatency, a / (1 - b)
}

// earlierTimeout returns the time-out before next that has the least expected cost, less
// than the given one. retryCost is the cost when it is reached: that of the time-outs
// which follow, and of the abandoned call.
//
// The cost is least where its slope turns from falling to rising. Inside a bin the slope
// falls with t, so that is at the start of a bin that is thinner than the one before.
func (h *latencyHistogram) earlierTimeout(next, cost, retryCost float64) (t, least float64, found bool) {
	t, least = 0, cost
	for k := 1; k < histogramBins; k++ {
		start := h.binStart(k)
		if start >= next {
			break
		}
		if !h.costTurns(k, retryCost) {
			continue
		}
		a, b := h.terms(start)
		if candidate := a + b*retryCost; candidate < least {
			t, least, found = start, candidate, true
		}
	}
	return t, least, found
}

// costTurns tells whether the expected cost falls before the start of a bin and rises
// after it. The slope is that of equation 6: b(t) + g'(t) - E f(t).
func (h *latencyHistogram) costTurns(k int, retryCost float64) bool {
	slopeBefore := h.beyond[k] + timeoutCostSlope - retryCost*h.probability[k-1]/h.binWidth
	slopeAfter := h.beyond[k] + timeoutCostSlope - retryCost*(h.probability[k]/h.binWidth)
	return slopeBefore <= 0 && slopeAfter >= 0
}
