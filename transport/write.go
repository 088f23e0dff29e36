package transport

import (
	"errors"
	"fmt"
	"os"
	"time"

	"quincerail.example/quincerail/guard"
)

// Limits for writing to a peer that does not read. A flush makes a limited number of attempts.
// Each has its own deadline, because with a single deadline for all of them a process that was
// suspended past that deadline would give up without an attempt.
const (
	// writeAttemptTimeout bounds one attempt.
	writeAttemptTimeout = 500 * time.Millisecond

	// writeTimeout bounds the total wait of a flush while no byte is written. It is this long
	// because a client may wait that long before it reads.
	writeTimeout = guard.MaxMessageTime

	// maxStalledWriteAttempts is the number of consecutive attempts without a written byte
	// after which a flush fails.
	maxStalledWriteAttempts = int(writeTimeout / writeAttemptTimeout)

	// retryPause is the pause before a failed read or write is retried.
	retryPause = 2 * time.Millisecond
)

// flush writes all queued bytes and then sets the deadline of the next read.
func (c *Conn) flush() error {
	for {
		c.mu.Lock()
		if c.aborted {
			c.mu.Unlock()
			return ErrPeerNotReading
		}
		if len(c.sendQueue) == 0 {
			c.woken = false
			c.setSocketReadDeadline(c.readDeadline)
			c.mu.Unlock()
			return nil
		}
		out := c.sendQueue
		c.sendQueue = nil
		c.mu.Unlock()
		if unsent, err := c.write(out); err != nil {
			c.closeInfo.UnsentBytes += unsent
			return fmt.Errorf("writing queued bytes: %w", err)
		}
	}
}

// write writes all of p. After a temporary error it continues with the first unwritten
// byte. It returns the number of bytes that were not written.
func (c *Conn) write(p []byte) (unsent int, err error) {
	c.recordWriteProgress(time.Now())
	defer c.recordWriteProgress(time.Time{})
	for attempts, failures := 0, 0; len(p) > 0; {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(writeAttemptTimeout)) // if this fails, so does the write
		n, err := c.netConn.Write(p)
		p = p[n:]
		if n > 0 {
			attempts, failures = 0, 0
			c.recordWriteProgress(time.Now())
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			if attempts++; attempts == maxStalledWriteAttempts {
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

// recordWriteProgress records that the write in progress has begun or has written a byte at
// the given time. A zero time records that it has ended.
func (c *Conn) recordWriteProgress(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrittenAt = at
	if c.writeStartedAt.IsZero() || at.IsZero() {
		c.writeStartedAt = at
	}
}
