package quota

import (
	"errors"
	"fmt"
)

// Reasons why the allocator rejects a command; a CommandError wraps them.
var (
	ErrUnknownCommand   = errors.New("unknown command kind")
	ErrAccountExists    = errors.New("the account already exists")
	ErrNoAccount        = errors.New("the member has no account")
	ErrFenced           = errors.New("the member is fenced")
	ErrNothingToReclaim = errors.New("no fenced member holds rights to reclaim")
)

var errNoIncarnation = errors.New("missing slash before the incarnation")

// CommandError reports a command that the allocator rejected. A rejected command
// changes nothing.
type CommandError struct {
	Kind   CommandKind
	Target ID // zero for Reclaim, which has no target
	Err    error
}

// Error implements error.
func (e *CommandError) Error() string {
	if e.Target == (ID{}) {
		return fmt.Sprintf("quota: command %q rejected: %v", e.Kind, e.Err)
	}
	return fmt.Sprintf("quota: command %q for %s rejected: %v", e.Kind, e.Target, e.Err)
}

// Unwrap returns the reason for the rejection.
func (e *CommandError) Unwrap() error { return e.Err }

// InsufficientRightsError is the reason for rejecting a grant that exceeds the free
// rights.
type InsufficientRightsError struct{ Requested, Free uint64 }

// Error implements error.
func (e *InsufficientRightsError) Error() string {
	return fmt.Sprintf("%d rights requested, %d free", e.Requested, e.Free)
}

// MissingReportError is the reason for rejecting a Reclaim command that lacks the
// transfer report of a live member on a fenced one.
type MissingReportError struct{ Fenced, Reporter ID }

// Error implements error.
func (e *MissingReportError) Error() string {
	return fmt.Sprintf("missing transfer report of %s on fenced member %s", e.Reporter, e.Fenced)
}

// InconsistentReportsError is the reason for rejecting a Reclaim command whose
// reports state that live members received more rights than the fenced members held.
type InconsistentReportsError struct {
	Rights int64 // number that would be reclaimed; negative
}

// Error implements error.
func (e *InconsistentReportsError) Error() string {
	return fmt.Sprintf("inconsistent transfer reports: %d rights would be reclaimed", e.Rights)
}

// InvalidIDError reports text that is not a valid ID.
type InvalidIDError struct {
	Text string
	Err  error
}

// Error implements error.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("quota: invalid ID %q: %v", e.Text, e.Err)
}

// Unwrap returns the parse error.
func (e *InvalidIDError) Unwrap() error { return e.Err }

// TimingError reports a field of a Timing that is out of range.
type TimingError struct {
	Field string // name of the field of Timing
	Value any
	Want  string
}

// Error implements error.
func (e *TimingError) Error() string {
	return fmt.Sprintf("quota: %s is %v, want %s", e.Field, e.Value, e.Want)
}
