package rollout

import (
	"fmt"
	"math"
)

// baselineFailuresTest is the name of the test that compares the baseline's failures
// with the fleet's history.
const baselineFailuresTest = "old-failed"

// baselineWorseRatio is the increase that baselineFailuresTest detects: the baseline's
// failure rate divided by the fleet's rate before the rollout. It is larger than the
// default Limits.WorseRatio, because the load varies over the day.
const baselineWorseRatio = 2

// stepBaking compares the cohort with the baseline.
func (p *Plan) stepBaking(state State, groups sampleGroups) (State, Decision) {
	if state.Crashes += countCrashes(groups.cohort); state.Crashes >= maxCohortCrashes {
		return state.rollBack(fmt.Sprintf("stage %d: %d crashes", state.Stage, state.Crashes))
	}
	if state.WindowsInPhase <= p.WarmUpWindows {
		return state, Decision{Verdict: Wait, Reason: "the stage's servers warm up"}
	}
	for _, sample := range groups.cohort {
		state.Requests += sample.Requests
	}
	p.testCohort(&state, groups)
	p.testBaseline(&state, groups.baseline)
	if reason := p.worseTest(state); reason != "" {
		return state.rollBack(fmt.Sprintf("stage %d: %s", state.Stage, reason))
	}
	return p.concludeBake(state, groups)
}

// testCohort adds a window to the tests of the cohort against the baseline.
func (p *Plan) testCohort(state *State, groups sampleGroups) {
	for _, event := range comparedEvents(state.SlowBound) {
		weight := weightByHistory(state.Histories, event)
		test := state.Tests[event.name]
		test.observe(outcomeCounts{
			cohortEvents:     sumCounts(groups.cohort, event.count),
			cohortRequests:   sumWeights(groups.cohort, weight),
			baselineEvents:   sumCounts(groups.baseline, event.count),
			baselineRequests: sumWeights(groups.baseline, weight),
		}, p.Limits.WorseRatio, pearsonDispersion(groups.baseline, event.count, weight))
		test.HistoryEvents = priorEvents
		for _, sample := range groups.cohort {
			test.HistoryEvents += event.historyCount(state.Histories[sample.Server])
		}
		state.Tests[event.name] = test
	}
}

// testBaseline adds a window to the test of the baseline's failures against the fleet's
// history. It finds changes whose own servers do no worse, but which write data that the
// old version can't read.
func (p *Plan) testBaseline(state *State, baseline []Sample) {
	fleet := sumHistories(state.Histories)
	if fleet.Requests == 0 {
		return
	}
	failed := func(s Sample) uint64 { return s.Failed }
	requests := func(s Sample) float64 { return float64(s.Requests) }
	now := sumWeights(baseline, requests)
	test := state.Tests[baselineFailuresTest]
	test.observe(outcomeCounts{
		cohortEvents:   sumCounts(baseline, failed),
		cohortRequests: now,
		// The history is scaled to the requests of the window. The negligible rate is added
		// to the history's failure rate.
		baselineEvents:   (fleet.Failed/fleet.Requests + p.Limits.NegligibleRate) * now,
		baselineRequests: now,
	}, baselineWorseRatio, pearsonDispersion(baseline, failed, requests))
	state.Tests[baselineFailuresTest] = test
}

// worseTest describes the first test that found a worse rate, "" for none.
func (p *Plan) worseTest(state State) string {
	threshold := math.Log((1 - p.Limits.MissProbability) / p.falseHaltProbabilityPerTest())
	for _, name := range testNames() {
		test := state.Tests[name]
		if evidence := test.discountedEvidence(); evidence >= threshold {
			return fmt.Sprintf("%s is worse (evidence %.1f of %.1f, %d windows)", name, evidence, threshold, test.Windows)
		}
	}
	return ""
}

// inconclusiveTest returns the name of the first test that has not shown the cohort to
// be no worse, "" for none. Before a small stage, evidence of at most 0 suffices. Before
// any other stage the evidence must fall to the value that Limits.MissProbability
// requires. A small cohort can't attain that for each rare event, so half of its
// attainable evidence suffices, and a larger cohort provides the rest.
func (p *Plan) inconclusiveTest(state State) string {
	noWorse := math.Log(p.Limits.MissProbability / (1 - p.falseHaltProbabilityPerTest()))
	nextIsSmall := p.nextStageIsSmall(state.Stage)
	for _, name := range testNames() {
		test := state.Tests[name]
		if name == baselineFailuresTest || test.isNegligible(p.Limits.NegligibleRate) {
			continue
		}
		threshold := 0.0
		if !nextIsSmall {
			threshold = max(noWorse, -test.attainableEvidence(p.Limits.WorseRatio)/2)
		}
		if test.discountedEvidence() > threshold {
			return name
		}
	}
	return ""
}

// concludeBake decides the result of a window in which no test found the cohort to be
// worse: wait, begin the next stage, finish the rollout, or roll back after MaxWindows.
func (p *Plan) concludeBake(state State, groups sampleGroups) (State, Decision) {
	stage := p.Stages[state.Stage]
	overdue := state.WindowsInPhase >= stage.MaxWindows
	baked := state.WindowsInPhase >= p.WarmUpWindows+stage.BakeWindows
	sampled := state.Requests >= stage.MinRequests
	last := p.cohortSize(state.Stage) == len(p.Servers)
	inconclusive := p.inconclusiveTest(state)
	switch {
	case len(groups.pending) > 0 && overdue:
		return state.rollBack(fmt.Sprintf("stage %d: no word, or another version, from %v", state.Stage, groups.pending))
	case len(groups.pending) > 0: // a crashed server reports its old version first
		return state, Decision{Verdict: Wait, Reason: "servers of the stage say nothing, or run another version", PendingServers: groups.pending}
	case last && baked:
		state.Phase = Done
		return state, Decision{Verdict: Proceed, Reason: "all servers have the change"}
	case !last && p.baselineTooSmall(state, groups.baseline):
		if overdue {
			return state.rollBack(fmt.Sprintf("stage %d: too few old servers report to compare with", state.Stage))
		}
		return state, Decision{Verdict: Wait, Reason: "too few old servers report to compare with"}
	case baked && sampled && inconclusive == "":
		return state.nextStage()
	case !overdue:
		return state, Decision{Verdict: Wait, Reason: "baking"}
	case sampled && p.nextStageIsSmall(state.Stage):
		return state.nextStage()
	}
	return state.rollBack(fmt.Sprintf("stage %d: not shown to be no worse after %d windows: %d requests, open: %s",
		state.Stage, state.WindowsInPhase, state.Requests, inconclusive))
}

// baselineTooSmall reports whether fewer than half of the servers with the old version
// report.
func (p *Plan) baselineTooSmall(state State, baseline []Sample) bool {
	return 2*len(baseline) < len(p.Servers)-p.cohortSize(state.Stage)
}

// nextStage returns the state at the beginning of the next stage, and the decision.
func (s State) nextStage() (State, Decision) {
	next := State{Phase: Replacing, Stage: s.Stage + 1, Window: s.Window, Histories: s.Histories, SlowBound: s.SlowBound}
	return next, Decision{Verdict: Proceed, Reason: fmt.Sprintf("stage %d did no worse", s.Stage)}
}
