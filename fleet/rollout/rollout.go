package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Phase is what a rollout is about.
type Phase string

// The phases.
const (
	Watching  Phase = "watching"  // the servers are watched as they are
	Replacing Phase = "replacing" // the stage's servers are drained and started anew
	Baking    Phase = "baking"    // the stage is compared with the old servers
	Done      Phase = "done"      // all servers have the change
	Back      Phase = "back"      // halted: all servers go back to the old version
	Halted    Phase = "halted"    // all are back
)

// Verdict is what a window led to.
type Verdict string

// The verdicts.
const (
	Wait Verdict = "wait"
	GoOn Verdict = "go on"
	Halt Verdict = "halt"
)

// State is how far a rollout is; it is kept under the fleet's log, and a new
// owner goes on from it. The zero State is a plan's beginning.
type State struct {
	Phase    Phase           `json:"phase"`
	Stage    int             `json:"stage"`
	Window   int             `json:"window"`   // the last that was taken in
	Waited   int             `json:"waited"`   // windows in this phase
	Requests uint64          `json:"requests"` // that the cohort answered in this stage
	Crashes  uint64          `json:"crashes"`  // of the cohort in this stage
	Tests    map[string]Test `json:"tests,omitempty"`
	Used     map[string]Used `json:"used,omitempty"`   // what each server was like before
	SlowAt   int             `json:"slow_at"`          // place in Bounds of the 99th percentile then
	Reason   string          `json:"reason,omitempty"` // why it was halted
}

// Decision is what became of a window.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// Missing names the servers that a phase waits for: those of the wrong
	// version, or without word.
	Missing []string `json:"missing,omitempty"`
}

// Desired gives the version that each server is to run: who starts programs
// brings the fleet there, in any order, and again until it is so.
func (p *Plan) Desired(s State) map[string]string {
	out := make(map[string]string, len(p.Servers))
	n := 0
	switch s.Phase {
	case Done:
		n = len(p.Servers)
	case Replacing, Baking:
		n = p.upTo(s.Stage)
	}
	for i, server := range p.order() {
		if out[server.Name] = p.From; i < n {
			out[server.Name] = p.To
		}
	}
	return out
}

// Step takes in one window's samples and gives the state after it. A window
// that was taken in before changes nothing, so that a new owner may play it
// again.
func (p *Plan) Step(s State, window int, samples []Sample) (State, Decision) {
	if s.Phase == "" {
		s.Phase = Watching
	} else if window <= s.Window {
		return s, Decision{Verdict: Wait, Reason: "seen before"}
	}
	s.Window = window
	if s.Phase == Done || s.Phase == Halted {
		return s, Decision{Verdict: Wait, Reason: string(s.Phase)}
	}
	s.Waited++
	if s.Tests = maps.Clone(s.Tests); s.Tests == nil {
		s.Tests = map[string]Test{}
	}
	at := map[string]Sample{}
	for _, x := range samples {
		at[x.Server] = x
	}
	desired := p.Desired(s)
	var cohort, old []Sample
	var missing, wrong []string
	turnedDown := ""
	for _, server := range p.Servers {
		x, told := at[server.Name]
		if !told {
			if desired[server.Name] == p.To || s.Phase == Back {
				missing = append(missing, server.Name)
			}
			continue
		}
		switch {
		case x.Version != desired[server.Name]:
			wrong = append(wrong, server.Name)
			if x.TurnedDown == desired[server.Name] {
				turnedDown = fmt.Sprintf("%s turned %s down: %s", x.Server, x.TurnedDown, x.Reason)
			}
		case x.Version == p.To:
			cohort = append(cohort, x)
		default:
			old = append(old, x)
		}
	}
	slices.Sort(wrong)
	slices.Sort(missing)
	waitFor := slices.Concat(wrong, missing)
	switch s.Phase {
	case Back:
		if len(waitFor) > 0 { // also for one whose way back fails: it is named until it is mended
			return s, Decision{Wait, "servers are not back yet: " + s.Reason, waitFor}
		}
		s.Phase = Halted
		return s, Decision{Verdict: Halt, Reason: s.Reason}
	case Watching:
		return p.watching(s, old)
	}
	if turnedDown != "" {
		return s.halt(fmt.Sprintf("stage %d: %s", s.Stage, turnedDown))
	}
	if s.Phase == Replacing {
		return p.replacing(s, waitFor, cohort)
	}
	return p.baking(s, waitFor, cohort, old)
}

// watching takes in what the servers are like before anything changes.
func (p *Plan) watching(s State, old []Sample) (State, Decision) {
	if 2*len(old) < len(p.Servers) {
		s.Waited--
		return s, Decision{Verdict: Wait, Reason: "too few servers report to watch them"}
	}
	if s.Used = maps.Clone(s.Used); s.Used == nil {
		s.Used = map[string]Used{}
	}
	for _, x := range old {
		u := s.Used[x.Server]
		u.add(x)
		s.Used[x.Server] = u
	}
	var all Used
	for _, u := range s.Used {
		all.Requests += u.Requests
		for i, n := range u.Slower {
			all.Slower[i] += n
		}
	}
	for s.SlowAt = 0; s.SlowAt < len(Bounds)-1 && all.Slower[s.SlowAt] > all.Requests/100; s.SlowAt++ {
	}
	for _, m := range metrics(s.SlowAt) {
		t := s.Tests[m.name]
		t.Spread += spread(old, m.of, usual(s.Used, m.name, s.SlowAt))
		t.Windows++
		s.Tests[m.name] = t
	}
	if s.Waited < p.Watch {
		return s, Decision{Verdict: Wait, Reason: "watching"}
	}
	reason := "the servers were watched"
	if name := p.unknown(s, all); name != "" {
		if s.Waited < p.WatchMost {
			return s, Decision{Verdict: Wait, Reason: "watching: too little is known of " + name}
		}
		reason += ", and little is known of " + name
	}
	s.Phase, s.Waited, s.Tests = Replacing, 0, nil
	return s, Decision{Verdict: GoOn, Reason: reason}
}

// unknown names an event of which too little is known, where it is not too rare
// to be minded, to tell a stage that is no worse from one that is; "" for none.
func (p *Plan) unknown(s State, all Used) string {
	enough := p.Limits.enough(p.mistaken())
	for _, m := range metrics(s.SlowAt) {
		if all.of(m.name, s.SlowAt)*p.Limits.Worse <= p.Limits.Least*all.Requests {
			continue
		}
		events := 0.0
		for _, server := range p.bearing() {
			u := s.Used[server.Name]
			events += u.of(m.name, s.SlowAt)
		}
		t := s.Tests[m.name]
		if events < enough*t.bursts() {
			return m.name
		}
	}
	return ""
}

// replacing waits until the stage's servers have the change, and says so.
func (p *Plan) replacing(s State, waitFor []string, cohort []Sample) (State, Decision) {
	if crashes := sum(cohort, func(x Sample) uint64 { return x.Crashes }); crashes > 0 {
		if s.Crashes += uint64(crashes); s.Crashes >= mostCrashes {
			return s.halt(fmt.Sprintf("stage %d: %d crashes while it was started", s.Stage, s.Crashes))
		}
	}
	if len(waitFor) > 0 {
		if s.Waited >= p.Stages[s.Stage].Patience {
			return s.halt(fmt.Sprintf("stage %d: %d servers did not come to run %s", s.Stage, len(waitFor), p.To))
		}
		return s, Decision{Wait, "servers are not replaced yet", waitFor}
	}
	s.Phase, s.Waited = Baking, 0
	return s, Decision{Verdict: Wait, Reason: "baking"}
}

// mostCrashes of a cohort in one stage are too many, whatever they come of.
const mostCrashes = 2

// baking compares the cohort with the old servers.
func (p *Plan) baking(s State, waitFor []string, cohort, old []Sample) (State, Decision) {
	stage := p.Stages[s.Stage]
	for _, x := range cohort {
		s.Crashes += x.Crashes
	}
	if s.Crashes >= mostCrashes {
		return s.halt(fmt.Sprintf("stage %d: %d crashes", s.Stage, s.Crashes))
	}
	if s.Waited <= p.Warm {
		return s, Decision{Verdict: Wait, Reason: "the stage's servers warm up"}
	}
	for _, x := range cohort {
		s.Requests += x.Requests
	}
	last := p.upTo(s.Stage) == len(p.Servers)
	for _, m := range metrics(s.SlowAt) {
		used := usual(s.Used, m.name, s.SlowAt)
		t := s.Tests[m.name]
		t.add(counts{sum(cohort, m.of), sumOf(cohort, used), sum(old, m.of), sumOf(old, used)}, p.Limits.Worse, spread(old, m.of, used))
		t.Past = prior
		for _, x := range cohort {
			u := s.Used[x.Server]
			t.Past += u.of(m.name, s.SlowAt)
		}
		s.Tests[m.name] = t
	}
	p.mixed(&s, old)

	worse := math.Log((1 - p.Limits.Missed) / p.mistaken())
	fine := math.Log(p.Limits.Missed / (1 - p.mistaken()))
	// A small cohort can't show as much as Missed asks of every rare event. It
	// shows half of what it can, and a larger one the rest. Before a stage that is
	// small itself it is enough that no test leans to worse, and in the end, that
	// none says so.
	open, small := "", p.small(s.Stage)
	for _, name := range tests() {
		t := s.Tests[name]
		if w := t.weight(); w >= worse {
			return s.halt(fmt.Sprintf("stage %d: %s is worse (evidence %.1f of %.1f, %d windows)", s.Stage, name, w, worse, t.Windows))
		} else if name != mixedTest && !t.rare(p.Limits.Least) && open == "" {
			if small && w > 0 || !small && w > max(fine, -t.reach(p.Limits.Worse)/2) {
				open = name
			}
		}
	}
	switch {
	case len(waitFor) > 0 && s.Waited < stage.Patience: // one that crashed comes back as it was first
		return s, Decision{Wait, "servers of the stage say nothing, or run another version", waitFor}
	case len(waitFor) > 0:
		return s.halt(fmt.Sprintf("stage %d: no word, or another version, from %v", s.Stage, waitFor))
	case last && s.Waited >= p.Warm+stage.Bake:
		s.Phase = Done
		return s, Decision{Verdict: GoOn, Reason: "all servers have the change"}
	case !last && p.fewOld(s, old):
		if s.Waited >= stage.Patience {
			return s.halt(fmt.Sprintf("stage %d: too few old servers report to compare with", s.Stage))
		}
		return s, Decision{Verdict: Wait, Reason: "too few old servers report to compare with"}
	case s.Waited < p.Warm+stage.Bake || s.Requests < stage.Sample || open != "":
		if s.Waited >= stage.Patience && small && s.Requests >= stage.Sample {
			break
		} else if s.Waited >= stage.Patience {
			return s.halt(fmt.Sprintf("stage %d: not shown to be no worse after %d windows: %d requests, open: %s", s.Stage, s.Waited, s.Requests, open))
		}
		return s, Decision{Verdict: Wait, Reason: "baking"}
	}
	s = State{Phase: Replacing, Stage: s.Stage + 1, Window: s.Window, Used: s.Used, SlowAt: s.SlowAt}
	return s, Decision{Verdict: GoOn, Reason: fmt.Sprintf("stage %d did no worse", s.Stage-1)}
}

// mixedTest is that of the old servers against their own past.
const mixedTest = "old-failed"

// mixed compares the old servers' failures with their own before anything
// changed: a change that is fine alone may write what the old version can't read.
func (p *Plan) mixed(s *State, old []Sample) {
	failed := func(x Sample) uint64 { return x.Failed }
	requests := func(x Sample) float64 { return float64(x.Requests) }
	var past, of float64
	for _, u := range s.Used {
		past, of = past+u.Failed, of+u.Requests
	}
	if of == 0 {
		return
	}
	now := sumOf(old, requests)
	// Their past counts for as much as the window, with the least that is minded.
	t := s.Tests[mixedTest]
	t.add(counts{sum(old, failed), now, (past/of + p.Limits.Least) * now, now}, oldWorse, spread(old, failed, requests))
	s.Tests[mixedTest] = t
}

// oldWorse is how much more the old servers may fail than before a stage: more
// than Limits.Worse, as the hours differ.
const oldWorse = 2

// fewOld tells whether fewer than half of the old servers report.
func (p *Plan) fewOld(s State, old []Sample) bool {
	return 2*len(old) < len(p.Servers)-p.upTo(s.Stage)
}

// mistaken is the chance of a mistaken halt for one test of one stage.
func (p *Plan) mistaken() float64 {
	return p.Limits.Mistaken / float64(len(tests())*len(p.Stages))
}

// halt has all servers go back.
func (s State) halt(reason string) (State, Decision) {
	s.Phase, s.Waited, s.Reason = Back, 0, reason
	return s, Decision{Verdict: Halt, Reason: reason}
}

// Stop halts a rollout by an operator's word; one that has ended stays as it is.
func (p *Plan) Stop(s State, reason string) State {
	if s.Phase == Done || s.Phase == Back || s.Phase == Halted {
		return s
	}
	s, _ = s.halt(reason)
	return s
}
