package policy

import (
	"math"
	"testing"
	"time"
)

// The integrals of the density must reach their limits at the greatest latency.
func TestLatencyHistogram_IsAProbabilityDistribution(t *testing.T) {
	var histogram latencyHistogram
	histogram.fill([]time.Duration{100 * ms, 300 * ms, 200 * ms, 400 * ms})
	sum := 0.0
	for bin, probability := range histogram.probability {
		if probability <= 0 {
			t.Errorf("probability of bin %d = %v, want more than 0", bin, probability)
		}
		sum += probability
	}
	beyondMax := histogram.beyond[histogramBins]
	if math.Abs(sum-1) > 1e-9 || math.Abs(beyondMax) > 1e-9 {
		t.Errorf("sum of probabilities = %v, probability beyond maxLatency = %v; want 1, 0", sum, beyondMax)
	}
	// Weights 1 to 4 from oldest to newest: (100 + 2×300 + 3×200 + 4×400) / 10, to a bin's width.
	if mean := histogram.partialMean[histogramBins]; math.Abs(mean-float64(290*ms)) > histogram.binWidth {
		t.Errorf("mean = %v, want 290ms within %v", time.Duration(mean), time.Duration(histogram.binWidth))
	}
	a, b := histogram.costTerms(histogram.maxLatency)
	least := histogram.partialMean[histogramBins] + timeoutCostSlope*histogram.maxLatency
	if b > 1e-9 || a < least {
		t.Errorf("costTerms(maxLatency) = %v, %v, want at least %v, and 0", a, b, least)
	}
}
