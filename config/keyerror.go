package config

import "fmt"

// KeyError reports that a setting is missing or makes no sense.
type KeyError struct {
	Key string // its path in the file, or the environment variable or flag that names the file
	Err error  // what is wrong with it
}

// Error returns the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted problem.
func keyErrorf(key, format string, args ...any) *KeyError {
	return &KeyError{key, fmt.Errorf(format, args...)}
}
