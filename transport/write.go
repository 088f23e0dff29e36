package transport

import (
	"errors"
	"fmt"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// The limits of writing to a peer that does not read. Attempts are counted, each with a
// deadline of its own: a process that is suspended past a single deadline has not tried.
const (
	// writeAttemptTimeout is the deadline of one attempt.
	writeAttemptTimeout = 500 * time.Millisecond

	// writeTimeout is how long a flush waits in all while nothing is written. A client may
	// wait as long before it reads.
	writeTimeout = guard.MaxMessageTime

	// maxIdleWriteAttempts is after how many attempts in a row that write nothing a flush
	// fails.
	maxIdleWriteAttempts = int(writeTimeout / writeAttemptTimeout)

	// retryPause is how long a connection rests after a failed read or write that is
	// retried.
	retryPause = 2 * time.Millisecond
)

// flush writes what is queued and sets the deadline of the next read.
func (c *Conn) flush() error {
	for {
		c.mu.Lock()
		if c.aborted {
			c.mu.Unlock()
			return ErrPeerNotReading
		}
		if len(c.sendQueue) == 0 {
			c.woken = false
			c.applyReadDeadline(c.readDeadline)
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

// write writes all of p, and retries what the system refuses temporarily from the first byte
// that was not written. It returns how many bytes were not written.
func (c *Conn) write(p []byte) (unsent int, err error) {
	for attempts, failures := 0, 0; len(p) > 0; {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeAttemptTimeout)) // where it fails, so does the write
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
		case guard.MayRetry(err, failures+1) == nil:
			failures++
			time.Sleep(retryPause)
		default:
			return len(p), err
		}
	}
	return 0, nil
}
