package consensus

import (
	"errors"
	"fmt"
)

// ErrLogDamaged is wrapped by every *LogDamagedError.
var ErrLogDamaged = errors.New("the log lost records")

// LogDamagedError reports that a voter's log lacks records that it has written,
// so that the voter must not vote any more.
type LogDamagedError struct {
	Dir    string // of the log
	Reason string
}

func (e *LogDamagedError) Error() string {
	return fmt.Sprintf("consensus: %v: %s: %s", ErrLogDamaged, e.Dir, e.Reason)
}

// Unwrap returns ErrLogDamaged.
func (e *LogDamagedError) Unwrap() error { return ErrLogDamaged }

// NotVoterError reports that a node is configured as a voter of a group that
// does not contain it.
type NotVoterError struct {
	Self   string
	Voters []string
}

func (e *NotVoterError) Error() string {
	return fmt.Sprintf("consensus: %s is not among the voters %v", e.Self, e.Voters)
}

// FoundersMismatchError reports a log of a group with other founders than those that
// are configured.
type FoundersMismatchError struct {
	Dir      string // of the log
	Founders []string
}

func (e *FoundersMismatchError) Error() string {
	return fmt.Sprintf("consensus: the log in %s belongs to a group with other founders than %v", e.Dir, e.Founders)
}

// VoterIDConflictError reports two voters whose names have the same hash, which
// is their ID in raft. One of them needs another name.
type VoterIDConflictError struct {
	First, Second string
	ID            uint64
}

func (e *VoterIDConflictError) Error() string {
	return fmt.Sprintf("consensus: voters %s and %s have the same raft ID %x", e.First, e.Second, e.ID)
}
