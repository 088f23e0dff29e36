package guard

// DenialError reports that an action is not allowed, and why. Each denial is one of this
// package's Err variables, to compare with by errors.Is. errors.As detects any of them.
type DenialError struct{ Reason string }

// Error implements error.
func (e *DenialError) Error() string { return "guard: " + e.Reason }
