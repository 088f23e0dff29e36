package transport

import (
	"sync/atomic"
	"time"
)

// A turn bounds what one connection of a Server with LimitTurns may take of the process, so that
// a peer that sends at full speed does not delay the answers to others. Bytes and messages beyond
// the bounds stay unread until the turn is over.
const (
	turnDuration    = 20 * time.Millisecond
	maxTurnMessages = 64      // twice the requests that a balancer may have open
	maxTurnBytes    = 1 << 20 // 50 MiB a second

	// turnFlushInterval is how often queued bytes are written while a connection waits for its
	// next turn.
	turnFlushInterval = 2 * time.Millisecond
)

// turn counts what a connection has taken since the turn began. Only the goroutine of Serve uses
// it.
type turn struct {
	exhausted *atomic.Int64 // counts the turns that were used up; nil for peers that this process trusts
	startedAt time.Time
	messages  int
	bytes     int
	isCounted bool // in exhausted
}

// countMessage counts a message, or bytes that were skipped in place of one.
func (t *turn) countMessage() {
	if t.exhausted != nil {
		t.renew()
		t.messages++
	}
}

// countBytes counts bytes that were read.
func (t *turn) countBytes(n int) {
	if t.exhausted != nil {
		t.renew()
		t.bytes += n
	}
}

// renew begins a new turn if the current one is over.
func (t *turn) renew() {
	if now := time.Now(); now.Sub(t.startedAt) >= turnDuration {
		*t = turn{exhausted: t.exhausted, startedAt: now}
	}
}

// remaining returns how long the connection must wait for its next turn, 0 if it may go on.
func (t *turn) remaining() time.Duration {
	if t.messages < maxTurnMessages && t.bytes < maxTurnBytes {
		return 0
	}
	if !t.isCounted {
		t.isCounted = true
		t.exhausted.Add(1)
	}
	return max(0, time.Until(t.startedAt.Add(turnDuration)))
}

// awaitTurn waits for a moment if the connection has used up its turn, and reports whether it
// did. The caller then writes the queued bytes before it calls awaitTurn again.
func (c *Conn) awaitTurn() (waited bool) {
	wait := c.source.turn.remaining()
	time.Sleep(min(wait, turnFlushInterval))
	return wait > 0
}
