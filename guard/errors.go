package guard

// DenialError reports that something was not allowed, and why. Each reason is one of this
// package's errors: compare with them by errors.Is, or tell a denial from other errors by
// errors.As.
type DenialError struct{ Reason string }

// Error implements error.
func (e *DenialError) Error() string { return "guard: " + e.Reason }
