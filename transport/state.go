package transport

import (
	"time"

	"quincerail.example/quincerail/guard"
)

// connState is the state of a connection, like net/http's ConnState. Only the goroutine of
// Serve changes it, in transitionLocked. Other goroutines set a connCommand, which that
// goroutine carries out.
//
// # States and transitions
//
//	state            event           next state
//	stateOpen        readingEnded    stateClosing
//	stateClosing     queueFlushed    stateHalfClosed
//	any              serveReturned   stateClosed
//
// Any other event leaves the state unchanged.
//
// # When reading of an open connection ends
//
// An error of the handler and commandClose end reading at once. All other cases are decided
// by closeCheck.decide, and only after a non-blocking read has found the socket empty: a
// message may have arrived while the process was suspended, so an expired timer does not
// prove that the connection is idle. guard.MayClose decides whether it may close.
//
//	command                MayClose allows it        MayClose denies it
//	commandNone            stays open                stays open
//	  deadline passed      closes: ReadTimeout       is checked again later
//	commandReadAvailable   stays open, command done  stays open, command done
//	commandCloseIfIdle     closes: Idle (*)          stays open, command done
//	commandAbandon         closes: Abandoned (**)    stays open, command done
//	commandDrain           closes: Drained           is checked again, at the latest at the
//	                                                 drain deadline, when it always closes
//	commandClose           closes: Closed, without a check
//
// (*) Only if no part of a message is buffered, not even of a stalled one.
//
// (**) guard.MayAbandon decides in place of guard.MayClose, even if a part of a message has
// arrived.
type connState int

const (
	// stateOpen: messages are read by the handler, and queued bytes are written.
	stateOpen connState = iota

	// stateClosing: no more messages are read and Send returns false. Bytes queued before
	// are being written.
	stateClosing

	// stateHalfClosed: the write side is shut down. Bytes that the peer still sends are read
	// and discarded, because closing a socket with unread bytes resets the connection and
	// the peer could lose the last responses.
	stateHalfClosed

	// stateClosed: the socket is closed.
	stateClosed
)

// connEvent is an event that may change the state of a connection.
type connEvent int

const (
	readingEnded  connEvent = iota // no more messages are read
	queueFlushed                   // all queued bytes are written
	serveReturned                  // Serve returns, for any reason
)

// next returns the state after an event.
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

// transitionLocked applies an event to the state. Only the goroutine of Serve calls it. The
// caller holds mu.
func (c *Conn) transitionLocked(e connEvent) { c.state = c.state.next(e) }

// connCommand is a command that another goroutine has set for the goroutine of Serve. A
// later constant takes precedence over an earlier one.
type connCommand int

const (
	// commandNone: no command is set.
	commandNone connCommand = iota

	// commandReadAvailable: read all bytes that have arrived by now, so that a message that
	// completes later is known to have done so.
	commandReadAvailable

	// commandCloseIfIdle: close, unless a part of a message has arrived or a response is
	// pending.
	commandCloseIfIdle

	// commandAbandon: close, unless a response is pending. A partial message is abandoned.
	commandAbandon

	// commandDrain: close as soon as that is allowed, at the latest at the drain deadline.
	commandDrain

	// commandClose: close once all queued bytes are written.
	commandClose
)

// closeCheck holds the inputs for the decision whether an open connection closes. The decision
// is made after a non-blocking read has found the socket empty.
type closeCheck struct {
	facts          guard.ConnectionState
	command        connCommand
	untilDrain     time.Duration // until the drain deadline
	deadlinePassed bool          // the read deadline has passed
}

// closeDecision is the result of a closeCheck.
type closeDecision struct {
	reason       CloseReason // why the connection closes; empty if it stays open
	commandDone  bool        // the command is carried out
	recheck      bool        // the socket is to be checked again after recheckAfter
	recheckAfter time.Duration
}

// decide applies the table in the comment of connState. It has no side effects.
func (x closeCheck) decide() closeDecision {
	switch {
	case x.command == commandReadAvailable:
		return closeDecision{commandDone: true}
	case x.command == commandCloseIfIdle:
		if reason, _ := guard.MayClose(x.facts); reason == guard.NotHeld && !x.facts.MessagePartial {
			return closeDecision{reason: Idle}
		}
		return closeDecision{commandDone: true}
	case x.command == commandAbandon:
		if guard.MayAbandon(x.facts) == guard.NotHeld {
			return closeDecision{reason: Abandoned}
		}
		return closeDecision{commandDone: true}
	case x.command == commandDrain:
		x.facts.ProcessExiting = x.untilDrain <= 0
		reason, retryAfter := guard.MayClose(x.facts)
		if reason == guard.NotHeld {
			return closeDecision{reason: Drained}
		}
		return closeDecision{recheck: true, recheckAfter: min(retryAfter, x.untilDrain)}
	case x.deadlinePassed:
		return x.decideAfterDeadline()
	}
	return closeDecision{}
}

// decideAfterDeadline decides for a connection that has no command and whose read deadline
// has passed.
func (x closeCheck) decideAfterDeadline() closeDecision {
	reason, retryAfter := guard.MayClose(x.facts)
	switch reason {
	case guard.NotHeld:
		return closeDecision{reason: ReadTimeout}
	case guard.PendingResponses:
		retryAfter = pendingCheckInterval
	}
	return closeDecision{recheck: true, recheckAfter: retryAfter}
}
