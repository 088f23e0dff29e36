package rollout

import "encoding/json"

// CommandKind is what a Command does to the record: Start, Step or Stop.
type CommandKind string

// The kinds of commands.
const (
	Start CommandKind = "start" // begins a plan; requested by an operator
	Step  CommandKind = "step"  // sets the state after a window; proposed by the owner of the lease
	Stop  CommandKind = "stop"  // halts the plan in progress; requested by an operator
)

// Command is an entry of the voters' log that changes the Record. Its JSON is stored:
// the tags define the format.
type Command struct {
	Kind CommandKind `json:"kind"`
	// Plan and Patch belong to Start. For a plan of kind Settings, Patch is the settings
	// patch, and Record.Apply sets Plan.From and Plan.To.
	Plan  *Plan           `json:"plan,omitempty"`
	Patch json.RawMessage `json:"patch,omitempty"`
	// ID and Reason belong to Stop: the plan's ID and the reason for halting it.
	ID     string `json:"id,omitempty"`
	Reason string `json:"reason,omitempty"`
	// The other fields belong to Step: the log index of the record from which it was
	// derived, and the results of Plan.Step. State omits the histories if they did not
	// change; HistoriesUnchanged is true then.
	PreviousIndex      uint64   `json:"prev,omitempty"`
	State              State    `json:"state,omitzero"`
	HistoriesUnchanged bool     `json:"same_used,omitempty"`
	Decision           Decision `json:"decision,omitzero"`
}

// refused returns the *CommandError for a command that was rejected at an index of the
// log.
func (c *Command) refused(index uint64, reason error) error {
	planID := c.ID
	if c.Plan != nil {
		planID = c.Plan.ID
	}
	return &CommandError{Kind: c.Kind, PlanID: planID, Index: index, Err: reason}
}
