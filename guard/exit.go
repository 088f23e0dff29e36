package guard

import "time"

// ExitState is the state of a draining process whose planned exit time has passed.
type ExitState struct {
	PendingConnections int // connections that wait, or may wait, to be accepted
	OpenConnections    int // connections that are not drained, or whose responses are not all written
	UnansweredRequests int
	Checks             int // earlier calls of MayExit since the planned exit time
}

// A process checks every exitCheckInterval, at most maxExitChecks times (2 s in all). The
// limit is a number of checks rather than a time because the process may be suspended
// between two checks. A process that is killed while it waits loses no more requests than
// if it had exited itself.
const (
	exitCheckInterval = 5 * time.Millisecond
	maxExitChecks     = 400
)

// The reasons that only [MayExit] returns.
const (
	PendingConnections HoldReason = "connections_wait"
	OpenConnections    HoldReason = "open_connections"
)

// MayExit decides whether a process whose planned exit time has passed may exit. If not, it
// returns the reason, and the time after which to check again.
//
// Inputs: the connections and requests that are left, and the number of checks so far.
// Rule: the process exits once none is left, or after maxExitChecks checks. Reason: the
// process may have been suspended until the planned time, so the passed time doesn't show
// that the requests were answered.
func MayExit(e ExitState) (reason HoldReason, retryAfter time.Duration) {
	switch {
	case e.Checks >= maxExitChecks:
		return NotHeld, 0
	case e.PendingConnections > 0:
		return PendingConnections, exitCheckInterval
	case e.OpenConnections > 0:
		return OpenConnections, exitCheckInterval
	case e.UnansweredRequests > 0:
		return PendingResponses, exitCheckInterval
	}
	return NotHeld, 0
}
