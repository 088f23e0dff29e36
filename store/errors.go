package store

import (
	"errors"
	"fmt"
)

var (
	// ErrFull reports a write that would take the live records over
	// Options.MaxBytes.
	ErrFull = errors.New("store: full")

	// ErrClosed reports a write after Close.
	ErrClosed = errors.New("store: closed")

	// ErrDegraded reports a write that could not be made durable, or one that is
	// refused as one before it could not. Writes work again once the disk does.
	ErrDegraded = errors.New("store: degraded")

	// ErrRecordTooLarge reports a key or a value over the bounds of a record.
	ErrRecordTooLarge = errors.New("store: record too large")
)

// CorruptRecordError reports a record that Get found damaged on disk.
type CorruptRecordError struct {
	Segment string // file name
	Offset  int64
}

// Error implements error.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("store: %s at %d: corrupt record", e.Segment, e.Offset)
}
