package rollout

import "math"

// negligibleSigmas is the distance, in standard deviations, between the count of a rare
// event and its upper bound.
const negligibleSigmas = 4

// outcomeCounts are the events and the requests of a window. The requests are weighted
// by the servers' histories.
type outcomeCounts struct {
	cohortEvents, cohortRequests     float64
	baselineEvents, baselineRequests float64
}

// SequentialTest is a sequential probability ratio test (Wald, "Sequential Tests
// of Statistical Hypotheses", 1945) on whether a cohort's rate of an event is
// Limits.WorseRatio times that of the baseline. The baseline's rate is unknown and
// varies over the day, so the test is conditional on the number of events in each
// window: if the cohort is no worse, its share of the events is its share of the
// requests; if it is worse, its share is larger. Only the sums are kept.
//
// Events come in bursts, so counts vary more than those of independent events. The
// evidence is divided by the dispersion, which is the variance of the counts among the
// baseline's servers over their mean (quasi-likelihood; McCullagh and Nelder,
// "Generalized Linear Models", 1989).
type SequentialTest struct {
	LogLikelihoodRatio float64 `json:"evidence"` // of the hypothesis "worse" to the hypothesis "no worse"
	DispersionSum      float64 `json:"spread"`   // sum of the windows' dispersions
	Windows            int     `json:"windows"`
	CohortEvents       float64 `json:"bad"`
	CohortRequests     float64 `json:"of"` // weighted
	BaselineEvents     float64 `json:"old_bad"`
	BaselineRequests   float64 `json:"old_of"` // weighted
	HistoryEvents      float64 `json:"past"`   // events in the histories from which the cohort's weights were derived; 0 if the weights are exact
}

// observe adds a window with its counts and the baseline's dispersion.
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
	shareIfEqual := c.cohortRequests / (c.cohortRequests + c.baselineRequests)
	if shareIfEqual == 0 || shareIfEqual == 1 {
		return
	}
	shareIfWorse := c.cohortRequests * worseRatio / (float64(c.cohortRequests*worseRatio) + c.baselineRequests)
	t.LogLikelihoodRatio += float64(c.cohortEvents*math.Log(shareIfWorse/shareIfEqual)) +
		float64(c.baselineEvents*math.Log((1-shareIfWorse)/(1-shareIfEqual)))
}

// dispersion returns the mean dispersion over the windows, at least 1.
func (t *SequentialTest) dispersion() float64 {
	return max(1, t.DispersionSum/float64(max(1, t.Windows)))
}

// discountedEvidence returns the log likelihood ratio, divided by the dispersion and by
// the factor by which the error of the histories increases the variance. That error
// remains however many events are counted now, because the histories have a limited
// number of events.
func (t *SequentialTest) discountedEvidence() float64 {
	evidence := t.LogLikelihoodRatio / t.dispersion()
	if t.HistoryEvents > 0 && t.BaselineRequests > 0 {
		evidence /= 1 + t.BaselineEvents/t.BaselineRequests*t.CohortRequests/t.HistoryEvents
	}
	return evidence
}

// attainableEvidence returns how far below 0 the discounted evidence of a cohort that is
// no worse is expected to fall at most, given its history. The result is positive.
func (t *SequentialTest) attainableEvidence(worseRatio float64) float64 {
	if t.HistoryEvents == 0 {
		return math.Inf(1)
	}
	return t.HistoryEvents * (worseRatio - 1 - math.Log(worseRatio)) / t.dispersion()
}

// isNegligible reports whether an upper bound of the cohort's event rate is at most
// rate.
func (t *SequentialTest) isNegligible(rate float64) bool {
	if t.CohortRequests <= 0 {
		return false
	}
	upperBound := t.CohortEvents + float64(negligibleSigmas*math.Sqrt(t.CohortEvents*t.dispersion())) + negligibleSigmas
	return upperBound/t.CohortRequests <= rate
}

// requiredEvents returns the number of events that a cohort's history needs so that the
// evidence of a cohort that is no worse falls to log(MissProbability), except with the
// given probability of a false halt. It is the solution n of
// n*gain - z*sqrt(n*4/3)*log(WorseRatio) = -log(MissProbability). The factor 4/3
// accounts for the randomness of the stage's own counts, in addition to the history's.
func (l Limits) requiredEvents(falseHaltProbability float64) float64 {
	logRatio := math.Log(l.WorseRatio)
	gain := l.WorseRatio - 1 - logRatio
	z := math.Sqrt2 * math.Erfinv(1-2*falseHaltProbability) * math.Sqrt(4./3)
	discriminant := float64(z*z*logRatio*logRatio) - float64(4*gain*math.Log(l.MissProbability))
	root := (float64(z*logRatio) + math.Sqrt(discriminant)) / (2 * gain)
	return root * root
}

// pearsonDispersion estimates the dispersion of an event's counts among servers, given
// their weighted requests, as Pearson's statistic over its degrees of freedom. It is
// about 1 for independent events; the result is at least 1.
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
