package guard

import "time"

// Exit is what a process that drains knows as it would end.
type Exit struct {
	Connecting int // connections that wait to be accepted, or may
	Open       int // connections whose sockets were not read empty, or whose answers are not all written
	Unanswered int // requests
	Looks      int // how often this was asked since the end that was planned
}

// While anything is left, the process looks again every exitLook, and maxExitLooks times at
// most. Looks are counted and not time, which a process that stands still does not notice.
// It is killed if that takes too long, and loses no more then than by an end of its own.
const (
	exitLook     = 5 * time.Millisecond
	maxExitLooks = 400
)

// The further reasons for which a process may not end yet.
const (
	ConnectionsWait KeptFor = "connections_wait"
	OpenConnections KeptFor = "open_connections"
)

// MayExit decides whether a process that has reached its planned end may end. It may stand
// still until then, so nothing follows from the time; what it has taken is answered first.
// Where it may not, MayExit returns the reason, and after how long to ask again.
func MayExit(e Exit) (reason KeptFor, again time.Duration) {
	switch {
	case e.Looks >= maxExitLooks:
		return Nothing, 0
	case e.Connecting > 0:
		return ConnectionsWait, exitLook
	case e.Open > 0:
		return OpenConnections, exitLook
	case e.Unanswered > 0:
		return OwedAnswers, exitLook
	}
	return Nothing, 0
}
