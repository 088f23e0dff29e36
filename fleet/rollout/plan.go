package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Server is a server that a plan covers.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Stage is a part of the fleet that gets the change, and what it must show
// before the next stage begins.
type Stage struct {
	Share       float64 `json:"share"`    // of all servers that have the change by the end of the stage; at least one server
	BakeWindows int     `json:"bake"`     // least number of windows to compare
	MinRequests uint64  `json:"sample"`   // least number of requests that the cohort answers
	MaxWindows  int     `json:"patience"` // windows in a phase after which the stage rolls back if it has not shown enough
}

// Plan is a change and how it goes out.
type Plan struct {
	ID      string   `json:"id"` // also the seed of the order of the servers
	Kind    Kind     `json:"kind"`
	From    string   `json:"from"` // old version
	To      string   `json:"to"`   // new version
	Servers []Server `json:"servers"`
	Stages  []Stage  `json:"stages"` // with growing shares, the last of them 1
	// MinWatchWindows is how many windows the servers are watched, at least, before
	// the first stage: each is compared with its own history, as machines differ.
	// They are watched on until their histories suffice for the comparison, for
	// MaxWatchWindows at most.
	MinWatchWindows int `json:"watch"`
	MaxWatchWindows int `json:"watch_most"`
	// WarmUpWindows is for how many windows after their replacement the servers of
	// a stage are judged by their crashes alone.
	WarmUpWindows int    `json:"warm"`
	Limits        Limits `json:"limits"`
}

// Limits are the parameters of the tests.
type Limits struct {
	// WorseRatio is the ratio of event rates that a test detects: 1.2 is a fifth
	// more late answers than the baseline has.
	WorseRatio float64 `json:"worse"`
	// FalseHaltProbability is the probability, over a whole plan, that a change
	// which does no worse is halted. MissProbability is that of a change which is
	// worse by WorseRatio passing a test.
	FalseHaltProbability float64 `json:"mistaken"`
	MissProbability      float64 `json:"missed"`
	// UnprovenShare is the share of the servers that may run a change which has
	// not been shown to be no worse.
	UnprovenShare float64 `json:"small"`
	// NegligibleRate is the share of the requests below which an event is too
	// rare to be compared.
	NegligibleRate float64 `json:"least"`
}

// DefaultStages returns stages of one server, 5%, 25%, 50% and all servers.
func DefaultStages() []Stage {
	return []Stage{
		{Share: 0, BakeWindows: 20, MinRequests: 2000, MaxWindows: 900},
		{Share: 0.05, BakeWindows: 20, MinRequests: 10000, MaxWindows: 900},
		{Share: 0.25, BakeWindows: 10, MinRequests: 50000, MaxWindows: 300},
		{Share: 0.5, BakeWindows: 10, MinRequests: 100000, MaxWindows: 300},
		{Share: 1, BakeWindows: 1, MinRequests: 0, MaxWindows: 120},
	}
}

// DefaultLimits returns limits that detect a change which is a fifth worse, and
// halt one good change in a hundred.
func DefaultLimits() Limits {
	return Limits{WorseRatio: 1.2, FalseHaltProbability: 0.01, MissProbability: 0.001, UnprovenShare: 0.05, NegligibleRate: 0.004}
}

// Validate returns a *PlanError where the plan is not valid.
func (p *Plan) Validate() error {
	for _, problem := range []func() string{p.nameProblem, p.rangeProblem, p.serverProblem, p.stageProblem} {
		if text := problem(); text != "" {
			return &PlanError{PlanID: p.ID, Problem: text}
		}
	}
	return nil
}

// nameProblem describes what is wrong with the plan's names and kind, "" for nothing.
func (p *Plan) nameProblem() string {
	switch {
	case p.ID == "" || p.From == "" || p.To == "" || p.From == p.To:
		return fmt.Sprintf("id, from and to must be set, and from (%q) must differ from to (%q)", p.From, p.To)
	case p.Kind != Program && p.Kind != Settings:
		return fmt.Sprintf("the kind must be %s or %s, not %q", Program, Settings, p.Kind)
	}
	return ""
}

// rangeProblem describes which count or limit is out of range, "" for none.
func (p *Plan) rangeProblem() string {
	switch {
	case len(p.Servers) < 2:
		return fmt.Sprintf("a comparison needs at least 2 servers, not %d", len(p.Servers))
	case len(p.Stages) == 0 || p.Stages[len(p.Stages)-1].Share != 1:
		return "the last stage must have the share 1"
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

// inRange reports whether each limit is within its range.
func (l Limits) inRange() bool {
	return l.WorseRatio > 1 && l.WorseRatio <= 10 &&
		l.FalseHaltProbability > 0 && l.FalseHaltProbability < 0.5 &&
		l.MissProbability > 0 && l.MissProbability < 0.5 &&
		l.NegligibleRate >= 0 && l.NegligibleRate < 1 &&
		l.UnprovenShare >= 0 && l.UnprovenShare <= 1
}

// serverProblem describes which server's name is not valid, "" for none.
func (p *Plan) serverProblem() string {
	names := map[string]bool{}
	for _, s := range p.Servers {
		if s.Name == "" || names[s.Name] {
			return fmt.Sprintf("server %q is named twice or has no name", s.Name)
		}
		names[s.Name] = true
	}
	return ""
}

// stageProblem describes which stage is not valid, "" for none.
func (p *Plan) stageProblem() string {
	for i, s := range p.Stages {
		if s.Share < 0 || s.Share > 1 || i > 0 && s.Share <= p.Stages[i-1].Share {
			return fmt.Sprintf("stage %d: the shares must grow from 0 to 1, this one is %g", i, s.Share)
		}
		if s.BakeWindows < 1 || s.MaxWindows < p.WarmUpWindows+s.BakeWindows {
			return fmt.Sprintf("stage %d: bake (%d) must be at least 1, and patience (%d) at least bake and warm (%d) together",
				i, s.BakeWindows, s.MaxWindows, p.WarmUpWindows)
		}
	}
	return ""
}

// serverOrder returns the servers in the order in which they get the change. It
// takes them from one zone after the other, so that each stage is spread over
// all zones; the plan's ID is the seed of the order.
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

// firstTestedServers returns the cohort of the first stage that has to show that
// it is no worse. The histories of these servers must suffice for that.
func (p *Plan) firstTestedServers() []Server {
	stage := 0
	for p.nextStageIsSmall(stage) {
		stage++
	}
	return p.serverOrder()[:p.cohortSize(stage)]
}

// nextStageIsSmall reports whether the stage after the given one is within
// Limits.UnprovenShare, so that it may begin before anything was shown.
func (p *Plan) nextStageIsSmall(stage int) bool {
	return stage+1 < len(p.Stages) && float64(p.cohortSize(stage+1)) <= p.Limits.UnprovenShare*float64(len(p.Servers))
}

// cohortSize returns how many servers have the change by the end of a stage.
func (p *Plan) cohortSize(stage int) int {
	return min(len(p.Servers), max(1, int(p.Stages[stage].Share*float64(len(p.Servers)))))
}

// falseHaltProbabilityPerTest is the probability that one test of one stage
// halts a change which does no worse.
func (p *Plan) falseHaltProbabilityPerTest() float64 {
	return p.Limits.FalseHaltProbability / float64(len(testNames())*len(p.Stages))
}
