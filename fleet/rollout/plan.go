// Package rollout decides how a change of the program, or of its settings, goes
// out in stages: which servers get it next, whether a stage does worse than the
// servers that it is compared with, and when all goes back. It does no I/O and
// reads no clock; its State is a plain record that a new owner of the fleet's
// lease goes on from.
//
// Each stage's cohort is compared with the servers that keep the old version,
// over the same windows of time, by sequential tests (see test.go). What is not
// reported is never taken for good: a stage waits for it, and in the end goes
// back.
package rollout

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// Server is one that a plan covers.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Stage is a part of the fleet that gets the change, and what it must show
// before the next one does.
type Stage struct {
	Share       float64 `json:"share"`    // of all servers that have the change by the end of it; at least one does
	BakeWindows int     `json:"bake"`     // windows that it serves at least
	MinRequests uint64  `json:"sample"`   // requests that the cohort answers at least
	MaxWindows  int     `json:"patience"` // windows after which it goes back if it has not shown enough
}

// Plan is a change and how it goes out.
type Plan struct {
	ID      string   `json:"id"`   // draws the order of the servers too
	Kind    Kind     `json:"kind"` // what changes
	From    string   `json:"from"`
	To      string   `json:"to"`
	Servers []Server `json:"servers"`
	Stages  []Stage  `json:"stages"` // shares that grow, the last of them 1
	// MinWatchWindows is how many windows the servers are watched before the first stage, at
	// least: each is compared with what it was itself, as machines differ. They are
	// watched on until what is known of them bears the comparison, up to WatchMost.
	MinWatchWindows int `json:"watch"`
	MaxWatchWindows int `json:"watch_most"`
	// WarmUpWindows is how many windows a stage's servers are not judged after they were
	// replaced, but by their crashes: they are cold.
	WarmUpWindows int    `json:"warm"`
	Limits        Limits `json:"limits"`
}

// Limits are what the tests are made of.
type Limits struct {
	// WorseRatio is the ratio of rates that a stage must not have: 1.2 is a fifth
	// more late answers than the old servers.
	WorseRatio float64 `json:"worse"`
	// FalseHaltProbability is the chance, over a whole plan, that a change which does no
	// worse is halted, and Missed that one which is worse by Worse passes a test.
	FalseHaltProbability float64 `json:"mistaken"`
	MissProbability      float64 `json:"missed"`
	// UnprovenShare is the share of the servers that may run a change which has not been
	// shown to be no worse: a stage after which there are no more need not show it.
	UnprovenShare float64 `json:"small"`
	// NegligibleRate is a share of the requests that no test minds: what is rarer is too
	// rare to be compared.
	NegligibleRate float64 `json:"least"`
}

// DefaultStages are one server, then 5%, 25%, 50% and all.
func DefaultStages() []Stage {
	return []Stage{{0, 20, 2000, 900}, {0.05, 20, 10000, 900}, {0.25, 10, 50000, 300}, {0.5, 10, 100000, 300}, {1, 1, 0, 120}}
}

// DefaultLimits hold a change to a fifth worse, with one in a hundred halted by
// mistake.
func DefaultLimits() Limits {
	return Limits{WorseRatio: 1.2, FalseHaltProbability: 0.01, MissProbability: 0.001, UnprovenShare: 0.05, NegligibleRate: 0.004}
}

// Validate gives an error that names what makes no sense.
func (p *Plan) Validate() error {
	l := p.Limits
	switch {
	case p.ID == "" || p.From == "" || p.To == "" || p.From == p.To:
		return fmt.Errorf("rollout: id %q, from %q, to %q: three names wanted, and two versions", p.ID, p.From, p.To)
	case p.Kind != Program && p.Kind != Settings:
		return fmt.Errorf("rollout: kind %q, %s or %s wanted", p.Kind, Program, Settings)
	case len(p.Servers) < 2:
		return fmt.Errorf("rollout: %d servers, 2 at least wanted, to compare", len(p.Servers))
	case len(p.Stages) == 0 || p.Stages[len(p.Stages)-1].Share != 1:
		return fmt.Errorf("rollout: the last stage must have the share 1")
	case !(l.WorseRatio > 1 && l.WorseRatio <= 10) || !(l.FalseHaltProbability > 0 && l.FalseHaltProbability < 0.5) || !(l.MissProbability > 0 && l.MissProbability < 0.5) || !(l.NegligibleRate >= 0 && l.NegligibleRate < 1) ||
		!(l.UnprovenShare >= 0 && l.UnprovenShare <= 1) || p.MinWatchWindows < 1 || p.MaxWatchWindows < p.MinWatchWindows || p.WarmUpWindows < 0:
		return fmt.Errorf("rollout: limits %+v, watch %d to %d or warm %d make no sense", l, p.MinWatchWindows, p.MaxWatchWindows, p.WarmUpWindows)
	}
	names := map[string]bool{}
	for _, s := range p.Servers {
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("rollout: server %q is named twice or not at all", s.Name)
		}
		names[s.Name] = true
	}
	for i, s := range p.Stages {
		if s.Share < 0 || s.Share > 1 || i > 0 && s.Share <= p.Stages[i-1].Share || s.BakeWindows < 1 || s.MaxWindows < p.WarmUpWindows+s.BakeWindows {
			return fmt.Errorf("rollout: stage %d: %+v: a share that grows, a bake, and patience for it and for %d windows to warm up wanted", i, s, p.WarmUpWindows)
		}
	}
	return nil
}

// order is the servers in the order in which they get the change: from one zone
// after the other, so that each stage is spread over all, drawn by the plan's ID.
func (p *Plan) serverOrder() []Server {
	rank := func(text string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(p.ID + " " + text))
		return h.Sum64()
	}
	out := slices.Clone(p.Servers)
	slices.SortFunc(out, func(a, b Server) int {
		return cmp.Or(cmp.Compare(rank(a.Name), rank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	turn, seen := map[string]int{}, map[string]int{}
	for _, s := range out {
		turn[s.Name] = seen[s.Zone]
		seen[s.Zone]++
	}
	slices.SortStableFunc(out, func(a, b Server) int {
		return cmp.Or(cmp.Compare(turn[a.Name], turn[b.Name]), cmp.Compare(rank(a.Zone), rank(b.Zone)))
	})
	return out
}

// firstTestedServers gives the servers of the first stage that has to show that it is no
// worse: what is known of them has to bear that.
func (p *Plan) firstTestedServers() []Server {
	stage := 0
	for p.nextStageIsSmall(stage) {
		stage++
	}
	return p.serverOrder()[:p.cohortSize(stage)]
}

// small tells whether the stage after one is still so small that nothing need be
// shown before it.
func (p *Plan) nextStageIsSmall(stage int) bool {
	return stage+1 < len(p.Stages) && float64(p.cohortSize(stage+1)) <= p.Limits.UnprovenShare*float64(len(p.Servers))
}

// cohortSize is how many servers have the change by the end of a stage.
func (p *Plan) cohortSize(stage int) int {
	return min(len(p.Servers), max(1, int(p.Stages[stage].Share*float64(len(p.Servers)))))
}
