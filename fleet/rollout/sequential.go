package rollout

import (
	"math"
	"time"
)

// Sample is what one server reports of one window.
type Sample struct {
	Server   string `json:"server"`
	Version  string `json:"version"` // that it runs
	Requests uint64 `json:"requests"`
	Rejected uint64 `json:"refused"`
	Late     uint64 `json:"late"` // answered after the wanted time
	Failed   uint64 `json:"failed"`
	Crashes  uint64 `json:"crashes"`
	// SlowerThan counts answers by time: SlowerThan[i] took Bounds[i] or longer.
	SlowerThan [len(LatencyBounds)]uint64 `json:"slower"`
	// RejectedVersion is the version that it turned down last, and why.
	RejectedVersion string `json:"turned_down,omitempty"`
	RejectionReason string `json:"reason,omitempty"`
}

// LatencyBounds are the times that Sample.Slower counts by: steps of a quarter.
var LatencyBounds = [...]time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second, 1400 * time.Millisecond,
	2 * time.Second, 2800 * time.Millisecond, 4 * time.Second, 5600 * time.Millisecond, 8 * time.Second}

// counts are events over requests, of a cohort and of those it is compared
// with. Requests are weighed by what each server is used to.
type outcomeCounts struct{ bad, of, oldBad, oldOf float64 }

// SequentialTest is a sequential probability ratio test (Wald, "Sequential Tests of
// Statistical Hypotheses", 1945) on whether a cohort's rate of some event is
// Worse times that of the old servers. The old rate is not known and moves with
// the hour, so each window is judged given its events: of all of them, the
// cohort has its part of the requests if it is no worse, and more if it is. Its
// sums are all that is kept.
//
// Events come in bursts, so that counts vary more than if each came alone. Their
// variance among the old servers, over the mean, is what the evidence is divided
// by (quasi-likelihood; McCullagh and Nelder, "Generalized Linear Models", 1989).
type SequentialTest struct {
	LogLikelihoodRatio float64 `json:"evidence"` // log of the likelihood ratio, worse over not
	DispersionSum      float64 `json:"spread"`   // sum over the windows of variance over mean
	Windows            int     `json:"windows"`
	CohortEvents       float64 `json:"bad"` // events of the cohort
	CohortRequests     float64 `json:"of"`  // its requests, weighed
	BaselineEvents     float64 `json:"old_bad"`
	BaselineRequests   float64 `json:"old_of"`
	HistoryEvents      float64 `json:"past"` // events that say what the cohort is used to; 0 where that is known
}

// add takes a window in.
func (t *SequentialTest) add(c outcomeCounts, worse, spread float64) {
	if c.of == 0 || c.oldOf == 0 {
		return
	}
	t.DispersionSum += spread
	t.Windows++
	t.CohortEvents, t.CohortRequests, t.BaselineEvents, t.BaselineRequests = t.CohortEvents+c.bad, t.CohortRequests+c.of, t.BaselineEvents+c.oldBad, t.BaselineRequests+c.oldOf
	part := c.of / (c.of + c.oldOf)
	if part == 0 || part == 1 {
		return
	}
	bad := c.of * worse / (c.of*worse + c.oldOf)
	t.LogLikelihoodRatio += c.bad*math.Log(bad/part) + c.oldBad*math.Log((1-bad)/(1-part))
}

func (t *SequentialTest) dispersion() float64 {
	return max(1, t.DispersionSum/float64(max(1, t.Windows)))
}

// weight is the evidence, less what bursts make of it, and what is not known of
// what the cohort is used to: that was counted in so many events of its past, and
// the error of it stays however many come now.
func (t *SequentialTest) discountedEvidence() float64 {
	w := t.LogLikelihoodRatio / t.dispersion()
	if t.HistoryEvents > 0 && t.BaselineRequests > 0 {
		w /= 1 + t.BaselineEvents/t.BaselineRequests*t.CohortRequests/t.HistoryEvents
	}
	return w
}

// reach is how far below zero the evidence can be expected to come, at most, for
// a cohort that is no worse: what is known of its past bounds it.
func (t *SequentialTest) attainableEvidence(worse float64) float64 {
	if t.HistoryEvents == 0 {
		return math.Inf(1)
	}
	return t.HistoryEvents * (worse - 1 - math.Log(worse)) / t.dispersion()
}

// enough is how many events of its past a cohort needs so that, when it is no
// worse, its evidence falls to Missed but for the chance mistaken, although both
// its past and as much of its present again as there is patience for are drawn:
// the n that solves n*rho - z*sqrt(n*4/3)*log(Worse) = -log(Missed).
func (l Limits) requiredEvents(mistaken float64) float64 {
	gain := math.Log(l.WorseRatio)
	rho := l.WorseRatio - 1 - gain
	z := math.Sqrt2 * math.Erfinv(1-2*mistaken) * math.Sqrt(4./3)
	root := (z*gain + math.Sqrt(z*z*gain*gain-4*rho*math.Log(l.MissProbability))) / (2 * rho)
	return root * root
}

// negligibleSigmas is how sure a bound on a rare event is.
const negligibleSigmas = 4

// rare tells whether the cohort's rate is surely within least.
func (t *SequentialTest) isNegligible(least float64) bool {
	return t.CohortRequests > 0 && (t.CohortEvents+negligibleSigmas*math.Sqrt(t.CohortEvents*t.dispersion())+negligibleSigmas)/t.CohortRequests <= least
}

// spread is the variance of the events of single servers over their mean, given
// their requests: 1 where each event comes alone.
func pearsonDispersion(samples []Sample, of func(Sample) uint64, used func(Sample) float64) float64 {
	var bad, requests float64
	n := 0
	for _, s := range samples {
		if s.Requests > 0 {
			bad, requests, n = bad+float64(of(s)), requests+used(s), n+1
		}
	}
	if n < 2 || bad == 0 {
		return 1
	}
	chi := 0.0 // Pearson's statistic
	for _, s := range samples {
		if s.Requests > 0 {
			want := bad * used(s) / requests
			chi += (float64(of(s)) - want) * (float64(of(s)) - want) / want
		}
	}
	return max(1, chi/float64(n-1))
}

// metric is an event that is compared.
type comparedEvent struct {
	name string
	of   func(Sample) uint64
}

// metrics gives the events; slow are answers of slowAt of Bounds or longer.
func comparedEvents(slowAt int) []comparedEvent {
	return []comparedEvent{
		{"late", func(s Sample) uint64 { return s.Late }},
		{"refused", func(s Sample) uint64 { return s.Rejected }},
		{"failed", func(s Sample) uint64 { return s.Failed }},
		{"slow", func(s Sample) uint64 { return s.SlowerThan[slowAt] }},
	}
}

// History is what a server was like while it was watched: events by metric.
type History struct {
	Requests   float64                     `json:"requests"`
	Late       float64                     `json:"late"`
	Rejected   float64                     `json:"refused"`
	Failed     float64                     `json:"failed"`
	SlowerThan [len(LatencyBounds)]float64 `json:"slower"`
}

func (u *History) add(s Sample) {
	u.Requests += float64(s.Requests)
	u.Late, u.Rejected, u.Failed = u.Late+float64(s.Late), u.Rejected+float64(s.Rejected), u.Failed+float64(s.Failed)
	for i, n := range s.SlowerThan {
		u.SlowerThan[i] += float64(n)
	}
}

func (u *History) of(name string, slowAt int) float64 {
	return map[string]float64{"late": u.Late, "refused": u.Rejected, "failed": u.Failed, "slow": u.SlowerThan[slowAt]}[name]
}

// priorEvents is how many events of the whole fleet's rate each server is credited
// with: one that had few is taken to be like the others.
const priorEvents = 20

// usual gives how much more often than the fleet a server has an event, by its
// own past.
func weightByHistory(used map[string]History, name string, slowAt int) func(Sample) float64 {
	var bad, requests float64
	for _, u := range used {
		bad, requests = bad+u.of(name, slowAt), requests+u.Requests
	}
	return func(s Sample) float64 {
		if bad == 0 {
			return float64(s.Requests)
		}
		rate := bad / requests
		u := used[s.Server]
		return float64(s.Requests) * (u.of(name, slowAt) + priorEvents) / (u.Requests*rate + priorEvents)
	}
}

func sumWeights(samples []Sample, of func(Sample) float64) (n float64) {
	for _, s := range samples {
		n += of(s)
	}
	return n
}

func sumCounts(samples []Sample, of func(Sample) uint64) (n float64) {
	for _, s := range samples {
		n += float64(of(s))
	}
	return n
}

// tests are the names of all tests, in order: those of metrics, and failures of
// the old servers against their own before the stage (a change that is fine
// alone may write what the old version can't read).
func testNames() []string { return []string{"failed", "late", "old-failed", "refused", "slow"} }
