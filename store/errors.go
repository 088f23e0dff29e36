package store

import (
	"errors"
	"fmt"
)

var (
	// ErrFull reports a write that would make the live records exceed
	// Options.MaxBytes.
	ErrFull = errors.New("store: size limit exceeded")

	// ErrClosed reports a write after Close.
	ErrClosed = errors.New("store: write to a closed store")

	// ErrDegraded reports a write that could not be made durable, or that was
	// rejected because an earlier one could not. The store repairs itself on a later
	// write, if the disk accepts writes again.
	ErrDegraded = errors.New("store: writes are failing")

	// ErrRecordTooLarge reports a record whose key or encoded size exceeds its limit.
	ErrRecordTooLarge = errors.New("store: record too large")
)

// CorruptRecordError reports a record on disk that Get could not decode, or that
// belongs to another key.
type CorruptRecordError struct {
	Segment string // file name
	Offset  int64  // in bytes, from the start of the segment
}

// Error implements error.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("store: corrupt record in %s at offset %d", e.Segment, e.Offset)
}
