package quota

import (
	"errors"
	"fmt"
)

// Reasons for which the allocator refuses a command, wrapped in a CommandError.
var (
	ErrUnknownCommand   = errors.New("unknown kind of command")
	ErrAccountExists    = errors.New("the account exists already")
	ErrNoAccount        = errors.New("the member has no account")
	ErrFenced           = errors.New("the member is fenced")
	ErrNothingToReclaim = errors.New("no fenced member holds rights to reclaim")
)

var errNoIncarnation = errors.New("no incarnation after a slash")

// CommandError is returned for a command that the allocator refuses. Nothing has
// changed then.
type CommandError struct {
	Kind   CommandKind
	Target ID // zero for Reclaim, which has none
	Err    error
}

// Error implements error.
func (e *CommandError) Error() string {
	if e.Target == (ID{}) {
		return fmt.Sprintf("quota: command %q refused: %v", e.Kind, e.Err)
	}
	return fmt.Sprintf("quota: command %q for %s refused: %v", e.Kind, e.Target, e.Err)
}

// Unwrap returns the reason.
func (e *CommandError) Unwrap() error { return e.Err }

// InsufficientRightsError is the reason for refusing a grant of more rights than
// are free.
type InsufficientRightsError struct{ Requested, Free uint64 }

// Error implements error.
func (e *InsufficientRightsError) Error() string {
	return fmt.Sprintf("%d rights requested, %d free", e.Requested, e.Free)
}

// MissingReportError is the reason for refusing to reclaim the rights of a fenced
// member while a live one has not reported its transfers with it.
type MissingReportError struct{ Fenced, Reporter ID }

// Error implements error.
func (e *MissingReportError) Error() string {
	return fmt.Sprintf("no transfer report of %s on fenced %s", e.Reporter, e.Fenced)
}

// InconsistentReportsError is the reason for refusing to reclaim rights where the
// reports say that live members received more than the fenced ones could send.
type InconsistentReportsError struct {
	Rights int64 // that would be reclaimed, below zero
}

// Error implements error.
func (e *InconsistentReportsError) Error() string {
	return fmt.Sprintf("transfer reports contradict each other: %d rights would be reclaimed", e.Rights)
}

// InvalidIDError is returned for text that is no ID.
type InvalidIDError struct {
	Text string
	Err  error
}

// Error implements error.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("quota: invalid ID %q: %v", e.Text, e.Err)
}

// Unwrap returns the reason.
func (e *InvalidIDError) Unwrap() error { return e.Err }

// TimingError is returned for a Timing with a field out of bounds.
type TimingError struct {
	Field string // of Timing
	Value any
	Want  string
}

// Error implements error.
func (e *TimingError) Error() string {
	return fmt.Sprintf("quota: %s is %v, want %s", e.Field, e.Value, e.Want)
}
