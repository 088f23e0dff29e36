package config

import "fmt"

// KeyError reports that a setting is missing or invalid.
type KeyError struct {
	Key string // the setting's path in the file, or the environment variable or flag that names the file
	Err error  // the reason
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason.
func keyErrorf(key, format string, args ...any) *KeyError {
	return &KeyError{key, fmt.Errorf(format, args...)}
}
