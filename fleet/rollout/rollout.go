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
	Watching    Phase = "watching"  // the servers are watched as they are
	Replacing   Phase = "replacing" // the stage's servers are drained and started anew
	Baking      Phase = "baking"    // the stage is compared with the old servers
	Done        Phase = "done"      // all servers have the change
	RollingBack Phase = "back"      // halted: all servers go back to the old version
	Halted      Phase = "halted"    // all are back
)

// Verdict is what a window led to.
type Verdict string

// The verdicts.
const (
	Wait    Verdict = "wait"
	Proceed Verdict = "go on"
	Halt    Verdict = "halt"
)

// State is how far a rollout is; it is kept under the fleet's log, and a new
// owner goes on from it. The zero State is a plan's beginning.
type State struct {
	Phase          Phase                     `json:"phase"`
	Stage          int                       `json:"stage"`
	Window         int                       `json:"window"`   // the last that was taken in
	WindowsInPhase int                       `json:"waited"`   // windows in this phase
	Requests       uint64                    `json:"requests"` // that the cohort answered in this stage
	Crashes        uint64                    `json:"crashes"`  // of the cohort in this stage
	Tests          map[string]SequentialTest `json:"tests,omitempty"`
	Histories      map[string]History        `json:"used,omitempty"`   // what each server was like before
	SlowBound      int                       `json:"slow_at"`          // place in Bounds of the 99th percentile then
	Reason         string                    `json:"reason,omitempty"` // why it was halted
}

// Decision is what became of a window.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// PendingServers names the servers that a phase waits for: those of the wrong
	// version, or without word.
	PendingServers []string `json:"missing,omitempty"`
}

// DesiredVersions gives the version that each server is to run: who starts programs
// brings the fleet there, in any order, and again until it is so.
func (p *Plan) DesiredVersions(s State) map[string]string {
	out := make(map[string]string, len(p.Servers))
	n := 0
	switch s.Phase {
	case Done:
		n = len(p.Servers)
	case Replacing, Baking:
		n = p.cohortSize(s.Stage)
	}
	for i, server := range p.serverOrder() {
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
	s.WindowsInPhase++
	if s.Tests = maps.Clone(s.Tests); s.Tests == nil {
		s.Tests = map[string]SequentialTest{}
	}
	at := map[string]Sample{}
	for _, x := range samples {
		at[x.Server] = x
	}
	desired := p.DesiredVersions(s)
	var cohort, old []Sample
	var missing, wrong []string
	turnedDown := ""
	for _, server := range p.Servers {
		x, told := at[server.Name]
		if !told {
			if desired[server.Name] == p.To || s.Phase == RollingBack {
				missing = append(missing, server.Name)
			}
			continue
		}
		switch {
		case x.Version != desired[server.Name]:
			wrong = append(wrong, server.Name)
			if x.RejectedVersion == desired[server.Name] {
				turnedDown = fmt.Sprintf("%s turned %s down: %s", x.Server, x.RejectedVersion, x.RejectionReason)
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
	case RollingBack:
		if len(waitFor) > 0 { // also for one whose way back fails: it is named until it is mended
			return s, Decision{Wait, "servers are not back yet: " + s.Reason, waitFor}
		}
		s.Phase = Halted
		return s, Decision{Verdict: Halt, Reason: s.Reason}
	case Watching:
		return p.stepWatching(s, old)
	}
	if turnedDown != "" {
		return s.rollBack(fmt.Sprintf("stage %d: %s", s.Stage, turnedDown))
	}
	if s.Phase == Replacing {
		return p.stepReplacing(s, waitFor, cohort)
	}
	return p.stepBaking(s, waitFor, cohort, old)
}

// watching takes in what the servers are like before anything changes.
func (p *Plan) stepWatching(s State, old []Sample) (State, Decision) {
	if 2*len(old) < len(p.Servers) {
		s.WindowsInPhase--
		return s, Decision{Verdict: Wait, Reason: "too few servers report to watch them"}
	}
	if s.Histories = maps.Clone(s.Histories); s.Histories == nil {
		s.Histories = map[string]History{}
	}
	for _, x := range old {
		u := s.Histories[x.Server]
		u.add(x)
		s.Histories[x.Server] = u
	}
	var all History
	for _, u := range s.Histories {
		all.Requests += u.Requests
		for i, n := range u.SlowerThan {
			all.SlowerThan[i] += n
		}
	}
	for s.SlowBound = 0; s.SlowBound < len(LatencyBounds)-1 && all.SlowerThan[s.SlowBound] > all.Requests/100; s.SlowBound++ {
	}
	for _, m := range comparedEvents(s.SlowBound) {
		t := s.Tests[m.name]
		t.DispersionSum += pearsonDispersion(old, m.of, weightByHistory(s.Histories, m.name, s.SlowBound))
		t.Windows++
		s.Tests[m.name] = t
	}
	if s.WindowsInPhase < p.MinWatchWindows {
		return s, Decision{Verdict: Wait, Reason: "watching"}
	}
	reason := "the servers were watched"
	if name := p.eventWithScarceHistory(s, all); name != "" {
		if s.WindowsInPhase < p.MaxWatchWindows {
			return s, Decision{Verdict: Wait, Reason: "watching: too little is known of " + name}
		}
		reason += ", and little is known of " + name
	}
	s.Phase, s.WindowsInPhase, s.Tests = Replacing, 0, nil
	return s, Decision{Verdict: Proceed, Reason: reason}
}

// unknown names an event of which too little is known, where it is not too rare
// to be minded, to tell a stage that is no worse from one that is; "" for none.
func (p *Plan) eventWithScarceHistory(s State, all History) string {
	enough := p.Limits.requiredEvents(p.falseHaltProbabilityPerTest())
	for _, m := range comparedEvents(s.SlowBound) {
		if all.of(m.name, s.SlowBound)*p.Limits.WorseRatio <= p.Limits.NegligibleRate*all.Requests {
			continue
		}
		events := 0.0
		for _, server := range p.firstTestedServers() {
			u := s.Histories[server.Name]
			events += u.of(m.name, s.SlowBound)
		}
		t := s.Tests[m.name]
		if events < enough*t.dispersion() {
			return m.name
		}
	}
	return ""
}

// replacing waits until the stage's servers have the change, and says so.
func (p *Plan) stepReplacing(s State, waitFor []string, cohort []Sample) (State, Decision) {
	if crashes := sumCounts(cohort, func(x Sample) uint64 { return x.Crashes }); crashes > 0 {
		if s.Crashes += uint64(crashes); s.Crashes >= maxCohortCrashes {
			return s.rollBack(fmt.Sprintf("stage %d: %d crashes while it was started", s.Stage, s.Crashes))
		}
	}
	if len(waitFor) > 0 {
		if s.WindowsInPhase >= p.Stages[s.Stage].MaxWindows {
			return s.rollBack(fmt.Sprintf("stage %d: %d servers did not come to run %s", s.Stage, len(waitFor), p.To))
		}
		return s, Decision{Wait, "servers are not replaced yet", waitFor}
	}
	s.Phase, s.WindowsInPhase = Baking, 0
	return s, Decision{Verdict: Wait, Reason: "baking"}
}

// maxCohortCrashes of a cohort in one stage are too many, whatever they come of.
const maxCohortCrashes = 2

// baking compares the cohort with the old servers.
func (p *Plan) stepBaking(s State, waitFor []string, cohort, old []Sample) (State, Decision) {
	stage := p.Stages[s.Stage]
	for _, x := range cohort {
		s.Crashes += x.Crashes
	}
	if s.Crashes >= maxCohortCrashes {
		return s.rollBack(fmt.Sprintf("stage %d: %d crashes", s.Stage, s.Crashes))
	}
	if s.WindowsInPhase <= p.WarmUpWindows {
		return s, Decision{Verdict: Wait, Reason: "the stage's servers warm up"}
	}
	for _, x := range cohort {
		s.Requests += x.Requests
	}
	last := p.cohortSize(s.Stage) == len(p.Servers)
	for _, m := range comparedEvents(s.SlowBound) {
		used := weightByHistory(s.Histories, m.name, s.SlowBound)
		t := s.Tests[m.name]
		t.add(outcomeCounts{sumCounts(cohort, m.of), sumWeights(cohort, used), sumCounts(old, m.of), sumWeights(old, used)}, p.Limits.WorseRatio, pearsonDispersion(old, m.of, used))
		t.HistoryEvents = priorEvents
		for _, x := range cohort {
			u := s.Histories[x.Server]
			t.HistoryEvents += u.of(m.name, s.SlowBound)
		}
		s.Tests[m.name] = t
	}
	p.testBaselineServers(&s, old)

	worse := math.Log((1 - p.Limits.MissProbability) / p.falseHaltProbabilityPerTest())
	fine := math.Log(p.Limits.MissProbability / (1 - p.falseHaltProbabilityPerTest()))
	// A small cohort can't show as much as Missed asks of every rare event. It
	// shows half of what it can, and a larger one the rest. Before a stage that is
	// small itself it is enough that no test leans to worse, and in the end, that
	// none says so.
	open, small := "", p.nextStageIsSmall(s.Stage)
	for _, name := range testNames() {
		t := s.Tests[name]
		if w := t.discountedEvidence(); w >= worse {
			return s.rollBack(fmt.Sprintf("stage %d: %s is worse (evidence %.1f of %.1f, %d windows)", s.Stage, name, w, worse, t.Windows))
		} else if name != baselineFailuresTest && !t.isNegligible(p.Limits.NegligibleRate) && open == "" {
			if small && w > 0 || !small && w > max(fine, -t.attainableEvidence(p.Limits.WorseRatio)/2) {
				open = name
			}
		}
	}
	switch {
	case len(waitFor) > 0 && s.WindowsInPhase < stage.MaxWindows: // one that crashed comes back as it was first
		return s, Decision{Wait, "servers of the stage say nothing, or run another version", waitFor}
	case len(waitFor) > 0:
		return s.rollBack(fmt.Sprintf("stage %d: no word, or another version, from %v", s.Stage, waitFor))
	case last && s.WindowsInPhase >= p.WarmUpWindows+stage.BakeWindows:
		s.Phase = Done
		return s, Decision{Verdict: Proceed, Reason: "all servers have the change"}
	case !last && p.tooFewBaselineServers(s, old):
		if s.WindowsInPhase >= stage.MaxWindows {
			return s.rollBack(fmt.Sprintf("stage %d: too few old servers report to compare with", s.Stage))
		}
		return s, Decision{Verdict: Wait, Reason: "too few old servers report to compare with"}
	case s.WindowsInPhase < p.WarmUpWindows+stage.BakeWindows || s.Requests < stage.MinRequests || open != "":
		if s.WindowsInPhase >= stage.MaxWindows && small && s.Requests >= stage.MinRequests {
			break
		} else if s.WindowsInPhase >= stage.MaxWindows {
			return s.rollBack(fmt.Sprintf("stage %d: not shown to be no worse after %d windows: %d requests, open: %s", s.Stage, s.WindowsInPhase, s.Requests, open))
		}
		return s, Decision{Verdict: Wait, Reason: "baking"}
	}
	s = State{Phase: Replacing, Stage: s.Stage + 1, Window: s.Window, Histories: s.Histories, SlowBound: s.SlowBound}
	return s, Decision{Verdict: Proceed, Reason: fmt.Sprintf("stage %d did no worse", s.Stage-1)}
}

// baselineFailuresTest is that of the old servers against their own past.
const baselineFailuresTest = "old-failed"

// mixed compares the old servers' failures with their own before anything
// changed: a change that is fine alone may write what the old version can't read.
func (p *Plan) testBaselineServers(s *State, old []Sample) {
	failed := func(x Sample) uint64 { return x.Failed }
	requests := func(x Sample) float64 { return float64(x.Requests) }
	var past, of float64
	for _, u := range s.Histories {
		past, of = past+u.Failed, of+u.Requests
	}
	if of == 0 {
		return
	}
	now := sumWeights(old, requests)
	// Their past counts for as much as the window, with the least that is minded.
	t := s.Tests[baselineFailuresTest]
	t.add(outcomeCounts{sumCounts(old, failed), now, (past/of + p.Limits.NegligibleRate) * now, now}, baselineWorseRatio, pearsonDispersion(old, failed, requests))
	s.Tests[baselineFailuresTest] = t
}

// baselineWorseRatio is how much more the old servers may fail than before a stage: more
// than Limits.Worse, as the hours differ.
const baselineWorseRatio = 2

// tooFewBaselineServers tells whether fewer than half of the old servers report.
func (p *Plan) tooFewBaselineServers(s State, old []Sample) bool {
	return 2*len(old) < len(p.Servers)-p.cohortSize(s.Stage)
}

// mistaken is the chance of a mistaken halt for one test of one stage.
func (p *Plan) falseHaltProbabilityPerTest() float64 {
	return p.Limits.FalseHaltProbability / float64(len(testNames())*len(p.Stages))
}

// halt has all servers go back.
func (s State) rollBack(reason string) (State, Decision) {
	s.Phase, s.WindowsInPhase, s.Reason = RollingBack, 0, reason
	return s, Decision{Verdict: Halt, Reason: reason}
}

// Stop halts a rollout by an operator's word; one that has ended stays as it is.
func (p *Plan) Stop(s State, reason string) State {
	if s.Phase == Done || s.Phase == RollingBack || s.Phase == Halted {
		return s
	}
	s, _ = s.rollBack(reason)
	return s
}
