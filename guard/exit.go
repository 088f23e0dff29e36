package guard

import "time"

// Exit is what a draining process knows when it would exit.
type Exit struct {
	PendingConnections int // connections that are to be accepted, or may be
	OpenConnections    int // connections that are not drained, or whose responses are not all written
	UnansweredRequests int
	Checks             int // how often this was asked since the planned exit
}

// A process checks every exitCheckInterval, and maxExitChecks times at most (2 s in all).
// Checks are counted, and not the time, because a process may be paused between two of
// them. A process that is killed meanwhile loses no more than by its own exit.
const (
	exitCheckInterval = 5 * time.Millisecond
	maxExitChecks     = 400
)

// The further reasons for which a process may not exit yet.
const (
	PendingConnections HoldReason = "connections_wait"
	OpenConnections    HoldReason = "open_connections"
)

// MayExit decides whether a process that has reached its planned exit may exit. If it may
// not, it returns the reason, and after how long to ask again.
//
// Inputs: the connections and requests that are left, and the number of checks so far.
// Rule: nothing may be left, up to maxExitChecks. Reason: the process may have been paused
// until the planned moment, so nothing follows from the time.
func MayExit(e Exit) (reason HoldReason, retryAfter time.Duration) {
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
