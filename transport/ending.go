package transport

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// EndReason says why a connection ended. Its values are labels of metrics and logs.
type EndReason string

// The reasons.
const (
	PeerClosed  EndReason = "peer_closed"  // the peer shut its writing end
	PeerFailed  EndReason = "peer_failed"  // the connection was reset, or a read failed
	BadMessage  EndReason = "bad_message"  // the peer sent what is no message
	ReadTimeout EndReason = "read_timeout" // no whole message came in time
	Idle        EndReason = "idle"         // it was asked to end, and nothing was open on it
	Drained     EndReason = "drained"      // it was asked to drain, and nothing was open on it or its time was over
	Closed      EndReason = "closed"       // it was asked to end whatever comes
	WriteFailed EndReason = "write_failed" // what was queued could not be written
	Aborted     EndReason = "cut_off"      // it was ended at once, or its peer left too much unread
)

// IsLocal reports whether the connection ended by a decision of this process, and not by
// what its peer did.
func (r EndReason) IsLocal() bool {
	switch r {
	case PeerClosed, PeerFailed, BadMessage:
		return false
	}
	return true
}

// Ending is how a connection ended. Bytes that were not taken are what a request may
// have been lost with.
type Ending struct {
	Reason           EndReason
	Err              error         // that ended the reading or writing; nil where it was asked to end
	ResponsesPending bool          // answers were owed when it began to end
	PartialBytes     int           // bytes of a message that was not whole when reading ended
	DiscardedBytes   int64         // bytes that came later and were dropped
	UnsentBytes      int           // bytes of answers that were queued and not written
	Messages         int           // whole messages that were read
	SinceActive      time.Duration // from the last message read or queued to the end
}

// End reports how the connection ended. It holds once Serve has returned.
func (c *Conn) End() Ending { return c.ending }

// readEndReason classifies the error that ended the reading.
func (c *Conn) readEndReason(err error) EndReason {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case c.source.streamErr != nil:
		return PeerFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReadTimeout
	}
	return BadMessage
}

// recordWriteFailure records that the connection ends because a flush failed. It returns the
// error that it is called with.
func (c *Conn) recordWriteFailure(err error) error {
	c.ending.Reason, c.ending.Err = WriteFailed, err
	switch {
	case errors.Is(err, ErrPeerNotReading):
		c.ending.Reason = Aborted
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.ending.Reason = PeerFailed
	}
	return err
}

// PeerAddr is the peer's address.
func (c *Conn) PeerAddr() string {
	if addr := c.netConn.RemoteAddr(); addr != nil {
		return addr.String()
	}
	return ""
}

// Age is how long ago the connection was taken in.
func (c *Conn) Age() time.Duration { return time.Since(c.createdAt) }
