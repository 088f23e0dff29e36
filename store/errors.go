package store

import "errors"

// ErrFull is given for a write that would take the live records over MaxBytes.
var ErrFull = errors.New("store: full")

// ErrClosed is given for a write after Close.
var ErrClosed = errors.New("store: closed")

// errTooLarge is given for a record over maxPayloadBytes, or a key over
// maxKeyBytes.
var errTooLarge = errors.New("record too large")
