package transport

import (
	"cmp"
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
	PeerClosed  EndReason = "peer_closed"  // the peer shut its writing side
	PeerFailed  EndReason = "peer_failed"  // the connection was reset, or a read failed
	BadMessage  EndReason = "bad_message"  // the peer sent what is not a message: a step failed
	ReadTimeout EndReason = "read_timeout" // no complete message arrived in time
	Idle        EndReason = "idle"         // CloseIfIdle, with no response pending and no part of a message
	Drained     EndReason = "drained"      // Drain, and guard.MayClose allowed it or the drain deadline had passed
	Closed      EndReason = "closed"       // Close
	WriteFailed EndReason = "write_failed" // what was queued could not be written
	Aborted     EndReason = "cut_off"      // Abort, or the peer left too much unread
)

// IsLocal reports whether this process ended the connection, and not what its peer did.
func (r EndReason) IsLocal() bool {
	switch r {
	case PeerClosed, PeerFailed, BadMessage:
		return false
	}
	return true
}

// Ending describes how a connection ended. Where bytes were discarded or not sent, a
// request may have been lost with them.
type Ending struct {
	Reason           EndReason
	Err              error         // what ended the reading or writing; nil where the connection was asked to end
	ResponsesPending bool          // when reading ended
	PartialBytes     int           // of an incomplete message that was buffered when reading ended
	DiscardedBytes   int64         // that arrived later
	UnsentBytes      int           // that were queued and not written
	Messages         int           // complete messages that were read
	SinceActive      time.Duration // from the last message read or queued to the end
}

// End returns how the connection ended. It may only be called once Serve has returned.
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

// endError is what Serve returns for a connection that this process ends.
func endError(reason EndReason) error {
	if reason == ReadTimeout {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// recordWriteFailure records that the connection ends because a flush failed. It returns
// the error that it is called with.
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

// halfClose ends the reading, writes what is queued, shuts the writing side, and reads until the peer closes
// or the linger time-out has passed: a close over unread bytes would reset the connection
// and could destroy the last responses. It returns the error that it is called with.
func (c *Conn) halfClose(reason EndReason, why error) error {
	c.source.nonBlocking = false
	c.ending.Reason, c.ending.Err, c.ending.PartialBytes = reason, why, c.reader.Buffered()
	c.ending.ResponsesPending = c.hasResponsesPending()
	if c.onClose != nil {
		c.onClose(why)
	}
	c.mu.Lock()
	c.moveStateLocked(readingEnded) // Send refuses from here on
	c.mu.Unlock()
	if err := c.flush(); err != nil {
		return cmp.Or(why, c.recordWriteFailure(err))
	}
	c.mu.Lock()
	c.moveStateLocked(queueFlushed)
	if c.aborted {
		c.mu.Unlock()
		return why
	}
	deadline := time.Now().Add(c.lingerTimeout)
	c.applyReadDeadline(deadline)
	c.mu.Unlock()
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.discardUntil(deadline)
	}
	return why
}

// discardUntil reads and drops what arrives until the peer closes, or the deadline.
func (c *Conn) discardUntil(deadline time.Time) {
	for {
		n, err := io.Copy(io.Discard, c.source)
		c.ending.DiscardedBytes += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return
		}
	}
}

// close closes the socket and completes the Ending. Serve calls it as it returns.
func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moveStateLocked(serveReturned)
	c.aborted = true
	c.ending.UnsentBytes += len(c.sendQueue)
	c.ending.SinceActive = time.Since(c.lastActive)
	c.closeSocket()
}
