package rollout

import (
	"errors"
	"fmt"
)

// Reasons for which Record.Apply refuses a command; a CommandError wraps them.
var (
	// ErrPlanInProgress refuses the start of a plan before the latest one has ended.
	ErrPlanInProgress = errors.New("another plan is under way")
	// ErrPlanMissing refuses a start that brings no plan.
	ErrPlanMissing = errors.New("the command has no plan")
	// ErrPlanIDReused refuses a plan with the ID of the plan before it.
	ErrPlanIDReused = errors.New("a plan with this id was there before")
	// ErrInvalidSettings refuses a settings patch that is not valid JSON.
	ErrInvalidSettings = errors.New("the settings are not valid JSON")
	// ErrPlanNotInProgress refuses to stop a plan that is not under way.
	ErrPlanNotInProgress = errors.New("this plan is not under way")
	// ErrUnknownCommand refuses a command of an unknown kind.
	ErrUnknownCommand = errors.New("unknown kind of command")
)

// CommandError reports a command that Record.Apply refused. Err is one of the
// reasons above, a *PlanError or a *StaleStepError.
type CommandError struct {
	Kind   CommandKind
	PlanID string // "" for a step, and for a start without a plan
	Index  uint64 // of the command's entry in the log
	Err    error
}

// Error implements error.
func (e *CommandError) Error() string {
	if e.PlanID == "" {
		return fmt.Sprintf("rollout: command %q at log index %d refused: %v", e.Kind, e.Index, e.Err)
	}
	return fmt.Sprintf("rollout: command %q for plan %q at log index %d refused: %v", e.Kind, e.PlanID, e.Index, e.Err)
}

// Unwrap returns the reason for the refusal.
func (e *CommandError) Unwrap() error { return e.Err }

// PlanError reports a plan that is not valid.
type PlanError struct {
	PlanID  string
	Problem string
}

// Error implements error.
func (e *PlanError) Error() string {
	return fmt.Sprintf("rollout: plan %q is not valid: %s", e.PlanID, e.Problem)
}

// StaleStepError reports a step that was made from another record than the
// present one, or after the plan had ended.
type StaleStepError struct {
	PreviousIndex uint64 // of the record that the step was made from
	RecordIndex   uint64 // of the present record
}

// Error implements error.
func (e *StaleStepError) Error() string {
	if e.PreviousIndex == e.RecordIndex {
		return fmt.Sprintf("the step follows log index %d, but no plan is under way", e.PreviousIndex)
	}
	return fmt.Sprintf("the step follows log index %d, the record is at %d", e.PreviousIndex, e.RecordIndex)
}

// StaleDirectiveError reports a directive that was made from an older record
// than one that the follower has seen.
type StaleDirectiveError struct {
	Index   uint64 // of the record that the directive was made from
	Highest uint64 // of the latest record that was seen
}

// Error implements error.
func (e *StaleDirectiveError) Error() string {
	return fmt.Sprintf("rollout: the directive is of log index %d, %d was seen", e.Index, e.Highest)
}
