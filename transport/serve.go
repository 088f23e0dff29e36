package transport

import (
	"bufio"
	"cmp"
	"errors"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// Serve calls step for each message until the connection ends, and writes what is queued in
// between. It returns nil where the connection was asked to end, else the error that ended
// it: that of step (io.EOF where the peer closed), os.ErrDeadlineExceeded after a time-out,
// or the error of a write. The connection is closed when Serve returns.
//
// A read that was interrupted fails with os.ErrDeadlineExceeded, and step is called again.
// So step must be resumable: it peeks, and discards only once a complete message is there. It
// returns ErrMessageSkipped after it has discarded bytes that are not a message; any other
// error ends the connection.
//
// A deadline that has passed ends nothing by itself: see connState.
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
		nonBlocking := c.source.nonBlocking
		c.source.nonBlocking = false
		switch {
		case err == nil:
			c.messageReceived()
		case errors.Is(err, ErrMessageSkipped):
			c.messageSkipped()
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.examined = nonBlocking && !c.source.lastReadFailed()
			if reason := c.decideEnd(); reason != "" {
				return c.halfClose(reason, endError(reason))
			}
		default:
			return c.halfClose(c.readEndReason(err), err)
		}
	}
}

// prepareRead sets whether the next read only examines the socket without blocking: where
// there is a request, or the deadline has passed, and the socket was not examined since. It
// reports whether requestClose ends the connection.
func (c *Conn) prepareRead() (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.request != requestNone || c.expiredLocked()
	c.source.nonBlocking = due && !c.examined
	c.examined = false
	return c.request == requestClose
}

// awaitMessage waits for the first byte of a message and starts the message's time-out.
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
	hasDeadline := !c.readDeadline.IsZero()
	c.mu.Unlock()
	if !hasDeadline {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	return nil
}

// messageReceived records that a step has read a complete message. That cancels
// requestCloseIfIdle and the message's time-out.
func (c *Conn) messageReceived() {
	c.ending.Messages++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActive, c.receivedMessage = time.Now(), true
	c.source.resetMessageTimes()
	if c.request == requestCloseIfIdle {
		c.request = requestNone
	}
	if c.stallTimeout > 0 && c.request != requestDrain {
		c.readDeadline = time.Time{} // applied by the next flush
	}
}

// messageSkipped records that a step has discarded bytes that are not a message.
func (c *Conn) messageSkipped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source.resetMessageTimes()
	if c.request != requestDrain {
		c.readDeadline = time.Now().Add(skippedMessageGrace) // applied by the next flush
	}
}

// decideEnd carries out what was asked for, or what a passed deadline demands, after a read
// that returned no complete message. It returns why the connection is to end, or "".
func (c *Conn) decideEnd() EndReason {
	if !c.examined { // the read was interrupted: the next one examines the socket if need be
		return ""
	}
	x := examination{facts: c.connectionFacts()}
	c.mu.Lock()
	x.request, x.untilDrain, x.deadlinePassed = c.request, time.Until(c.drainDeadline), c.expiredLocked()
	c.mu.Unlock()
	v := x.decide()
	if v.requestDone {
		c.clearRequest(x.request)
	}
	if v.examineAgain {
		c.examineAfter(v.examineAfter)
	}
	return v.end
}

// connectionFacts collects what guard.MayClose decides by. Where the connection may be about
// to end for idling, it notifies the peer, as the time that the peer then has is one of the
// facts.
func (c *Conn) connectionFacts() guard.ConnectionState {
	facts := guard.ConnectionState{
		SocketDrained: c.examined, ResponsesPending: c.hasResponsesPending(), MessagePartial: c.reader.Buffered() > 0, StallTimeout: c.stallTimeout,
	}
	now := time.Now()
	if facts.MessagePartial {
		facts.IdleFor = now.Sub(c.source.lastByteAt)
		facts.MessageAge = now.Sub(cmp.Or(c.source.messageBeganAt, c.source.lastByteAt))
	}
	c.mu.Lock()
	request := c.request
	c.mu.Unlock()
	idle := request == requestNone && !facts.MessagePartial && !facts.ResponsesPending
	if c.notifyPeer != nil && (request == requestCloseIfIdle || idle) {
		facts.NoticeRemaining = c.notifyPeer()
	}
	return facts
}

// clearRequest forgets a request that was carried out, unless a later one has replaced it.
func (c *Conn) clearRequest(done connRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request == done {
		c.request = requestNone
	}
}

// examineAfter has the socket examined again after a time.
func (c *Conn) examineAfter(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Now().Add(d)
}

// hasResponsesPending reports whether responses are still to be sent.
func (c *Conn) hasResponsesPending() bool { return c.responsesPending != nil && c.responsesPending() }
