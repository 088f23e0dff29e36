package rollout

// Phase is the phase of a rollout. The package comment lists the transitions.
type Phase string

// The phases.
const (
	Watching    Phase = "watching"  // the servers' histories are recorded before any change
	Replacing   Phase = "replacing" // the stage's servers switch to the new version
	Baking      Phase = "baking"    // the cohort is compared with the baseline
	Done        Phase = "done"      // all servers have the change
	RollingBack Phase = "back"      // all servers return to the old version
	Halted      Phase = "halted"    // all servers run the old version again
)

// Verdict says how a rollout continues after a window.
type Verdict string

// The verdicts.
const (
	Wait    Verdict = "wait"  // the phase continues, or a stage begins to bake
	Proceed Verdict = "go on" // the next stage begins, or the rollout is done
	Halt    Verdict = "halt"  // the rollout rolls back, or is halted
)

// State is the progress of a rollout. It is stored in the voters' log, and a new owner
// of the lease resumes from it. The zero State is the beginning of a plan.
type State struct {
	Phase          Phase                     `json:"phase"`
	Stage          int                       `json:"stage"`
	Window         int                       `json:"window"`           // latest window that was processed
	WindowsInPhase int                       `json:"waited"`           // windows processed in the current phase
	Requests       uint64                    `json:"requests"`         // answered by the cohort in this stage
	Crashes        uint64                    `json:"crashes"`          // of the cohort in this stage
	Tests          map[string]SequentialTest `json:"tests,omitempty"`  // by test name
	Histories      map[string]History        `json:"used,omitempty"`   // by server
	SlowBound      int                       `json:"slow_at"`          // index in LatencyBounds of the histories' 99th percentile
	Reason         string                    `json:"reason,omitempty"` // of the rollback
}

// Decision is the verdict after a window, with its reason for operators.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// PendingServers are the servers that the phase waits for: they run the wrong
	// version, or have not reported.
	PendingServers []string `json:"missing,omitempty"`
}

// DesiredVersions returns the version that each server should run. The servers may be
// switched in any order.
func (p *Plan) DesiredVersions(state State) map[string]string {
	changed := 0
	switch state.Phase {
	case Done:
		changed = len(p.Servers)
	case Replacing, Baking:
		changed = p.cohortSize(state.Stage)
	}
	versions := make(map[string]string, len(p.Servers))
	for i, server := range p.serverOrder() {
		versions[server.Name] = p.From
		if i < changed {
			versions[server.Name] = p.To
		}
	}
	return versions
}

// Stop returns the state after an operator halted the rollout. A rollout that has ended
// or is rolling back is unchanged.
func (p *Plan) Stop(state State, reason string) State {
	if state.ended() || state.Phase == RollingBack {
		return state
	}
	state, _ = state.rollBack(reason)
	return state
}

// ended reports whether the phase is final.
func (s State) ended() bool { return s.Phase == Done || s.Phase == Halted }

// rollBack returns the state in which all servers return to the old version, and the
// decision.
func (s State) rollBack(reason string) (State, Decision) {
	s.Phase, s.WindowsInPhase, s.Reason = RollingBack, 0, reason
	return s, Decision{Verdict: Halt, Reason: reason}
}
