// Package transport owns connections: listeners, their limits, the life of a
// connection, deadlines and bounded writes. It knows no protocol.
package transport

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// The limits of one connection.
const (
	readBuffer   = 16 << 10               // a peeked message must fit
	queueLimit   = 512 << 10              // bytes a peer may leave unread before it is cut off
	drainFor     = 200 * time.Millisecond // for the peer to take in the end, after the half-close
	owedEvery    = 250 * time.Millisecond // between two looks whether answers are still owed
	writeTimeout = 5 * time.Second        // for one flush; a pause of the machine is shorter
)

// ErrCutOff is why a connection ended whose peer stopped reading.
var ErrCutOff = errors.New("peer stopped reading")

// state is where a connection is on its way. Only the goroutine of Serve moves
// it on; what others want of it are requests (want), which that goroutine reads.
//
//	open        messages are taken, what is queued is written
//	deaf        no more messages are taken: it ends once nothing is owed
//	closing     it ends once what is queued is written
//	halfClosed  its writing end is shut; what still comes is read and dropped
//	closed
type state int

const (
	open state = iota
	deaf
	closing
	halfClosed
	closed
)

// want is what was asked of a connection. The greater goes before the less.
type want int

const (
	goOn   want = iota
	note        // note what has come by now
	retire      // end, unless a part of a message has come
	finish      // take what has come whole by now and nothing more; end once nothing is owed
	end         // end once what is queued is written
)

// Conn is a connection served by one goroutine, which reads and also writes
// what others queue: a queued write interrupts the read by its deadline.
type Conn struct {
	nc  net.Conn
	src *source
	r   *bufio.Reader

	mu       sync.Mutex
	state    state
	want     want
	queue    []byte
	cut      bool      // ends at once
	deadline time.Time // for the read; zero for none
	woken    bool
	last     time.Time     // of the last message read or written
	within   time.Duration // for a message to come whole; 0 for no limit
	owed     func() bool   // whether answers are still to go out
	ending   func(error)   // called before the last flush
	spoken   bool          // a whole message has come
	drain    time.Duration // that the peer has to end its side, after the half-close
	end      Ending
	opened   time.Time
}

// source is where a connection's bytes come from. It belongs to its goroutine.
type source struct {
	nc     net.Conn
	nowait bool  // only what has come is read
	err    error // by which the stream ended

	halfRead func() bool // a part of a message was read before
	readAt   time.Time   // when the last read gave something, or found nothing
	partAt   time.Time   // the part that was there then was no whole message; zero for a message that came in one
}

// Read implements io.Reader. Without waiting, a read that finds nothing fails with
// os.ErrDeadlineExceeded, as an interrupted one does.
func (s *source) Read(p []byte) (n int, err error) {
	part := s.halfRead()
	if s.nowait {
		n, err = readNow(s.nc, p)
	} else {
		n, err = s.nc.Read(p)
	}
	if n == 0 && s.nowait && errors.Is(err, os.ErrDeadlineExceeded) { // all was read that had come
		s.readAt = time.Now()
	}
	if n > 0 {
		if part {
			s.partAt = s.readAt
		}
		s.readAt = time.Now()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.err = err
	}
	return n, err
}

// readNow reads what has come on a socket whatever its deadline; a connection that
// is no socket has none.
func readNow(nc net.Conn, p []byte) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) { // the socket does not block
		for {
			if n, readErr = syscall.Read(int(fd), p); readErr != syscall.EINTR {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// NewConn wraps a network connection. Serve must be called to work it.
func NewConn(nc net.Conn) *Conn {
	src := &source{nc: nc}
	now := time.Now()
	c := &Conn{nc: nc, src: src, r: bufio.NewReaderSize(src, readBuffer), last: now, drain: drainFor, opened: now}
	src.halfRead = func() bool { return c.r.Buffered() > 0 }
	return c
}

// Send queues bytes to be written. It never blocks; it reports false if the
// connection is ending. A peer that lets too much pile up is cut off.
func (c *Conn) Send(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= closing || c.want == end || c.cut {
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

// ask puts a request to the connection's goroutine.
func (c *Conn) ask(w want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.want = max(c.want, w)
	c.interrupt()
}

// Close ends the connection once all that is queued is written.
func (c *Conn) Close() { c.ask(end) }

// Note has what has come by now read: of a message that is not whole then, CameAfter
// tells it.
func (c *Conn) Note() { c.ask(note) }

// Retire ends the connection if no part of a message has come. One that has come
// but was not read yet is taken, and the connection goes on, as it does with a
// message that was half read.
func (c *Conn) Retire() { c.ask(retire) }

// Finish ends the connection once nothing is owed on it. What has come whole by
// now is taken first, and nothing that comes later.
func (c *Conn) Finish() { c.ask(finish) }

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
	if len(c.queue) == 0 && c.want == goOn && !c.woken && c.state < halfClosed {
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

// OnEnd has f called once no more messages are taken and before the last flush,
// with the reason: what it sends still goes out, if the peer reads. It must be
// called before Serve.
func (c *Conn) OnEnd(f func(error)) { c.ending = f }

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

// CameAfter tells, within a step, a time after which the last byte of the message
// came that the step has read: all that had come by then was no whole one. It is
// zero where the message came in one piece.
func (c *Conn) CameAfter() time.Time { return c.src.partAt }

// IdleSince tells when a message was last read or queued.
func (c *Conn) IdleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// interrupt ends a read that is under way. Both this and the setting of the
// next read's deadline are done under the lock, so no wake-up is lost. Once the
// connection is half-closed there is nothing left to be woken for, and the wait
// for the peer's end must not be cut short. The lock is held.
func (c *Conn) interrupt() {
	if c.state < halfClosed {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// Serve calls step for each message until it fails, and writes what is queued
// in between. A read that was interrupted for that fails with
// os.ErrDeadlineExceeded, and the step is called again. So a step must be
// resumable: it peeks, and discards once whole. After a message that makes no
// sense none is taken any more, but what is owed by then is still answered. The
// connection is half-closed, drained and closed when Serve returns.
func (c *Conn) Serve(step func(r *bufio.Reader) error) error {
	defer c.close()
	for {
		if err := c.flush(); err != nil {
			return c.abort(err)
		}
		done, look := c.next()
		if done {
			return c.halfClose(Closed, nil)
		}
		c.src.nowait = look
		err := c.expect()
		if err == nil {
			err = step(c.r)
		}
		c.src.nowait = false
		switch {
		case err == nil:
			c.taken()
		case errors.Is(err, os.ErrDeadlineExceeded) && (!c.Expired() || c.extend()):
			if look && c.settle(c.r.Buffered() > 0) {
				return c.goDeaf(Idle, nil)
			}
		case c.src.err == nil && c.owes(): // the message makes no sense, and others are owed answers
			return c.goDeaf(c.reason(err), err)
		default:
			return c.halfClose(c.reason(err), err)
		}
	}
}

// next tells whether the connection is done, and whether the next read is to take
// only what has come: what was asked for depends on that.
func (c *Conn) next() (done, look bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.want == end, c.want != goOn
}

// settle decides what was asked for after a look that found no whole message. It
// tells whether the connection takes no more.
func (c *Conn) settle(halfRead bool) (noMore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.want == note || c.want == retire && halfRead {
		c.want = goOn
	}
	return c.want == retire || c.want == finish
}

func (c *Conn) owes() bool { return c.owed != nil && c.owed() }

// goDeaf reads and drops what comes until nothing is owed any more, then ends the
// connection. It gives the error that it is called with.
func (c *Conn) goDeaf(reason EndReason, why error) error {
	c.mu.Lock()
	c.state = deaf
	c.mu.Unlock()
	for done := false; !done && c.owes(); done, _ = c.next() {
		c.mu.Lock()
		c.deadline = time.Now().Add(owedEvery)
		c.mu.Unlock()
		if err := c.flush(); err != nil {
			return c.abort(err)
		}
		if _, err := c.r.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.halfClose(c.reason(err), err)
		}
		c.discard()
	}
	return c.halfClose(reason, why)
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

// taken takes in that a whole message has come. A connection that was to retire
// goes on with it.
func (c *Conn) taken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.spoken, c.src.partAt = time.Now(), true, time.Time{}
	if c.want == retire {
		c.want = goOn
	}
	if c.within > 0 {
		c.deadline = time.Time{} // the next flush has the reads go by it
	}
}

// halfClose writes what is queued, shuts the writing end and reads to the peer's
// end, for a bounded time: a close over unread bytes would reset the connection
// and could take the last answers away. It gives the error that it is called with.
func (c *Conn) halfClose(reason EndReason, why error) error {
	c.end.Reason, c.end.Partial = reason, c.r.Buffered()
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
	if c.cut {
		c.mu.Unlock()
		return why
	}
	c.nc.SetReadDeadline(time.Now().Add(c.drain))
	c.mu.Unlock()
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.end.Discarded, _ = io.Copy(io.Discard, c.src)
	}
	return why
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.cut = closed, true
	c.nc.Close()
}

// Expired tells whether a read's time-out was the connection's own deadline.
func (c *Conn) Expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.want == goOn && len(c.queue) == 0 && !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// flush writes the queue and sets the deadline of the next read.
func (c *Conn) flush() error {
	for {
		c.mu.Lock()
		if c.cut {
			c.mu.Unlock()
			return ErrCutOff
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
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.nc.Write(out); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
	}
}
