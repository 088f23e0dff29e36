// Package transport owns connections: listeners, their limits, the life of a
// connection, deadlines and bounded writes. It knows no protocol.
package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// The limits of one connection.
const (
	readBuffer   = 16 << 10               // a peeked message must fit
	queueLimit   = 512 << 10              // bytes a peer may leave unread before it is cut off
	lingerFor    = 200 * time.Millisecond // for the peer to take in the end
	owedEvery    = 250 * time.Millisecond // between two looks whether answers are still owed
	writeTimeout = 5 * time.Second        // for one flush; a pause of the machine is shorter
)

// ErrCutOff is why a connection ended whose peer stopped reading.
var ErrCutOff = errors.New("peer stopped reading")

// Conn is a connection served by one goroutine, which reads and also writes
// what others queue: a queued write interrupts the read by its deadline.
type Conn struct {
	nc net.Conn
	r  *bufio.Reader

	mu       sync.Mutex
	queue    []byte
	closing  bool      // ends once the queue is written
	retiring bool      // ends unless a part of a message has come
	cut      bool      // ends at once
	deadline time.Time // for the read; zero for none
	woken    bool
	last     time.Time     // of the last message read or written
	within   time.Duration // for a message to come whole; 0 for no limit
	owed     func() bool   // whether answers are still to go out
	spoken   bool          // a whole message has come
}

// NewConn wraps a network connection. Serve must be called to work it.
func NewConn(nc net.Conn) *Conn {
	return &Conn{nc: nc, r: bufio.NewReaderSize(nc, readBuffer), last: time.Now()}
}

// Send queues bytes to be written. It never blocks; it reports false if the
// connection is ending. A peer that lets too much pile up is cut off.
func (c *Conn) Send(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.cut {
		return false
	}
	if len(c.queue)+len(p) > queueLimit {
		c.cut = true
		c.nc.Close()
		return false
	}
	c.queue = append(c.queue, p...)
	c.last = time.Now()
	c.interrupt()
	return true
}

// Close ends the connection once all that is queued is written.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.interrupt()
}

// Retire ends the connection if no part of a message has come. A message that
// was half read goes on, and the connection with it.
func (c *Conn) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring = true
	c.interrupt()
}

// Wake interrupts the current step's read, so that the step can look again.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.interrupt()
}

// SetReadDeadline sets when Serve gives up reading; zero for never.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if len(c.queue) == 0 && !c.closing && !c.woken {
		c.nc.SetReadDeadline(t)
	}
}

// ExpectWithin sets how long after its first byte a message must be whole; the
// first one that long after now, so that a peer which says nothing is ended too.
// Where answers are still owed by then, it ends after these. It must be called
// before Serve.
func (c *Conn) ExpectWithin(d time.Duration, owed func() bool) {
	c.within, c.owed = d, owed
	c.SetReadDeadline(time.Now().Add(d))
}

// Spoken tells whether a whole message has ever come.
func (c *Conn) Spoken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spoken
}

// Cut ends the connection at once.
func (c *Conn) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	c.nc.Close() // also ends a write that the peer's full window blocks
}

// IdleSince tells when a message was last read or queued.
func (c *Conn) IdleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// interrupt ends a read that is under way. Both this and the setting of the
// next read's deadline are done under the lock, so no wake-up is lost.
func (c *Conn) interrupt() { c.nc.SetReadDeadline(time.Unix(1, 0)) }

// Serve calls step for each message until it fails, and writes what is queued
// in between. A read that was interrupted for that fails with
// os.ErrDeadlineExceeded, and the step is called again. So a step must be
// resumable: it peeks, and discards once whole. The connection is closed when
// Serve returns.
func (c *Conn) Serve(step func(r *bufio.Reader) error) error {
	defer c.Cut()
	for {
		if done, err := c.flush(); done || err != nil {
			if err == nil {
				c.linger()
			}
			return err
		}
		err := c.expect()
		if err == nil {
			err = step(c.r)
		}
		if err == nil {
			c.taken()
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.Expired() && !c.extend() {
			c.flush() // an error answer queued by the step still goes out
			return err
		}
		c.retire(c.r.Buffered() > 0)
	}
}

// expect waits for a message's first byte, from which on its time counts.
func (c *Conn) expect() error {
	if c.within == 0 {
		return nil
	}
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	c.mu.Lock()
	waiting := !c.deadline.IsZero()
	c.mu.Unlock()
	if !waiting {
		c.SetReadDeadline(time.Now().Add(c.within))
	}
	return nil
}

// extend puts off the end of a connection whose message has not come whole, while
// answers to others are owed on it.
func (c *Conn) extend() bool {
	if c.owed == nil || !c.owed() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = time.Now().Add(owedEvery)
	return true
}

// taken takes in that a whole message has come.
func (c *Conn) taken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.retiring, c.spoken = time.Now(), false, true
	if c.within > 0 {
		c.deadline = time.Time{} // the next flush has the reads go by it
	}
}

// retire settles what Retire has asked for.
func (c *Conn) retire(halfRead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.retiring && !halfRead
	c.retiring = false
}

// linger lets the peer read the last bytes: closing while input is unread would
// reset the connection and could take them away.
func (c *Conn) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
	io.Copy(io.Discard, c.nc)
}

// Expired tells whether a read's time-out was the connection's own deadline.
func (c *Conn) Expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && len(c.queue) == 0 && !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// flush writes the queue and sets the deadline of the next read.
func (c *Conn) flush() (done bool, err error) {
	for {
		c.mu.Lock()
		if c.cut {
			c.mu.Unlock()
			return true, ErrCutOff
		}
		if len(c.queue) == 0 {
			done := c.closing
			c.woken = false
			c.nc.SetReadDeadline(c.deadline)
			c.mu.Unlock()
			return done, nil
		}
		out := c.queue
		c.queue = nil
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(out); err != nil {
			return true, fmt.Errorf("writing: %w", err)
		}
	}
}
