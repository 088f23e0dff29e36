package rollout

// Phase is the phase that a rollout is in.
type Phase string

// The phases.
const (
	Watching    Phase = "watching"  // the histories of the servers are recorded, before anything changes
	Replacing   Phase = "replacing" // the stage's servers are drained and started anew
	Baking      Phase = "baking"    // the cohort is compared with the baseline
	Done        Phase = "done"      // all servers have the change
	RollingBack Phase = "back"      // all servers go back to the old version
	Halted      Phase = "halted"    // all servers are back
)

// Verdict is what a window led to.
type Verdict string

// The verdicts.
const (
	Wait    Verdict = "wait"
	Proceed Verdict = "go on"
	Halt    Verdict = "halt"
)

// State is how far a rollout is. The voters' log holds it, and a new owner of
// the lease resumes from it. The zero State is a plan's beginning.
type State struct {
	Phase          Phase                     `json:"phase"`
	Stage          int                       `json:"stage"`
	Window         int                       `json:"window"` // the latest that was taken in
	WindowsInPhase int                       `json:"waited"`
	Requests       uint64                    `json:"requests"` // that the cohort answered in this stage
	Crashes        uint64                    `json:"crashes"`  // of the cohort in this stage
	Tests          map[string]SequentialTest `json:"tests,omitempty"`
	Histories      map[string]History        `json:"used,omitempty"`   // by server
	SlowBound      int                       `json:"slow_at"`          // index in LatencyBounds of the histories' 99th percentile
	Reason         string                    `json:"reason,omitempty"` // of the halt
}

// Decision is the outcome of a window.
type Decision struct {
	Verdict Verdict `json:"verdict"`
	Reason  string  `json:"reason"`
	// PendingServers are those that a phase waits for: they run the wrong version,
	// or have not reported.
	PendingServers []string `json:"missing,omitempty"`
}

// DesiredVersions returns the version that each server is to run. Whoever starts
// programs may bring the servers there in any order.
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

// Stop halts a rollout at an operator's request; one that has ended or is rolling
// back stays as it is.
func (p *Plan) Stop(state State, reason string) State {
	if state.ended() || state.Phase == RollingBack {
		return state
	}
	state, _ = state.rollBack(reason)
	return state
}

// ended reports whether the phase is final.
func (s State) ended() bool { return s.Phase == Done || s.Phase == Halted }

// rollBack returns the state in which all servers go back to the old version.
func (s State) rollBack(reason string) (State, Decision) {
	s.Phase, s.WindowsInPhase, s.Reason = RollingBack, 0, reason
	return s, Decision{Verdict: Halt, Reason: reason}
}
