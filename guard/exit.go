package guard

import "time"

// Exit is what a process that drains knows as it would end.
type Exit struct {
	PendingConnections int // connections that wait to be accepted, or may
	OpenConnections    int // connections whose sockets were not read empty, or whose answers are not all written
	UnansweredRequests int // requests
	Checks             int // how often this was asked since the end that was planned
}

// While anything is left, the process looks again every exitLook, and maxExitLooks times at
// most. Looks are counted and not time, which a process that stands still does not notice.
// It is killed if that takes too long, and loses no more then than by an end of its own.
const (
	exitCheckInterval = 5 * time.Millisecond
	maxExitChecks     = 400
)

// The further reasons for which a process may not end yet.
const (
	PendingConnections HoldReason = "connections_wait"
	OpenConnections    HoldReason = "open_connections"
)

// MayExit decides whether a process that has reached its planned end may end. It may stand
// still until then, so nothing follows from the time; what it has taken is answered first.
// Where it may not, MayExit returns the reason, and after how long to ask again.
func MayExit(e Exit) (reason HoldReason, again time.Duration) {
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
