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
	writeAttempt  = 500 * time.Millisecond
	writeAttempts = int(guard.MaxMessageTime / writeAttempt) // a client may wait so long, and read then
	writeTimeout  = guard.MaxMessageTime
)

// flush writes the queue and sets the deadline of the next read.
func (c *Conn) flush() error {
	for {
		c.mu.Lock()
		if c.aborted {
			c.mu.Unlock()
			return ErrPeerNotReading
		}
		if len(c.queue) == 0 {
			c.woken = false
			c.nc.SetReadDeadline(c.deadline)
			c.mu.Unlock()
			return nil
		}
		out := c.queue
		c.queue = nil
		c.mu.Unlock()
		if unsent, err := c.write(out); err != nil {
			c.end.Unsent += unsent
			return fmt.Errorf("writing: %w", err)
		}
	}
}

// write writes all of p. What the system refuses for a moment is tried again, from
// the byte on that was not written. It returns how many bytes were not written.
func (c *Conn) write(p []byte) (unsent int, err error) {
	for attempts, failures := 0, 0; len(p) > 0; {
		c.nc.SetWriteDeadline(time.Now().Add(writeAttempt))
		n, err := c.nc.Write(p)
		p = p[n:]
		if n > 0 {
			attempts, failures = 0, 0
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if attempts++; attempts == writeAttempts {
				return len(p), err
			}
		case guard.MayRetry(err, failures+1) == nil:
			failures++
			time.Sleep(failurePause)
		default:
			return len(p), err
		}
	}
	return 0, nil
}
