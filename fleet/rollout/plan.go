package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Server is a server that a plan changes, and the zone that it runs in.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Stage is the share of the fleet that has the change, and the evidence that is
// required before the next stage begins.
type Stage struct {
	Share       float64 `json:"share"`    // fraction of all servers that have the change at the end of the stage; at least one server
	BakeWindows int     `json:"bake"`     // minimum number of windows in which the cohort is compared with the baseline
	MinRequests uint64  `json:"sample"`   // minimum number of requests that the cohort answers
	MaxWindows  int     `json:"patience"` // windows in a phase after which the rollout rolls back without sufficient evidence
}

// Plan describes a change, the servers that get it, and the stages of its rollout.
type Plan struct {
	ID      string   `json:"id"` // also the seed for the order of the servers
	Kind    Kind     `json:"kind"`
	From    string   `json:"from"` // old version
	To      string   `json:"to"`   // new version
	Servers []Server `json:"servers"`
	Stages  []Stage  `json:"stages"` // with increasing shares; the last share is 1
	// MinWatchWindows is the minimum number of windows for which the servers are
	// watched before the first stage, because machines differ and the comparison uses
	// each server's own history. Watching continues until the histories suffice for the
	// comparison, for at most MaxWatchWindows.
	MinWatchWindows int `json:"watch"`
	MaxWatchWindows int `json:"watch_most"`
	// WarmUpWindows is the number of windows after the replacement of a stage's servers
	// in which only their crashes count.
	WarmUpWindows int    `json:"warm"`
	Limits        Limits `json:"limits"`
}

// Limits are the parameters of the sequential tests.
type Limits struct {
	// WorseRatio is the ratio of event rates that a test detects: 1.2 means 20% more
	// late answers than in the baseline.
	WorseRatio float64 `json:"worse"`
	// FalseHaltProbability is the probability, over a complete plan, of halting a
	// change that is no worse. MissProbability is the probability that a change that
	// is worse by WorseRatio passes a test.
	FalseHaltProbability float64 `json:"mistaken"`
	MissProbability      float64 `json:"missed"`
	// UnprovenShare is the maximum share of the servers that may run a change that has
	// not been shown to be no worse.
	UnprovenShare float64 `json:"small"`
	// NegligibleRate is the rate, as a fraction of the requests, below which an event
	// is too rare to be compared.
	NegligibleRate float64 `json:"least"`
}

// DefaultStages returns stages of one server, and of 5%, 25%, 50% and 100% of the
// servers.
func DefaultStages() []Stage {
	return []Stage{
		{Share: 0, BakeWindows: 20, MinRequests: 2000, MaxWindows: 900},
		{Share: 0.05, BakeWindows: 20, MinRequests: 10000, MaxWindows: 900},
		{Share: 0.25, BakeWindows: 10, MinRequests: 50000, MaxWindows: 300},
		{Share: 0.5, BakeWindows: 10, MinRequests: 100000, MaxWindows: 300},
		{Share: 1, BakeWindows: 1, MinRequests: 0, MaxWindows: 120},
	}
}

// DefaultLimits returns limits that detect a change with 20% higher event rates, and
// halt 1% of the changes that are no worse.
func DefaultLimits() Limits {
	return Limits{WorseRatio: 1.2, FalseHaltProbability: 0.01, MissProbability: 0.001, UnprovenShare: 0.05, NegligibleRate: 0.004}
}

// Validate returns a *PlanError if the plan is invalid.
func (p *Plan) Validate() error {
	for _, problem := range []func() string{p.nameProblem, p.rangeProblem, p.serverProblem, p.stageProblem} {
		if text := problem(); text != "" {
			return &PlanError{PlanID: p.ID, Problem: text}
		}
	}
	return nil
}

// nameProblem describes an invalid ID, kind or version of the plan, "" for none.
func (p *Plan) nameProblem() string {
	switch {
	case p.ID == "" || p.From == "" || p.To == "" || p.From == p.To:
		return fmt.Sprintf("id, from and to must be set, and from (%q) must differ from to (%q)", p.From, p.To)
	case p.Kind != Program && p.Kind != Settings:
		return fmt.Sprintf("kind is %q, want %s or %s", p.Kind, Program, Settings)
	}
	return ""
}

// rangeProblem describes a count or limit that is out of range, "" for none.
func (p *Plan) rangeProblem() string {
	switch {
	case len(p.Servers) < 2:
		return fmt.Sprintf("servers has %d entries, want at least 2 for a comparison", len(p.Servers))
	case len(p.Stages) == 0 || p.Stages[len(p.Stages)-1].Share != 1:
		return "the last of the stages must have share 1"
	case !p.Limits.inRange():
		l := p.Limits
		return fmt.Sprintf("a limit is out of range: worse %g, mistaken %g, missed %g, small %g, least %g",
			l.WorseRatio, l.FalseHaltProbability, l.MissProbability, l.UnprovenShare, l.NegligibleRate)
	case p.MinWatchWindows < 1 || p.MaxWatchWindows < p.MinWatchWindows || p.WarmUpWindows < 0:
		return fmt.Sprintf("a number of windows is out of range: watch %d, watch_most %d, warm %d",
			p.MinWatchWindows, p.MaxWatchWindows, p.WarmUpWindows)
	}
	return ""
}

// inRange reports whether all limits are within their ranges.
func (l Limits) inRange() bool {
	return l.WorseRatio > 1 && l.WorseRatio <= 10 &&
		l.FalseHaltProbability > 0 && l.FalseHaltProbability < 0.5 &&
		l.MissProbability > 0 && l.MissProbability < 0.5 &&
		l.NegligibleRate >= 0 && l.NegligibleRate < 1 &&
		l.UnprovenShare >= 0 && l.UnprovenShare <= 1
}

// serverProblem describes an empty or repeated server name, "" for none.
func (p *Plan) serverProblem() string {
	names := map[string]bool{}
	for _, s := range p.Servers {
		if s.Name == "" || names[s.Name] {
			return fmt.Sprintf("server name %q is empty or not unique", s.Name)
		}
		names[s.Name] = true
	}
	return ""
}

// stageProblem describes an invalid stage, "" for none.
func (p *Plan) stageProblem() string {
	for i, s := range p.Stages {
		if s.Share < 0 || s.Share > 1 || i > 0 && s.Share <= p.Stages[i-1].Share {
			return fmt.Sprintf("stage %d: share is %g, want shares that increase from 0 to 1", i, s.Share)
		}
		if s.BakeWindows < 1 || s.MaxWindows < p.WarmUpWindows+s.BakeWindows {
			return fmt.Sprintf("stage %d: bake (%d) must be at least 1, and patience (%d) at least the sum of bake and warm (%d)",
				i, s.BakeWindows, s.MaxWindows, p.WarmUpWindows)
		}
	}
	return ""
}

// serverOrder returns the servers in the order in which they get the change. It takes
// them from the zones in rotation, so that each stage is spread over all zones. The
// plan's ID is the seed for the order.
func (p *Plan) serverOrder() []Server {
	rank := func(text string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.ID + " " + text)) // a hash.Hash returns no error
		return h.Sum64()
	}
	ordered := slices.Clone(p.Servers)
	slices.SortFunc(ordered, func(a, b Server) int {
		return cmp.Or(cmp.Compare(rank(a.Name), rank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	round, perZone := map[string]int{}, map[string]int{}
	for _, s := range ordered {
		round[s.Name] = perZone[s.Zone]
		perZone[s.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b Server) int {
		return cmp.Or(cmp.Compare(round[a.Name], round[b.Name]), cmp.Compare(rank(a.Zone), rank(b.Zone)))
	})
	return ordered
}

// firstTestedServers returns the cohort of the first stage that must be shown to be no
// worse. The histories of these servers must suffice for the test.
func (p *Plan) firstTestedServers() []Server {
	stage := 0
	for p.nextStageIsSmall(stage) {
		stage++
	}
	return p.serverOrder()[:p.cohortSize(stage)]
}

// nextStageIsSmall reports whether the stage after the given one is within
// Limits.UnprovenShare, so that it may begin without a proof that the change is no worse.
func (p *Plan) nextStageIsSmall(stage int) bool {
	return stage+1 < len(p.Stages) && float64(p.cohortSize(stage+1)) <= p.Limits.UnprovenShare*float64(len(p.Servers))
}

// cohortSize returns the number of servers that have the change at the end of a stage.
func (p *Plan) cohortSize(stage int) int {
	return min(len(p.Servers), max(1, int(p.Stages[stage].Share*float64(len(p.Servers)))))
}

// falseHaltProbabilityPerTest returns the probability that one test of one stage halts
// a change that is no worse.
func (p *Plan) falseHaltProbabilityPerTest() float64 {
	return p.Limits.FalseHaltProbability / float64(len(testNames())*len(p.Stages))
}
