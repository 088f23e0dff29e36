package rollout

import (
	"encoding/json"
	"strconv"
)

// Kind is what a rollout changes: the program or the settings.
type Kind string

// The kinds of rollouts.
const (
	Program  Kind = "program"  // the program; the operator's tooling replaces the processes
	Settings Kind = "settings" // the settings of running servers
)

// settingsVersion returns the version name of numbered settings.
func settingsVersion(number uint64) string { return strconv.FormatUint(number, 10) }

// runningVersion returns the version that a server runs according to its report.
func (k Kind) runningVersion(r *Report) string {
	if k == Settings {
		return settingsVersion(r.Settings)
	}
	return r.Version
}

// Record is the state machine of the rollout commands in the fleet's log: the latest
// plan and the settings in force. Each change of the settings gets the next number, and
// is a JSON merge patch (RFC 7396) on the settings of the server's own file, which have
// the number 0.
type Record struct {
	Index           uint64                     `json:"index"`          // of the last log entry that changed the record
	Plan            *Plan                      `json:"plan,omitempty"` // the latest plan, also after its end
	State           State                      `json:"state"`
	Decision        Decision                   `json:"decision"`          // of the latest window
	LastSettings    uint64                     `json:"last"`              // highest number assigned so far
	CurrentSettings uint64                     `json:"current"`           // in force on servers to which no plan assigns others
	Patches         map[uint64]json.RawMessage `json:"patches,omitempty"` // by number; of all settings that a server may have to run
}

// Ended reports whether no plan is in progress.
func (r *Record) Ended() bool { return r.Plan == nil || r.State.ended() }

// NextCommand processes the samples of the next window and returns the Step command
// with the result.
func (r *Record) NextCommand(samples []Sample) Command {
	state, decision := r.Plan.Step(r.State, r.State.Window+1, samples)
	c := Command{Kind: Step, PreviousIndex: r.Index, State: state, Decision: decision}
	watching := r.State.Phase == Watching || r.State.Phase == ""
	if !watching && state.Histories != nil {
		c.State.Histories, c.HistoriesUnchanged = nil, true
	}
	return c
}

// Apply returns the record after the command at an index of the log. For a rejected
// command it returns the unchanged record and a *CommandError.
func (r Record) Apply(c Command, index uint64) (Record, error) {
	switch c.Kind {
	case Start:
		return r.applyStart(c, index)
	case Step:
		return r.applyStep(c, index)
	case Stop:
		return r.applyStop(c, index)
	}
	return r, c.refused(index, ErrUnknownCommand)
}

// applyStart applies a Start command, which begins a plan.
func (r Record) applyStart(c Command, index uint64) (Record, error) {
	switch {
	case !r.Ended():
		return r, c.refused(index, ErrPlanInProgress)
	case c.Plan == nil:
		return r, c.refused(index, ErrPlanMissing)
	case r.Plan != nil && r.Plan.ID == c.Plan.ID:
		return r, c.refused(index, ErrPlanIDReused)
	}
	plan := *c.Plan
	next := Record{Index: index, Plan: &plan, LastSettings: r.LastSettings, CurrentSettings: r.CurrentSettings, Patches: r.patchesInForce()}
	if plan.Kind == Settings {
		if !json.Valid(c.Patch) {
			return r, c.refused(index, ErrInvalidSettings)
		}
		next.LastSettings++
		plan.From, plan.To = settingsVersion(r.CurrentSettings), settingsVersion(next.LastSettings)
		next.Patches[next.LastSettings] = c.Patch
	}
	if err := plan.Validate(); err != nil {
		return r, c.refused(index, err)
	}
	return next, nil
}

// applyStep applies a Step command, which sets the state after a window.
func (r Record) applyStep(c Command, index uint64) (Record, error) {
	if c.PreviousIndex != r.Index || r.Ended() {
		return r, c.refused(index, &StaleStepError{PreviousIndex: c.PreviousIndex, RecordIndex: r.Index})
	}
	histories := r.State.Histories
	r.Index, r.State, r.Decision = index, c.State, c.Decision
	if c.HistoriesUnchanged {
		r.State.Histories = histories
	}
	if r.Ended() && r.Plan.Kind == Settings {
		if r.State.Phase == Done {
			r.CurrentSettings = r.LastSettings
		}
		r.Patches = r.patchesInForce()
	}
	return r, nil
}

// applyStop applies a Stop command, which halts the plan in progress.
func (r Record) applyStop(c Command, index uint64) (Record, error) {
	if r.Ended() || r.Plan.ID != c.ID {
		return r, c.refused(index, ErrPlanNotInProgress)
	}
	r.Index, r.State = index, r.Plan.Stop(r.State, c.Reason)
	r.Decision = Decision{Verdict: Halt, Reason: c.Reason}
	return r, nil
}

// patchesInForce returns the patch of the current settings only. Servers need no other
// patch when no plan is in progress.
func (r Record) patchesInForce() map[uint64]json.RawMessage {
	patches := map[uint64]json.RawMessage{}
	if patch, ok := r.Patches[r.CurrentSettings]; ok {
		patches[r.CurrentSettings] = patch
	}
	return patches
}

// DesiredVersions returns the version of the program that each server should run, nil
// if the latest plan is not of kind Program.
func (r *Record) DesiredVersions() map[string]string {
	if r.Plan == nil || r.Plan.Kind != Program {
		return nil
	}
	return r.Plan.DesiredVersions(r.State)
}

// DesiredSettings returns the number of the settings that each server of the plan in
// progress should run, and the number for all other servers.
func (r *Record) DesiredSettings() (byServer map[string]uint64, others uint64) {
	byServer = map[string]uint64{}
	if r.Ended() || r.Plan.Kind != Settings {
		return byServer, r.CurrentSettings
	}
	for server, version := range r.Plan.DesiredVersions(r.State) {
		byServer[server] = r.CurrentSettings
		if version == r.Plan.To {
			byServer[server] = r.LastSettings
		}
	}
	return byServer, r.CurrentSettings
}
