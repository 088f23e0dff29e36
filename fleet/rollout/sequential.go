package rollout

import "math"

// negligibleSigmas is how many standard deviations the upper bound of a rare
// event's count is above it.
const negligibleSigmas = 4

// outcomeCounts are events and requests of a window. Requests are weighed by the
// histories of the servers.
type outcomeCounts struct {
	cohortEvents, cohortRequests     float64
	baselineEvents, baselineRequests float64
}

// SequentialTest is a sequential probability ratio test (Wald, "Sequential Tests
// of Statistical Hypotheses", 1945) on whether a cohort's rate of an event is
// Limits.WorseRatio times that of the baseline. The baseline's rate is not known
// and changes with the hour, so each window is judged given the number of its
// events: the cohort has the part of them that its requests are of all requests
// if it is no worse, and a larger part if it is. Only the sums are kept.
//
// Events come in bursts, so that counts vary more than those of independent
// events. The evidence is divided by the dispersion, which is their variance
// among the servers of the baseline over their mean (quasi-likelihood; McCullagh
// and Nelder, "Generalized Linear Models", 1989).
type SequentialTest struct {
	LogLikelihoodRatio float64 `json:"evidence"` // of worse to no worse
	DispersionSum      float64 `json:"spread"`   // over the windows
	Windows            int     `json:"windows"`
	CohortEvents       float64 `json:"bad"`
	CohortRequests     float64 `json:"of"` // weighed
	BaselineEvents     float64 `json:"old_bad"`
	BaselineRequests   float64 `json:"old_of"` // weighed
	HistoryEvents      float64 `json:"past"`   // that the cohort's weights were derived from; 0 where these are exact
}

// observe adds a window; dispersion is that of the baseline in it.
func (t *SequentialTest) observe(c outcomeCounts, worseRatio, dispersion float64) {
	if c.cohortRequests == 0 || c.baselineRequests == 0 {
		return
	}
	t.DispersionSum += dispersion
	t.Windows++
	t.CohortEvents += c.cohortEvents
	t.CohortRequests += c.cohortRequests
	t.BaselineEvents += c.baselineEvents
	t.BaselineRequests += c.baselineRequests
	partIfEqual := c.cohortRequests / (c.cohortRequests + c.baselineRequests)
	if partIfEqual == 0 || partIfEqual == 1 {
		return
	}
	partIfWorse := c.cohortRequests * worseRatio / (c.cohortRequests*worseRatio + c.baselineRequests)
	t.LogLikelihoodRatio += c.cohortEvents*math.Log(partIfWorse/partIfEqual) +
		c.baselineEvents*math.Log((1-partIfWorse)/(1-partIfEqual))
}

// dispersion is the mean over the windows, 1 at least.
func (t *SequentialTest) dispersion() float64 {
	return max(1, t.DispersionSum/float64(max(1, t.Windows)))
}

// discountedEvidence is the log likelihood ratio, divided by the dispersion and
// by what the error of the histories adds to the variance: the events that they
// were derived from are limited, however many come now.
func (t *SequentialTest) discountedEvidence() float64 {
	evidence := t.LogLikelihoodRatio / t.dispersion()
	if t.HistoryEvents > 0 && t.BaselineRequests > 0 {
		evidence /= 1 + t.BaselineEvents/t.BaselineRequests*t.CohortRequests/t.HistoryEvents
	}
	return evidence
}

// attainableEvidence is how far below zero the discounted evidence of a cohort
// that is no worse can be expected to fall, at most, given its history.
func (t *SequentialTest) attainableEvidence(worseRatio float64) float64 {
	if t.HistoryEvents == 0 {
		return math.Inf(1)
	}
	return t.HistoryEvents * (worseRatio - 1 - math.Log(worseRatio)) / t.dispersion()
}

// isNegligible reports whether an upper bound of the cohort's rate is within rate.
func (t *SequentialTest) isNegligible(rate float64) bool {
	if t.CohortRequests <= 0 {
		return false
	}
	upperBound := t.CohortEvents + negligibleSigmas*math.Sqrt(t.CohortEvents*t.dispersion()) + negligibleSigmas
	return upperBound/t.CohortRequests <= rate
}

// requiredEvents is how many events a cohort's history needs so that, when the
// cohort is no worse, its evidence falls to log(MissProbability), but for the
// given probability of a false halt. It is the n that solves
// n*gain - z*sqrt(n*4/3)*log(WorseRatio) = -log(MissProbability): the factor 4/3 is
// there because the stage's own counts are random as well as those of the history.
func (l Limits) requiredEvents(falseHaltProbability float64) float64 {
	logRatio := math.Log(l.WorseRatio)
	gain := l.WorseRatio - 1 - logRatio
	z := math.Sqrt2 * math.Erfinv(1-2*falseHaltProbability) * math.Sqrt(4./3)
	root := (z*logRatio + math.Sqrt(z*z*logRatio*logRatio-4*gain*math.Log(l.MissProbability))) / (2 * gain)
	return root * root
}

// pearsonDispersion estimates the dispersion of an event among servers, given
// their weighted requests, by Pearson's statistic over its degrees of freedom: 1
// where events are independent, and 1 at least.
func pearsonDispersion(samples []Sample, count func(Sample) uint64, weight func(Sample) float64) float64 {
	var events, requests float64
	servers := 0
	for _, s := range samples {
		if s.Requests > 0 {
			events += float64(count(s))
			requests += weight(s)
			servers++
		}
	}
	if servers < 2 || events == 0 {
		return 1
	}
	statistic := 0.0
	for _, s := range samples {
		if s.Requests > 0 {
			expected := events * weight(s) / requests
			difference := float64(count(s)) - expected
			statistic += difference * difference / expected
		}
	}
	return max(1, statistic/float64(servers-1))
}
