package transport

import (
	"errors"
	"fmt"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// A flush is given up after so many attempts in a row that write nothing. Each has a
// deadline of its own: a process that stood still over one has not tried.
const (
	writeAttemptTimeout  = 500 * time.Millisecond
	maxIdleWriteAttempts = int(guard.MaxMessage / writeAttemptTimeout) // a client may wait so long, and read then
	writeTimeout         = guard.MaxMessage
)

// flush writes the queue and sets the deadline of the next read.
func (c *Conn) flush() error {
	for {
		c.mu.Lock()
		if c.aborted {
			c.mu.Unlock()
			return ErrPeerNotReading
		}
		if len(c.sendQueue) == 0 {
			c.woken = false
			c.netConn.SetReadDeadline(c.readDeadline)
			c.mu.Unlock()
			return nil
		}
		out := c.sendQueue
		c.sendQueue = nil
		c.mu.Unlock()
		if unsent, err := c.write(out); err != nil {
			c.ending.UnsentBytes += unsent
			return fmt.Errorf("writing: %w", err)
		}
	}
}

// write writes all of p. What the system refuses for a moment is tried again, from
// the byte on that was not written. It returns how many bytes were not written.
func (c *Conn) write(p []byte) (unsent int, err error) {
	for attempts, failures := 0, 0; len(p) > 0; {
		c.netConn.SetWriteDeadline(time.Now().Add(writeAttemptTimeout))
		n, err := c.netConn.Write(p)
		p = p[n:]
		if n > 0 {
			attempts, failures = 0, 0
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if attempts++; attempts == maxIdleWriteAttempts {
				return len(p), err
			}
		case guard.MayTryAgain(err, failures+1) == nil:
			failures++
			time.Sleep(retryPause)
		default:
			return len(p), err
		}
	}
	return 0, nil
}
