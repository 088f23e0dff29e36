package policy

import (
	"math"
	"testing"
	"time"
)

// TestHistogramIsADistribution checks the integrals of the density against their limits.
func TestHistogramIsADistribution(t *testing.T) {
	var h latencyHistogram
	h.fill([]time.Duration{100 * ms, 300 * ms, 200 * ms, 400 * ms})
	sum := 0.0
	for k, probability := range h.probability {
		if probability <= 0 {
			t.Errorf("the density of bin %d is %v", k, probability)
		}
		sum += probability
	}
	if math.Abs(sum-1) > 1e-9 || math.Abs(h.beyond[histogramBins]) > 1e-9 {
		t.Errorf("probabilities sum up to %v, %v lies beyond the greatest latency", sum, h.beyond[histogramBins])
	}
	// Weights 1 to 4, oldest first: (100 + 2 × 300 + 3 × 200 + 4 × 400) / 10, within a bin.
	if mean := h.partialMean[histogramBins]; math.Abs(mean-float64(290*ms)) > h.binWidth {
		t.Errorf("mean %v", time.Duration(mean))
	}
	if a, b := h.terms(h.maxLatency); b > 1e-9 || a < h.partialMean[histogramBins]+timeoutCostSlope*h.maxLatency {
		t.Errorf("at the greatest latency a is %v, b is %v", a, b)
	}
}
