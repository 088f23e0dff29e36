package journal

import "fmt"

// OpenError reports that a journal could not be opened or inspected.
type OpenError struct {
	Dir string
	Err error
}

// Error implements error.
func (e *OpenError) Error() string { return fmt.Sprintf("journal: open %s: %v", e.Dir, e.Err) }

// Unwrap returns Err.
func (e *OpenError) Unwrap() error { return e.Err }

// RecordError reports that the state of a key could not be made durable.
type RecordError struct {
	Key string
	Err error // wraps store.ErrFull, store.ErrClosed, store.ErrDegraded or another error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("journal: record key %q: %v", e.Key, e.Err) }

// Unwrap returns Err.
func (e *RecordError) Unwrap() error { return e.Err }
