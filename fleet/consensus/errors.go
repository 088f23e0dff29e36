package consensus

import (
	"errors"
	"fmt"
)

// ErrLogDamaged is wrapped by every *LogDamagedError.
var ErrLogDamaged = errors.New("log records were lost")

// LogDamagedError reports that records which a voter wrote are missing from its
// log. The voter must not vote any more.
type LogDamagedError struct {
	Dir    string // directory of the log
	Reason string
}

func (e *LogDamagedError) Error() string {
	return fmt.Sprintf("consensus: %v: %s: %s", ErrLogDamaged, e.Dir, e.Reason)
}

// Unwrap returns ErrLogDamaged.
func (e *LogDamagedError) Unwrap() error { return ErrLogDamaged }

// NotVoterError reports that Options.Voters does not contain Options.Self.
type NotVoterError struct {
	Self   string
	Voters []string
}

func (e *NotVoterError) Error() string {
	return fmt.Sprintf("consensus: %s is not among the voters %v", e.Self, e.Voters)
}

// FoundersMismatchError reports that a log belongs to a group with other founders
// than the configured ones.
type FoundersMismatchError struct {
	Dir      string   // directory of the log
	Founders []string // configured founders
}

func (e *FoundersMismatchError) Error() string {
	return fmt.Sprintf("consensus: the log in %s belongs to a group with other founders than the configured %v", e.Dir, e.Founders)
}

// VoterIDConflictError reports that the names of two voters have the same hash,
// which is their raft ID. One of the voters must be renamed.
type VoterIDConflictError struct {
	First, Second string
	ID            uint64
}

func (e *VoterIDConflictError) Error() string {
	return fmt.Sprintf("consensus: voters %s and %s have the same raft ID %x", e.First, e.Second, e.ID)
}
