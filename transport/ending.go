package transport

import (
	"cmp"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"quincerail.example/quincerail/guard"
)

// CloseReason says why a connection closed. Its values are metric labels and log attributes.
type CloseReason string

// Reasons why a connection closed.
const (
	PeerClosed  CloseReason = "peer_closed"  // the peer shut down its write side
	PeerFailed  CloseReason = "peer_failed"  // the connection was reset, or a read failed
	BadMessage  CloseReason = "bad_message"  // the handler returned an error, because the peer sent an invalid message
	ReadTimeout CloseReason = "read_timeout" // no complete message arrived in time
	Idle        CloseReason = "idle"         // CloseIfIdle was called, no response was pending and no message was partially read
	Drained     CloseReason = "drained"      // Drain was called, and guard.MayClose allowed the close or the drain deadline had passed
	Abandoned   CloseReason = "abandoned"    // Abandon was called, or the Server reclaimed the connection; no response was pending
	Closed      CloseReason = "closed"       // Close was called
	WriteFailed CloseReason = "write_failed" // queued bytes could not be written, or an abort interrupted the write
	// InputRejected: no memory was left for a message that had not arrived completely.
	InputRejected CloseReason = "input_rejected"
	Aborted       CloseReason = "cut_off" // Abort was called, or the peer left too many bytes unread; no write was interrupted
)

// IsLocal reports whether this process closed the connection, and not an action of its peer.
func (r CloseReason) IsLocal() bool {
	switch r {
	case PeerClosed, PeerFailed, BadMessage:
		return false
	}
	return true
}

// CloseInfo describes how a connection closed. If bytes were discarded or not sent, a
// request or a response may have been lost.
type CloseInfo struct {
	Reason           CloseReason
	Err              error          // the error that ended reading or writing; nil after Close, CloseIfIdle or Drain
	Withheld         guard.Withheld // what the peer withheld, if that is why the connection closed
	ResponsesPending bool           // responses were pending when reading ended
	PartialBytes     int            // of an incomplete message, buffered when reading ended
	DiscardedBytes   int64          // received after reading ended, and discarded
	UnsentBytes      int            // queued but not written
	Messages         int            // complete messages read
	SinceActive      time.Duration  // from the last message read or queued until the close
}

// CloseInfo returns how the connection closed. It may only be called after Serve has
// returned.
func (c *Conn) CloseInfo() CloseInfo { return c.closeInfo }

// readErrorReason returns the close reason for an error that ended reading.
func (c *Conn) readErrorReason(err error) CloseReason {
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

// closeError returns the error of Serve for a connection that this process closes.
func closeError(reason CloseReason) error {
	switch reason {
	case ReadTimeout:
		return os.ErrDeadlineExceeded
	case Abandoned:
		return ErrAbandoned
	}
	return nil
}

// recordWriteFailure records that the connection closes because a flush failed. It returns
// err.
func (c *Conn) recordWriteFailure(err error) error {
	c.closeInfo.Reason, c.closeInfo.Err = WriteFailed, err
	switch {
	case errors.Is(err, ErrPeerNotReading):
		c.closeInfo.Reason = Aborted
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeInfo.Withheld = guard.ReadingWithheld
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.closeInfo.Reason = PeerFailed
	}
	return err
}

// halfClose ends reading, writes the queued bytes, shuts down the write side, and reads until
// the peer closes or the linger timeout has passed. Closing a socket with unread bytes would
// reset the connection, and the peer could lose the last responses. halfClose returns cause,
// or the error of the write if cause is nil.
func (c *Conn) halfClose(reason CloseReason, cause error) error {
	c.source.nonBlocking = false
	c.closeInfo.Reason, c.closeInfo.Err, c.closeInfo.PartialBytes = reason, cause, c.reader.Buffered()
	c.closeInfo.ResponsesPending = c.hasResponsesPending()
	c.closeInfo.Withheld = c.withheldAtTimeout(reason)
	if c.onClose != nil {
		c.onClose(cause)
	}
	c.mu.Lock()
	c.transitionLocked(readingEnded) // from here on Send returns false
	c.mu.Unlock()
	if err := c.flush(); err != nil {
		return cmp.Or(cause, c.recordWriteFailure(err))
	}
	c.mu.Lock()
	c.transitionLocked(queueFlushed)
	if c.aborted {
		c.mu.Unlock()
		return cause
	}
	deadline := time.Now().Add(c.lingerTimeoutFor(reason))
	c.setSocketReadDeadline(deadline)
	c.mu.Unlock()
	if writeCloser, ok := c.netConn.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		c.discardUntil(deadline)
	}
	return cause
}

// lingerTimeoutFor returns how long a connection that closes for the given reason waits for its
// peer to close. It is shorter if others may wait for the connection.
func (c *Conn) lingerTimeoutFor(reason CloseReason) time.Duration {
	if reason == Abandoned || c.overLimit {
		return min(c.lingerTimeout, reclaimLingerTimeout)
	}
	return c.lingerTimeout
}

// withheldAtTimeout returns what the peer of a connection that closes with ReadTimeout or Idle
// has withheld. It returns NothingWithheld if the peer has sent only complete messages, and for
// other reasons.
func (c *Conn) withheldAtTimeout(reason CloseReason) guard.Withheld {
	switch {
	case reason != ReadTimeout && reason != Idle:
		return guard.NothingWithheld
	case c.hasPartialMessage():
		return guard.RestWithheld
	case c.closeInfo.Messages == 0:
		return guard.FirstMessageWithheld
	}
	return guard.NothingWithheld
}

// discardUntil reads and discards bytes until the peer closes or the deadline has passed.
func (c *Conn) discardUntil(deadline time.Time) {
	for {
		n, err := io.Copy(io.Discard, c.source)
		c.closeInfo.DiscardedBytes += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return
		}
	}
}

// close closes the socket and completes the CloseInfo. Serve calls it when it returns.
func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transitionLocked(serveReturned)
	c.aborted = true
	if c.reclaimedFor != guard.NothingWithheld && c.closeInfo.Reason.IsLocal() {
		c.closeInfo.Withheld = c.reclaimedFor
	}
	c.closeInfo.UnsentBytes += len(c.sendQueue)
	c.closeInfo.SinceActive = time.Since(c.lastActive)
	c.closeSocket()
}
