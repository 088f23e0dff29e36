package rollout

import "encoding/json"

// CommandKind is what a command does.
type CommandKind string

// The kinds of commands.
const (
	Start CommandKind = "start" // begins a plan, by an operator
	Step  CommandKind = "step"  // takes in a window, by the owner of the lease
	Stop  CommandKind = "stop"  // halts the plan under way, by an operator
)

// Command is an entry of the voters' log that changes the Record.
type Command struct {
	Kind CommandKind `json:"kind"`
	// Plan belongs to Start; for settings, Record.Apply sets its From and To. Patch
	// are the settings.
	Plan  *Plan           `json:"plan,omitempty"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// ID and Reason belong to Stop: the plan's ID, and why it is halted.
	ID     string `json:"id,omitempty"`
	Reason string `json:"reason,omitempty"`
	// The others belong to Step: the index of the record that it was made from, and
	// what Plan.Step returned. The histories are left out of the state where they
	// did not change.
	PreviousIndex      uint64   `json:"prev,omitempty"`
	State              State    `json:"state,omitzero"`
	HistoriesUnchanged bool     `json:"same_used,omitempty"`
	Decision           Decision `json:"decision,omitzero"`
}

// refused wraps the reason for which the command at an index of the log is refused.
func (c *Command) refused(index uint64, reason error) error {
	planID := c.ID
	if c.Plan != nil {
		planID = c.Plan.ID
	}
	return &CommandError{Kind: c.Kind, PlanID: planID, Index: index, Err: reason}
}
