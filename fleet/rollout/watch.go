package rollout

import "maps"

// stepWatching adds a window to the servers' histories. It ends the Watching phase after
// MinWatchWindows once the histories suffice, or after MaxWatchWindows.
func (p *Plan) stepWatching(state State, baseline []Sample) (State, Decision) {
	if 2*len(baseline) < len(p.Servers) {
		state.WindowsInPhase--
		return state, Decision{Verdict: Wait, Reason: "too few servers report to watch them"}
	}
	state.Histories = recordHistories(state.Histories, baseline)
	fleet := sumHistories(state.Histories)
	state.SlowBound = slowBound(fleet)
	for _, event := range comparedEvents(state.SlowBound) {
		test := state.Tests[event.name]
		test.DispersionSum += pearsonDispersion(baseline, event.count, weightByHistory(state.Histories, event))
		test.Windows++
		state.Tests[event.name] = test
	}
	if state.WindowsInPhase < p.MinWatchWindows {
		return state, Decision{Verdict: Wait, Reason: "watching"}
	}
	reason := "the servers were watched"
	if p.tooFewSlowAnswers(state, fleet) {
		if state.WindowsInPhase < p.MaxWatchWindows {
			return state, Decision{Verdict: Wait, Reason: "watching: too little is known of " + slowEvent}
		}
		reason += ", and little is known of " + slowEvent
	}
	state.Phase, state.WindowsInPhase, state.Tests = Replacing, 0, nil
	return state, Decision{Verdict: Proceed, Reason: reason}
}

// recordHistories returns a copy of the histories with the samples added.
func recordHistories(histories map[string]History, samples []Sample) map[string]History {
	if histories = maps.Clone(histories); histories == nil {
		histories = map[string]History{}
	}
	for _, sample := range samples {
		history := histories[sample.Server]
		history.add(sample)
		histories[sample.Server] = history
	}
	return histories
}

// slowBound returns the index of the first of LatencyBounds that at most 1% of the
// answers reached, or the index of the last one.
func slowBound(fleet History) int {
	bound := 0
	for bound < len(LatencyBounds)-1 && fleet.SlowerThan[bound] > fleet.Requests/100 {
		bound++
	}
	return bound
}

// tooFewSlowAnswers reports whether the histories have too few slow answers to
// distinguish a stage that is no worse from one that is worse. It returns false if the
// rate of slow answers, times Limits.WorseRatio, is at most Limits.NegligibleRate. The
// other events are not checked.
func (p *Plan) tooFewSlowAnswers(state State, fleet History) bool {
	slow := fleet.SlowerThan[state.SlowBound]
	if slow*p.Limits.WorseRatio <= p.Limits.NegligibleRate*fleet.Requests {
		return false
	}
	counted := 0.0
	for _, server := range p.firstTestedServers() {
		history := state.Histories[server.Name]
		counted += history.SlowerThan[state.SlowBound]
	}
	test := state.Tests[slowEvent]
	return counted < p.Limits.requiredEvents(p.falseHaltProbabilityPerTest())*test.dispersion()
}
