package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Kind says what a rollout changes.
type Kind string

// The kinds of rollouts.
const (
	Program  Kind = "program"  // the program, by those who start it
	Settings Kind = "settings" // the settings, in the servers that run
)

// number names the settings of a number as a version.
func settingsVersion(n uint64) string { return strconv.FormatUint(n, 10) }

// version gives what a server runs of a kind.
func (k Kind) runningVersion(r *Report) string {
	if k == Settings {
		return settingsVersion(r.Settings)
	}
	return r.Version
}

// Record is what the fleet knows of its changes, a state machine: all who applied
// the same orders hold the same record, and a new owner of the fleet's lease goes
// on from it. Settings have numbers that only grow; each is a JSON merge patch
// (RFC 7396) on the settings of a server's own file, whose number is 0.
type Record struct {
	Index    uint64   `json:"index"`          // of the log's entry that changed it last
	Plan     *Plan    `json:"plan,omitempty"` // the latest, also once it has ended
	State    State    `json:"state"`
	Decision Decision `json:"decision"` // of the latest window
	// LastSettings is the highest number that settings were given, Current that of those in
	// force where no plan says otherwise.
	LastSettings    uint64                     `json:"last"`
	CurrentSettings uint64                     `json:"current"`
	Patches         map[uint64]json.RawMessage `json:"patches,omitempty"` // those that may be asked for
}

// CommandKind says what an order does.
type CommandKind string

// The kinds of orders.
const (
	Start CommandKind = "start" // a plan, by an operator
	Step  CommandKind = "step"  // a window, by the lease's owner
	Stop  CommandKind = "stop"  // the plan under way, by an operator
)

// Command is an entry of the log.
type Command struct {
	Kind   CommandKind     `json:"kind"`
	Plan   *Plan           `json:"plan,omitempty"`  // of Start; for settings, From and To are given by Apply
	Patch  json.RawMessage `json:"patch,omitempty"` // of Start, for settings
	ID     string          `json:"id,omitempty"`    // of Stop: the plan's, and why
	Reason string          `json:"reason,omitempty"`
	// Of Step: the index of the record that it was made from, and what the plan
	// came to. What the servers were like before is left out where it stayed.
	PreviousIndex      uint64   `json:"prev,omitempty"`
	State              State    `json:"state,omitzero"`
	HistoriesUnchanged bool     `json:"same_used,omitempty"`
	Decision           Decision `json:"decision,omitzero"`
}

// Ended tells whether no plan is under way.
func (r *Record) Ended() bool {
	return r.Plan == nil || r.State.Phase == Done || r.State.Phase == Halted
}

// NextCommand makes the order that a window leads to.
func (r *Record) NextCommand(samples []Sample) Command {
	s, d := r.Plan.Step(r.State, r.State.Window+1, samples)
	o := Command{Kind: Step, PreviousIndex: r.Index, State: s, Decision: d}
	if r.State.Phase != Watching && r.State.Phase != "" && s.Histories != nil { // they change while servers are watched only
		o.State.Histories, o.HistoriesUnchanged = nil, true
	}
	return o
}

// Apply takes in the order at an index of the log and gives the record after it.
// The error says why an order was refused, and nothing changed.
func (r Record) Apply(o Command, index uint64) (Record, error) {
	switch o.Kind {
	case Start:
		if !r.Ended() {
			return r, fmt.Errorf("rollout: %s is under way (%s)", r.Plan.ID, r.State.Phase)
		}
		if o.Plan == nil {
			return r, fmt.Errorf("rollout: no plan")
		}
		p := *o.Plan
		if r.Plan != nil && r.Plan.ID == p.ID {
			return r, fmt.Errorf("rollout: a plan %s was there before", p.ID)
		}
		patches := map[uint64]json.RawMessage{}
		if at, ok := r.Patches[r.CurrentSettings]; ok {
			patches[r.CurrentSettings] = at
		}
		last := r.LastSettings
		if p.Kind == Settings {
			if !json.Valid(o.Patch) {
				return r, fmt.Errorf("rollout: the settings are no JSON")
			}
			last++
			p.From, p.To = settingsVersion(r.CurrentSettings), settingsVersion(last)
			patches[last] = o.Patch
		}
		if err := p.Validate(); err != nil {
			return r, err
		}
		return Record{Index: index, Plan: &p, LastSettings: last, CurrentSettings: r.CurrentSettings, Patches: patches}, nil
	case Step:
		if o.PreviousIndex != r.Index || r.Ended() {
			return r, fmt.Errorf("rollout: the step follows entry %d, the record is of %d", o.PreviousIndex, r.Index)
		}
		used := r.State.Histories
		r.Index, r.State, r.Decision = index, o.State, o.Decision
		if o.HistoriesUnchanged {
			r.State.Histories = used
		}
		return r.finishSettings(), nil
	case Stop:
		if r.Ended() || r.Plan.ID != o.ID {
			return r, fmt.Errorf("rollout: no plan %s is under way", o.ID)
		}
		r.Index, r.State = index, r.Plan.Stop(r.State, o.Reason)
		r.Decision = Decision{Verdict: Halt, Reason: o.Reason}
		return r, nil
	}
	return r, fmt.Errorf("rollout: order %q is none", o.Kind)
}

// settle puts the settings of a plan that is done in force for all, and forgets
// those that nobody may be asked to run any more.
func (r Record) finishSettings() Record {
	if !r.Ended() || r.Plan.Kind != Settings {
		return r
	}
	if r.State.Phase == Done {
		r.CurrentSettings = r.LastSettings
	}
	patches := map[uint64]json.RawMessage{}
	if p, ok := r.Patches[r.CurrentSettings]; ok {
		patches[r.CurrentSettings] = p
	}
	r.Patches = patches
	return r
}

// DesiredVersions gives the version of the program that each server of a plan for the
// program is to run; nil where there is none.
func (r *Record) DesiredVersions() map[string]string {
	if r.Plan == nil || r.Plan.Kind != Program {
		return nil
	}
	return r.Plan.DesiredVersions(r.State)
}

// DesiredSettings gives the number of the settings that each server of a plan is to
// run, and that of all others.
func (r *Record) DesiredSettings() (of map[string]uint64, others uint64) {
	of = map[string]uint64{}
	if r.Plan != nil && r.Plan.Kind == Settings && !r.Ended() {
		for server, version := range r.Plan.DesiredVersions(r.State) {
			if of[server] = r.CurrentSettings; version == r.Plan.To {
				of[server] = r.LastSettings
			}
		}
	}
	return of, r.CurrentSettings
}
