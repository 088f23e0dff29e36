package rollout

import (
	"errors"
	"fmt"
)

// Reasons why Record.Apply rejects a command; a CommandError wraps them.
var (
	// ErrPlanInProgress rejects a Start command before the latest plan has ended.
	ErrPlanInProgress = errors.New("another plan is in progress")
	// ErrPlanMissing rejects a Start command without a plan.
	ErrPlanMissing = errors.New("the command has no plan")
	// ErrPlanIDReused rejects a plan with the ID of the previous plan.
	ErrPlanIDReused = errors.New("the previous plan has the same id")
	// ErrInvalidSettings rejects a settings patch that is not valid JSON.
	ErrInvalidSettings = errors.New("the settings patch is not valid JSON")
	// ErrPlanNotInProgress rejects a Stop command for a plan that is not in progress.
	ErrPlanNotInProgress = errors.New("this plan is not in progress")
	// ErrUnknownCommand rejects a command of an unknown kind.
	ErrUnknownCommand = errors.New("unknown command kind")
)

// CommandError reports a command that Record.Apply rejected. Err is one of the
// reasons above, a *PlanError or a *StaleStepError.
type CommandError struct {
	Kind   CommandKind
	PlanID string // "" for Step, and for Start without a plan
	Index  uint64 // of the command's entry in the log
	Err    error
}

// Error implements error.
func (e *CommandError) Error() string {
	if e.PlanID == "" {
		return fmt.Sprintf("rollout: command %q at log index %d rejected: %v", e.Kind, e.Index, e.Err)
	}
	return fmt.Sprintf("rollout: command %q for plan %q at log index %d rejected: %v", e.Kind, e.PlanID, e.Index, e.Err)
}

// Unwrap returns the reason for the rejection.
func (e *CommandError) Unwrap() error { return e.Err }

// PlanError reports an invalid plan.
type PlanError struct {
	PlanID  string
	Problem string
}

// Error implements error.
func (e *PlanError) Error() string {
	return fmt.Sprintf("rollout: invalid plan %q: %s", e.PlanID, e.Problem)
}

// StaleStepError reports a Step command that was not derived from the current record,
// or that follows the end of the plan.
type StaleStepError struct {
	PreviousIndex uint64 // log index of the record from which the step was derived
	RecordIndex   uint64 // log index of the current record
}

// Error implements error.
func (e *StaleStepError) Error() string {
	if e.PreviousIndex == e.RecordIndex {
		return fmt.Sprintf("the step follows log index %d, but no plan is in progress", e.PreviousIndex)
	}
	return fmt.Sprintf("the step follows log index %d, but the record is at log index %d", e.PreviousIndex, e.RecordIndex)
}

// StaleDirectiveError reports a directive from an older record than that of a directive
// which the follower has accepted.
type StaleDirectiveError struct {
	Index   uint64 // log index of the directive's record
	Highest uint64 // highest log index that the follower accepted
}

// Error implements error.
func (e *StaleDirectiveError) Error() string {
	return fmt.Sprintf("rollout: the directive has log index %d, but %d was accepted before", e.Index, e.Highest)
}
