package journal

import "fmt"

// OpenError reports a journal that could not be opened or inspected.
type OpenError struct {
	Dir string
	Err error
}

// Error implements error.
func (e *OpenError) Error() string { return fmt.Sprintf("journal: open %s: %v", e.Dir, e.Err) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// RecordError reports a key's state that could not be made durable.
type RecordError struct {
	Key string
	Err error // store.ErrFull, store.ErrClosed or an I/O error, among others
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("journal: record key %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }
