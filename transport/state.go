package transport

import (
	"time"

	"quincerail.example/quincerail/guard"
)

// connState is the state of a connection, in the sense of net/http's ConnState. The
// goroutine of Serve owns it and changes it in one place, moveStateLocked. Other goroutines only
// leave a connRequest, which that goroutine reads.
//
// # States and transitions
//
//	state            event           next state
//	stateOpen        readingEnded    stateClosing
//	stateClosing     queueFlushed    stateHalfClosed
//	any              serveReturned   stateClosed
//
// Any other event leaves the state as it is.
//
// # What ends the reading of an open connection
//
// A failed step and requestClose end the reading at once. Everything else is decided by
// examination.decide, and only after a read without blocking has found the socket empty:
// the process may have been suspended while a message arrived, so a timer proves nothing.
// Whether a connection may end is up to guard.MayClose.
//
//	request              the guard allows the end    the guard forbids it
//	requestNone          stays open                  stays open
//	  deadline passed    ends: ReadTimeout           is examined again later
//	requestMark          stays open, request done    stays open, request done
//	requestCloseIfIdle   ends: Idle (*)              stays open, request done
//	requestDrain         ends: Drained               is examined again, at the latest at
//	                                                 the drain deadline, which always ends it
//	requestClose         ends: Closed, without being examined
//
// (*) Only where no part of a message is buffered, even one that has stalled.
type connState int

const (
	// stateOpen: messages are read and given to the step; what is queued is written.
	stateOpen connState = iota

	// stateClosing: no more messages are read and Send refuses; what was queued before is
	// being written.
	stateClosing

	// stateHalfClosed: the writing side is shut; what the peer still sends is read and
	// dropped, because a close over unread bytes would reset the connection and the peer
	// could lose the last responses.
	stateHalfClosed

	// stateClosed: the socket is closed.
	stateClosed
)

// connEvent is what moves a connection from a state to the next.
type connEvent int

const (
	readingEnded  connEvent = iota // no further message is read
	queueFlushed                   // everything that was queued is written
	serveReturned                  // Serve returns, for whatever reason
)

// next returns the state that follows an event.
func (s connState) next(e connEvent) connState {
	switch {
	case e == serveReturned:
		return stateClosed
	case s == stateOpen && e == readingEnded:
		return stateClosing
	case s == stateClosing && e == queueFlushed:
		return stateHalfClosed
	}
	return s
}

// moveStateLocked changes the state. Only the goroutine of Serve calls it; the lock is held.
func (c *Conn) moveStateLocked(e connEvent) { c.state = c.state.next(e) }

// connRequest is what another goroutine has asked of a connection. A later constant takes
// precedence over an earlier one.
type connRequest int

const (
	// requestNone: nothing is asked for.
	requestNone connRequest = iota

	// requestMark: read what has arrived by now, so that a message that completes later
	// is known to have done so.
	requestMark

	// requestCloseIfIdle: end, unless a part of a message is there or a response is pending.
	requestCloseIfIdle

	// requestDrain: end as soon as that is allowed, and at the drain deadline in any case.
	requestDrain

	// requestClose: end once what is queued is written.
	requestClose
)

// examination is what is known of an open connection whose socket was found empty.
type examination struct {
	facts          guard.ConnectionState
	request        connRequest
	untilDrain     time.Duration // until the drain deadline
	deadlinePassed bool          // the read deadline
}

// verdict is what becomes of an examined connection.
type verdict struct {
	end          EndReason // why it ends; empty if it stays open
	requestDone  bool      // the request was carried out
	examineAgain bool      // after examineAfter
	examineAfter time.Duration
}

// decide applies the table of connState to a connection that was examined. It changes
// nothing.
func (x examination) decide() verdict {
	switch {
	case x.request == requestMark:
		return verdict{requestDone: true}
	case x.request == requestCloseIfIdle:
		if reason, _ := guard.MayClose(x.facts); reason == guard.NotHeld && !x.facts.MessagePartial {
			return verdict{end: Idle}
		}
		return verdict{requestDone: true}
	case x.request == requestDrain:
		x.facts.ProcessExiting = x.untilDrain <= 0
		reason, again := guard.MayClose(x.facts)
		if reason == guard.NotHeld {
			return verdict{end: Drained}
		}
		return verdict{examineAgain: true, examineAfter: min(again, x.untilDrain)}
	case x.deadlinePassed:
		return x.decideAfterDeadline()
	}
	return verdict{}
}

// decideAfterDeadline decides about a connection that nothing was asked of and whose read
// deadline has passed.
func (x examination) decideAfterDeadline() verdict {
	reason, again := guard.MayClose(x.facts)
	switch reason {
	case guard.NotHeld:
		return verdict{end: ReadTimeout}
	case guard.PendingResponses:
		again = pendingCheckInterval
	}
	return verdict{examineAgain: true, examineAfter: again}
}
