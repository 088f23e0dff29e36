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
			return c.abort(err)
		}
		if c.prepare() {
			return c.halfClose(Closed, nil)
		}
		err := c.expect()
		if err == nil {
			err = step(c.r)
		}
		nowait := c.src.nowait
		c.src.nowait = false
		switch {
		case err == nil:
			c.taken()
		case errors.Is(err, ErrMessageSkipped):
			c.skipped()
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.examined = nowait && !c.src.failed()
			if reason := c.decide(); reason != "" {
				return c.halfClose(reason, endError(reason))
			}
		default:
			return c.halfClose(c.reason(err), err)
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

// prepare sets whether the next read only examines the socket: where something was
// asked for, or the deadline has passed, and no look has followed yet. It tells
// whether the connection is to be closed whatever comes.
func (c *Conn) prepare() (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.requested != noRequest || c.expiredLocked()
	c.src.nowait = due && !c.examined
	c.examined = false
	return c.requested == closeNow
}

// decide settles what was asked for, or a deadline that has passed, after a read that
// gave no whole message. It returns why the connection is to end; "" if it goes on.
func (c *Conn) decide() EndReason {
	if !c.examined { // the read was interrupted: the next one examines the socket if need be
		return ""
	}
	facts := c.facts()
	c.mu.Lock()
	requested, by, expired := c.requested, c.drainBy, c.expiredLocked()
	c.mu.Unlock()
	switch {
	case requested == mark:
		c.settle(mark)
	case requested == closeIfIdle:
		if reason, _ := guard.MayClose(facts); reason == guard.NotHeld && !facts.MessagePartial {
			return Idle
		}
		c.settle(closeIfIdle)
	case requested == drain:
		facts.ProcessEnding = !time.Now().Before(by)
		reason, again := guard.MayClose(facts)
		if reason == guard.NotHeld {
			return Drained
		}
		c.lookAgain(min(again, time.Until(by)))
	case expired:
		reason, again := guard.MayClose(facts)
		if reason == guard.NotHeld {
			return ReadTimeout
		}
		if reason == guard.PendingResponses {
			again = owedEvery
		}
		c.lookAgain(again)
	}
	return ""
}

// facts collects what counts for the end of the connection.
func (c *Conn) facts() guard.Connection {
	facts := guard.Connection{SocketDrained: c.examined, ResponsesPending: c.owes(), MessagePartial: c.r.Buffered() > 0, StallTimeout: c.standsStill}
	now := time.Now()
	if facts.MessagePartial {
		facts.IdleFor = now.Sub(c.src.byteAt)
		facts.MessageAge = now.Sub(cmp.Or(c.src.beganAt, c.src.byteAt))
	}
	c.mu.Lock()
	notice, requested := c.noticeLeft, c.requested
	c.mu.Unlock()
	if notice != nil && (requested == closeIfIdle || requested == noRequest && !facts.MessagePartial && !facts.ResponsesPending) {
		facts.NoticeRemaining = notice()
	}
	return facts
}

// settle forgets a request that was carried out, unless a greater one has come.
func (c *Conn) settle(done request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requested == done {
		c.requested = noRequest
	}
}

// lookAgain has the socket examined again after a time.
func (c *Conn) lookAgain(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = time.Now().Add(after)
}

func (c *Conn) owes() bool { return c.owed != nil && c.owed() }

// expect waits for a message's first byte, from which on its time counts.
func (c *Conn) expect() error {
	if c.standsStill == 0 {
		return nil
	}
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	if c.src.beganAt.IsZero() {
		c.src.beganAt = c.src.byteAt
	}
	c.mu.Lock()
	waiting := !c.deadline.IsZero()
	c.mu.Unlock()
	if !waiting {
		c.SetReadDeadline(time.Now().Add(c.standsStill))
	}
	return nil
}

// taken takes in that a whole message has come. A connection that was to end if idle
// goes on with it.
func (c *Conn) taken() {
	c.end.Messages++
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.spoken = time.Now(), true
	c.src.partAt, c.src.beganAt = time.Time{}, time.Time{}
	if c.requested == closeIfIdle {
		c.requested = noRequest
	}
	if c.standsStill > 0 && c.requested != drain {
		c.deadline = time.Time{} // the next flush has the reads go by it
	}
}

// skipped takes in that something was passed over which is no message.
func (c *Conn) skipped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.src.partAt, c.src.beganAt = time.Time{}, time.Time{}
	if c.requested != drain {
		c.deadline = time.Now().Add(skipNotice) // the next flush has the reads go by it
	}
}

// halfClose writes what is queued, shuts the writing end and reads to the peer's
// end, for a bounded time: a close over unread bytes would reset the connection
// and could take the last answers away. It gives the error that it is called with.
func (c *Conn) halfClose(reason EndReason, why error) error {
	c.src.nowait = false
	c.end.Reason, c.end.Err, c.end.Partial, c.end.Owed = reason, why, c.r.Buffered(), c.owes()
	if c.ending != nil {
		c.ending(why)
	}
	c.mu.Lock()
	c.state = closing // what comes to be sent from here on is told so
	c.mu.Unlock()
	if err := c.flush(); err != nil {
		return cmp.Or(why, c.abort(err))
	}
	c.mu.Lock()
	c.state = halfClosed
	if c.aborted {
		c.mu.Unlock()
		return why
	}
	until := time.Now().Add(c.drainPeriod)
	c.nc.SetReadDeadline(until)
	c.mu.Unlock()
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.discardUntil(until)
	}
	return why
}

// discardUntil reads and drops what comes until the peer's end, or a time.
func (c *Conn) discardUntil(until time.Time) {
	for {
		n, err := io.Copy(io.Discard, c.src)
		c.end.Discarded += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until) {
			return
		}
	}
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.aborted = closed, true
	c.end.Unsent += len(c.queue)
	c.end.SinceActive = time.Since(c.last)
	c.nc.Close()
}

// Expired tells whether a read's time-out was the connection's own deadline, and the
// socket was found empty after it had passed. It is asked within a step.
func (c *Conn) Expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.src.nowait || c.examined) && c.expiredLocked()
}

// expiredLocked tells whether the deadline has passed. The lock is held.
func (c *Conn) expiredLocked() bool {
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}
