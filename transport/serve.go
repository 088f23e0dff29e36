package transport

import (
	"bufio"
	"cmp"
	"errors"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// Serve calls handler for each message until the connection closes, and writes queued bytes
// between the calls. It returns nil if the connection was closed by Close, CloseIfIdle or
// Drain, else the error that ended it: the error of handler (io.EOF if the peer closed),
// os.ErrDeadlineExceeded after a timeout, or the error of a write. The connection is closed
// when Serve returns.
//
// An interrupted read fails with os.ErrDeadlineExceeded, and Serve calls handler again.
// Therefore handler must be resumable: it peeks, and discards bytes only once a complete
// message is buffered. It returns ErrMessageSkipped after it has discarded bytes that are
// not a message. Any other error closes the connection.
//
// A passed deadline alone does not close the connection: see connState.
func (c *Conn) Serve(handler func(r *bufio.Reader) error) error {
	defer c.close()
	c.startServing()
	for {
		if err := c.flush(); err != nil {
			return c.recordWriteFailure(err)
		}
		if c.awaitTurn() {
			continue
		}
		if c.prepareRead() {
			return c.halfClose(Closed, nil)
		}
		err := c.handleMessage(handler)
		nonBlocking := c.source.nonBlocking
		c.source.nonBlocking = false
		switch {
		case err == nil:
			c.messageReceived()
		case errors.Is(err, ErrMessageSkipped):
			c.messageSkipped()
		case c.needsLargerBuffer(err):
			if err := c.growReader(); err != nil {
				return c.halfClose(InputRejected, err)
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.socketDrained = nonBlocking && !c.source.lastReadFailed()
			if reason := c.decideClose(); reason != "" {
				return c.halfClose(reason, closeError(reason))
			}
		default:
			return c.halfClose(c.readErrorReason(err), err)
		}
	}
}

// startServing records that Serve was called, so that the fields that are constant from then
// on may be read by other goroutines.
func (c *Conn) startServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
}

// prepareRead makes the next read non-blocking if a command is set or the read deadline has
// passed, unless the last read has just found the socket empty. It reports whether
// commandClose is set.
func (c *Conn) prepareRead() (closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCommand, c.readBeganAt = c.command, time.Now()
	due := c.command != commandNone || c.deadlinePassedLocked()
	c.source.nonBlocking = due && !c.socketDrained
	c.socketDrained = false
	return c.command == commandClose
}

// handleMessage waits for a message and calls the handler.
func (c *Conn) handleMessage(handler func(r *bufio.Reader) error) error {
	if err := c.awaitMessage(); err != nil {
		return err
	}
	return handler(c.reader)
}

// awaitMessage waits for the first byte of a message and starts the timeout of the message.
func (c *Conn) awaitMessage() error {
	if c.stallTimeout == 0 {
		return nil
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	if c.source.messageStartedAt.get().IsZero() {
		c.source.messageStartedAt.set(c.source.lastByteAt.get())
	}
	c.mu.Lock()
	hasDeadline := !c.readDeadline.IsZero()
	c.mu.Unlock()
	if !hasDeadline {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
	}
	return nil
}

// messageReceived records that the handler has read a complete message. It cancels
// commandCloseIfIdle, commandAbandon and the timeout of the message.
func (c *Conn) messageReceived() {
	c.closeInfo.Messages++
	c.source.turn.countMessage()
	if c.inputBudget != nil {
		c.shrinkReader()
		c.inputBudget.keep(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastActive, c.receivedMessage = time.Now(), true
	c.source.resetMessageTimes()
	if c.command == commandCloseIfIdle || c.command == commandAbandon {
		c.command = commandNone
	}
	c.reclaimedFor = guard.NothingWithheld
	if c.stallTimeout > 0 && c.command != commandDrain {
		c.readDeadline = time.Time{} // applied by the next flush
	}
}

// messageSkipped records that the handler has discarded bytes that are not a message.
func (c *Conn) messageSkipped() {
	c.source.turn.countMessage()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source.resetMessageTimes()
	if c.command != commandDrain {
		c.readDeadline = time.Now().Add(skippedMessageTimeout) // applied by the next flush
	}
}

// decideClose carries out the command or handles a passed read deadline, after a read that
// completed no message. It decides about the command and the time at which that read began: a
// message may have arrived since. It returns why the connection is to close, or "" if it stays open.
func (c *Conn) decideClose() CloseReason {
	if !c.socketDrained { // the read was interrupted; the next one does not block if a check is due
		return ""
	}
	check := closeCheck{facts: c.closeFacts()}
	c.mu.Lock()
	changed := c.command != c.readCommand
	check.command, check.untilDrain = c.command, c.drainDeadline.Sub(c.readBeganAt)
	check.deadlinePassed = !c.readDeadline.IsZero() && !c.readBeganAt.Before(c.readDeadline)
	c.mu.Unlock()
	if changed { // the process may have been suspended since the read, so the socket is read again
		c.socketDrained = false
		return ""
	}
	decision := check.decide()
	if decision.commandDone {
		c.clearCommand(check.command)
	}
	if decision.recheck {
		c.scheduleCheck(decision.recheckAfter)
	}
	return decision.reason
}

// closeFacts returns the inputs of guard.MayClose. If the connection may be about to close
// because it is idle, closeFacts notifies the peer, because the remaining notice period is
// one of the inputs.
func (c *Conn) closeFacts() guard.ConnectionState {
	facts := guard.ConnectionState{
		SocketDrained: c.socketDrained, ResponsesPending: c.hasResponsesPending(), MessagePartial: c.hasPartialMessage(), StallTimeout: c.stallTimeout,
	}
	now := time.Now()
	if facts.MessagePartial {
		lastByteAt := c.source.lastByteAt.get()
		facts.IdleFor = now.Sub(lastByteAt)
		facts.MessageAge = now.Sub(cmp.Or(c.source.messageStartedAt.get(), lastByteAt))
	}
	c.mu.Lock()
	command := c.command
	c.mu.Unlock()
	idle := command == commandNone && !facts.MessagePartial && !facts.ResponsesPending
	if c.notifyPeer != nil && (command == commandCloseIfIdle || idle) {
		facts.NoticeRemaining = c.notifyPeer()
	}
	return facts
}

// clearCommand clears a command that was carried out, unless another one has replaced it.
func (c *Conn) clearCommand(done connCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done == commandAbandon {
		c.reclaimedFor = guard.NothingWithheld
	}
	if c.command == done {
		c.command = commandNone
	}
}

// scheduleCheck sets the read deadline so that the socket is checked again after d.
func (c *Conn) scheduleCheck(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = time.Now().Add(d)
}

// hasPartialMessage reports whether a part of a message was read, and is buffered or kept by
// the handler.
func (c *Conn) hasPartialMessage() bool {
	return c.reader.Buffered() > 0 || c.handlerKeepsPart != nil && c.handlerKeepsPart()
}

// hasResponsesPending reports whether responses are still to be sent.
func (c *Conn) hasResponsesPending() bool { return c.responsesPending != nil && c.responsesPending() }
