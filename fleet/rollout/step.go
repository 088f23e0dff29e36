package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// maxCohortCrashes is the number of crashes of a cohort in one stage at which the
// rollout rolls back, whatever caused them.
const maxCohortCrashes = 2

// Step processes the samples of one window and returns the state after it. A window
// that was already processed changes nothing, so a new owner may repeat it.
func (p *Plan) Step(state State, window int, samples []Sample) (State, Decision) {
	if state.Phase == "" {
		state.Phase = Watching
	} else if window <= state.Window {
		return state, Decision{Verdict: Wait, Reason: "seen before"}
	}
	state.Window = window
	if state.ended() {
		return state, Decision{Verdict: Wait, Reason: string(state.Phase)}
	}
	state.WindowsInPhase++
	if state.Tests = maps.Clone(state.Tests); state.Tests == nil {
		state.Tests = map[string]SequentialTest{}
	}
	groups := p.groupSamples(state, samples)
	switch state.Phase {
	case RollingBack:
		return stepRollingBack(state, groups.pending)
	case Watching:
		return p.stepWatching(state, groups.baseline)
	}
	if groups.rejection != "" {
		return state.rollBack(fmt.Sprintf("stage %d: %s", state.Stage, groups.rejection))
	}
	if state.Phase == Replacing {
		return p.stepReplacing(state, groups)
	}
	return p.stepBaking(state, groups)
}

// sampleGroups are the samples of one window, grouped by the role of their server in
// the comparison.
type sampleGroups struct {
	cohort    []Sample // of servers that run the new version, as desired
	baseline  []Sample // of servers that run the old version, as desired
	pending   []string // servers that run the wrong version, then those without a report
	rejection string   // a server that rejected the desired version, and its reason; "" for none
}

// groupSamples groups the servers by comparing their running versions with the desired
// versions.
func (p *Plan) groupSamples(state State, samples []Sample) sampleGroups {
	byServer := make(map[string]Sample, len(samples))
	for _, s := range samples {
		byServer[s.Server] = s
	}
	desired := p.DesiredVersions(state)
	var groups sampleGroups
	var silent, wrong []string
	for _, server := range p.Servers {
		sample, reported := byServer[server.Name]
		version := desired[server.Name]
		switch {
		case !reported:
			if version == p.To || state.Phase == RollingBack {
				silent = append(silent, server.Name)
			}
		case sample.Version != version:
			wrong = append(wrong, server.Name)
			if sample.RejectedVersion == version {
				groups.rejection = fmt.Sprintf("%s turned %s down: %s", sample.Server, sample.RejectedVersion, sample.RejectionReason)
			}
		case sample.Version == p.To:
			groups.cohort = append(groups.cohort, sample)
		default:
			groups.baseline = append(groups.baseline, sample)
		}
	}
	slices.Sort(wrong)
	slices.Sort(silent)
	groups.pending = slices.Concat(wrong, silent)
	return groups
}

// stepRollingBack waits until all servers run the old version. A server whose
// rollback fails stays pending until it is repaired.
func stepRollingBack(state State, pending []string) (State, Decision) {
	if len(pending) > 0 {
		return state, Decision{Verdict: Wait, Reason: "servers are not back yet: " + state.Reason, PendingServers: pending}
	}
	state.Phase = Halted
	return state, Decision{Verdict: Halt, Reason: state.Reason}
}

// stepReplacing waits until the servers of the stage run the new version.
func (p *Plan) stepReplacing(state State, groups sampleGroups) (State, Decision) {
	if crashes := countCrashes(groups.cohort); crashes > 0 {
		if state.Crashes += crashes; state.Crashes >= maxCohortCrashes {
			return state.rollBack(fmt.Sprintf("stage %d: %d crashes while it was started", state.Stage, state.Crashes))
		}
	}
	if len(groups.pending) > 0 {
		if state.WindowsInPhase >= p.Stages[state.Stage].MaxWindows {
			return state.rollBack(fmt.Sprintf("stage %d: %d servers did not come to run %s", state.Stage, len(groups.pending), p.To))
		}
		return state, Decision{Verdict: Wait, Reason: "servers are not replaced yet", PendingServers: groups.pending}
	}
	state.Phase, state.WindowsInPhase = Baking, 0
	return state, Decision{Verdict: Wait, Reason: "baking"}
}
