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
	Refused  uint64 `json:"refused"`
	Late     uint64 `json:"late"` // answered after the wanted time
	Failed   uint64 `json:"failed"`
	Crashes  uint64 `json:"crashes"`
	// Slower counts answers by time: Slower[i] took Bounds[i] or longer.
	Slower [len(Bounds)]uint64 `json:"slower"`
	// TurnedDown is the version that it turned down last, and why.
	TurnedDown string `json:"turned_down,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// Bounds are the times that Sample.Slower counts by: steps of a quarter.
var Bounds = [...]time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second, 1400 * time.Millisecond,
	2 * time.Second, 2800 * time.Millisecond, 4 * time.Second, 5600 * time.Millisecond, 8 * time.Second}

// counts are events over requests, of a cohort and of those it is compared
// with. Requests are weighed by what each server is used to.
type counts struct{ bad, of, oldBad, oldOf float64 }

// Test is a sequential probability ratio test (Wald, "Sequential Tests of
// Statistical Hypotheses", 1945) on whether a cohort's rate of some event is
// Worse times that of the old servers. The old rate is not known and moves with
// the hour, so each window is judged given its events: of all of them, the
// cohort has its part of the requests if it is no worse, and more if it is. Its
// sums are all that is kept.
//
// Events come in bursts, so that counts vary more than if each came alone. Their
// variance among the old servers, over the mean, is what the evidence is divided
// by (quasi-likelihood; McCullagh and Nelder, "Generalized Linear Models", 1989).
type Test struct {
	Evidence float64 `json:"evidence"` // log of the likelihood ratio, worse over not
	Spread   float64 `json:"spread"`   // sum over the windows of variance over mean
	Windows  int     `json:"windows"`
	Bad      float64 `json:"bad"` // events of the cohort
	Of       float64 `json:"of"`  // its requests, weighed
	OldBad   float64 `json:"old_bad"`
	OldOf    float64 `json:"old_of"`
	Past     float64 `json:"past"` // events that say what the cohort is used to; 0 where that is known
}

// add takes a window in.
func (t *Test) add(c counts, worse, spread float64) {
	if c.of == 0 || c.oldOf == 0 {
		return
	}
	t.Spread += spread
	t.Windows++
	t.Bad, t.Of, t.OldBad, t.OldOf = t.Bad+c.bad, t.Of+c.of, t.OldBad+c.oldBad, t.OldOf+c.oldOf
	part := c.of / (c.of + c.oldOf)
	if part == 0 || part == 1 {
		return
	}
	bad := c.of * worse / (c.of*worse + c.oldOf)
	t.Evidence += c.bad*math.Log(bad/part) + c.oldBad*math.Log((1-bad)/(1-part))
}

func (t *Test) bursts() float64 { return max(1, t.Spread/float64(max(1, t.Windows))) }

// weight is the evidence, less what bursts make of it, and what is not known of
// what the cohort is used to: that was counted in so many events of its past, and
// the error of it stays however many come now.
func (t *Test) weight() float64 {
	w := t.Evidence / t.bursts()
	if t.Past > 0 && t.OldOf > 0 {
		w /= 1 + t.OldBad/t.OldOf*t.Of/t.Past
	}
	return w
}

// reach is how far below zero the evidence can be expected to come, at most, for
// a cohort that is no worse: what is known of its past bounds it.
func (t *Test) reach(worse float64) float64 {
	if t.Past == 0 {
		return math.Inf(1)
	}
	return t.Past * (worse - 1 - math.Log(worse)) / t.bursts()
}

// enough is how many events of its past a cohort needs so that, when it is no
// worse, its evidence falls to Missed but for the chance mistaken, although both
// its past and as much of its present again as there is patience for are drawn:
// the n that solves n*rho - z*sqrt(n*4/3)*log(Worse) = -log(Missed).
func (l Limits) enough(mistaken float64) float64 {
	gain := math.Log(l.Worse)
	rho := l.Worse - 1 - gain
	z := math.Sqrt2 * math.Erfinv(1-2*mistaken) * math.Sqrt(4./3)
	root := (z*gain + math.Sqrt(z*z*gain*gain-4*rho*math.Log(l.Missed))) / (2 * rho)
	return root * root
}

// sigmas is how sure a bound on a rare event is.
const sigmas = 4

// rare tells whether the cohort's rate is surely within least.
func (t *Test) rare(least float64) bool {
	return t.Of > 0 && (t.Bad+sigmas*math.Sqrt(t.Bad*t.bursts())+sigmas)/t.Of <= least
}

// spread is the variance of the events of single servers over their mean, given
// their requests: 1 where each event comes alone.
func spread(samples []Sample, of func(Sample) uint64, used func(Sample) float64) float64 {
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
type metric struct {
	name string
	of   func(Sample) uint64
}

// metrics gives the events; slow are answers of slowAt of Bounds or longer.
func metrics(slowAt int) []metric {
	return []metric{
		{"late", func(s Sample) uint64 { return s.Late }},
		{"refused", func(s Sample) uint64 { return s.Refused }},
		{"failed", func(s Sample) uint64 { return s.Failed }},
		{"slow", func(s Sample) uint64 { return s.Slower[slowAt] }},
	}
}

// Used is what a server was like while it was watched: events by metric.
type Used struct {
	Requests float64              `json:"requests"`
	Late     float64              `json:"late"`
	Refused  float64              `json:"refused"`
	Failed   float64              `json:"failed"`
	Slower   [len(Bounds)]float64 `json:"slower"`
}

func (u *Used) add(s Sample) {
	u.Requests += float64(s.Requests)
	u.Late, u.Refused, u.Failed = u.Late+float64(s.Late), u.Refused+float64(s.Refused), u.Failed+float64(s.Failed)
	for i, n := range s.Slower {
		u.Slower[i] += float64(n)
	}
}

func (u *Used) of(name string, slowAt int) float64 {
	return map[string]float64{"late": u.Late, "refused": u.Refused, "failed": u.Failed, "slow": u.Slower[slowAt]}[name]
}

// prior is how many events of the whole fleet's rate each server is credited
// with: one that had few is taken to be like the others.
const prior = 20

// usual gives how much more often than the fleet a server has an event, by its
// own past.
func usual(used map[string]Used, name string, slowAt int) func(Sample) float64 {
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
		return float64(s.Requests) * (u.of(name, slowAt) + prior) / (u.Requests*rate + prior)
	}
}

func sumOf(samples []Sample, of func(Sample) float64) (n float64) {
	for _, s := range samples {
		n += of(s)
	}
	return n
}

func sum(samples []Sample, of func(Sample) uint64) (n float64) {
	for _, s := range samples {
		n += float64(of(s))
	}
	return n
}

// tests are the names of all tests, in order: those of metrics, and failures of
// the old servers against their own before the stage (a change that is fine
// alone may write what the old version can't read).
func tests() []string { return []string{"failed", "late", "old-failed", "refused", "slow"} }
