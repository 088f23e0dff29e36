package transport

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// Serve calls step for each message until it fails, and writes what is queued
// in between. A read that was interrupted for that fails with
// os.ErrDeadlineExceeded, and the step is called again. So a step must be
// resumable: it peeks, and discards once whole. What it can't take it passes over,
// with ErrSkipped; any other error ends the connection. The connection is
// half-closed, drained and closed when Serve returns.
//
// A deadline that has passed ends nothing by itself, as the process may have stood
// still while a message came: the socket is read empty first, and package guard
// decides.
func (c *Conn) Serve(step func(r *bufio.Reader) error) error {
	defer c.close()
	for {
		if err := c.flush(); err != nil {
			return c.recordWriteFailure(err)
		}
		if c.prepareRead() {
			return c.halfClose(Closed, nil)
		}
		err := c.awaitMessage()
		if err == nil {
			err = step(c.reader)
		}
		nowait := c.source.nonBlocking
		c.source.nonBlocking = false
		switch {
		case err == nil:
			c.messageReceived()
		case errors.Is(err, ErrMessageSkipped):
			c.messageSkipped()
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.examined = nowait && !c.source.lastReadFailed()
			if reason := c.decideEnd(); reason != "" {
				return c.halfClose(reason, endError(reason))
			}
		default:
			return c.halfClose(c.readEndReason(err), err)
		}
	}
}

// endError is what Serve returns for a connection that was ended here.
func endError(reason EndReason) error {
	if reason == ReadTimeout {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// prepareRead sets whether the next read only examines the socket: where something was
// asked for, or the deadline has passed, and no look has followed yet. It tells
// whether the connection is to be closed whatever comes.
func (c *Conn) prepareRead() (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.request != requestNone || c.expiredLocked()
	c.source.nonBlocking = due && !c.examined
	c.examined = false
	return c.request == requestClose
}

// decideEnd settles what was asked for, or a deadline that has passed, after a read that
// gave no whole message. It returns why the connection is to end; "" if it goes on.
func (c *Conn) decideEnd() EndReason {
	if !c.examined { // the read was interrupted: the next one examines the socket if need be
		return ""
	}
	facts := c.connectionFacts()
	c.mu.Lock()
	requested, by, expired := c.request, c.drainDeadline, c.expiredLocked()
	c.mu.Unlock()
	switch {
	case requested == requestMark:
		c.clearRequest(requestMark)
	case requested == requestCloseIfIdle:
		if reason, _ := guard.MayEnd(facts); reason == guard.Nothing && !facts.Partial {
			return Idle
		}
		c.clearRequest(requestCloseIfIdle)
	case requested == requestDrain:
		facts.Last = !time.Now().Before(by)
		reason, again := guard.MayEnd(facts)
		if reason == guard.Nothing {
			return Drained
		}
		c.examineAfter(min(again, time.Until(by)))
	case expired:
		reason, again := guard.MayEnd(facts)
		if reason == guard.Nothing {
			return ReadTimeout
		}
		if reason == guard.OwedAnswers {
			again = pendingCheckInterval
		}
		c.examineAfter(again)
	}
	return ""
}

// connectionFacts collects what counts for the end of the connection.
func (c *Conn) connectionFacts() guard.Connection {
	facts := guard.Connection{Examined: c.examined, Owed: c.hasResponsesPending(), Partial: c.reader.Buffered() > 0, Stalled: c.stallTimeout}
	now := time.Now()
	if facts.Partial {
		facts.SilentFor = now.Sub(c.source.lastByteAt)
		facts.PartialFor = now.Sub(cmp.Or(c.source.messageBeganAt, c.source.lastByteAt))
	}
	c.mu.Lock()
	notice, requested := c.notifyPeer, c.request
	c.mu.Unlock()
	if notice != nil && (requested == requestCloseIfIdle || requested == requestNone && !facts.Partial && !facts.Owed) {
		facts.NoticeLeft = notice()
	}
	return facts
}

// clearRequest forgets a request that was carried out, unless a greater one has come.
func (c *Conn) clearRequest(done connRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == done {
		c.request = requestNone
	}
}

// examineAfter has the socket examined again after a time.
func (c *Conn) examineAfter(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Now().Add(after)
}

func (c *Conn) hasResponsesPending() bool { return c.responsesPending != nil && c.responsesPending() }

// awaitMessage waits for a message's first byte, from which on its time counts.
func (c *Conn) awaitMessage() error {
	if c.stallTimeout == 0 {
		return nil
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	if c.source.messageBeganAt.IsZero() {
		c.source.messageBeganAt = c.source.lastByteAt
	}
	c.mu.Lock()
	waiting := !c.readDeadline.IsZero()
	c.mu.Unlock()
	if !waiting {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	return nil
}

// messageReceived takes in that a whole message has come. A connection that was to end if idle
// goes on with it.
func (c *Conn) messageReceived() {
	c.ending.Messages++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActive, c.receivedMessage = time.Now(), true
	c.source.partReadAt, c.source.messageBeganAt = time.Time{}, time.Time{}
	if c.request == requestCloseIfIdle {
		c.request = requestNone
	}
	if c.stallTimeout > 0 && c.request != requestDrain {
		c.readDeadline = time.Time{} // the next flush has the reads go by it
	}
}

// messageSkipped takes in that something was passed over which is no message.
func (c *Conn) messageSkipped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source.partReadAt, c.source.messageBeganAt = time.Time{}, time.Time{}
	if c.request != requestDrain {
		c.readDeadline = time.Now().Add(skippedMessageGrace) // the next flush has the reads go by it
	}
}

// halfClose writes what is queued, shuts the writing end and reads to the peer's
// end, for a bounded time: a close over unread bytes would reset the connection
// and could take the last answers away. It gives the error that it is called with.
func (c *Conn) halfClose(reason EndReason, why error) error {
	c.source.nonBlocking = false
	c.ending.Reason, c.ending.Err, c.ending.PartialBytes, c.ending.ResponsesPending = reason, why, c.reader.Buffered(), c.hasResponsesPending()
	if c.onClose != nil {
		c.onClose(why)
	}
	c.mu.Lock()
	c.state = stateClosing // what comes to be sent from here on is told so
	c.mu.Unlock()
	if err := c.flush(); err != nil {
		return cmp.Or(why, c.recordWriteFailure(err))
	}
	c.mu.Lock()
	c.state = stateHalfClosed
	if c.aborted {
		c.mu.Unlock()
		return why
	}
	until := time.Now().Add(c.lingerTimeout)
	c.netConn.SetReadDeadline(until)
	c.mu.Unlock()
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.discardUntil(until)
	}
	return why
}

// discardUntil reads and drops what comes until the peer's end, or a time.
func (c *Conn) discardUntil(until time.Time) {
	for {
		n, err := io.Copy(io.Discard, c.source)
		c.ending.DiscardedBytes += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return
		}
	}
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.aborted = stateClosed, true
	c.ending.UnsentBytes += len(c.sendQueue)
	c.ending.SinceActive = time.Since(c.lastActive)
	c.netConn.Close()
}

// Expired tells whether a read's time-out was the connection's own deadline, and the
// socket was found empty after it had passed. It is asked within a step.
func (c *Conn) Expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.source.nonBlocking || c.examined) && c.expiredLocked()
}

// expiredLocked tells whether the deadline has passed. The lock is held.
func (c *Conn) expiredLocked() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}
