// Package transport owns connections: listeners, their limits, the life of a
// connection, deadlines and bounded writes. It knows no protocol.
package transport

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

// The limits of one connection.
const (
	readBufferSize       = 16 << 10               // a peeked message must fit
	maxQueuedBytes       = 512 << 10              // bytes a peer may leave unread before it is cut off
	defaultLingerTimeout = 200 * time.Millisecond // for the peer to take in the end, after the half-close
	pendingCheckInterval = 250 * time.Millisecond // between two looks whether answers are still owed
	skippedMessageGrace  = 50 * time.Millisecond  // after what was skipped, until a connection that rests is asked to end
)

// ErrMessageSkipped is given by a step that has passed over what is no message. The connection
// takes those behind it, and ends soon where none comes and nothing is owed.
var ErrMessageSkipped = errors.New("no message: passed over")

// ErrPeerNotReading is why a connection ended whose peer stopped reading.
var ErrPeerNotReading = errors.New("peer stopped reading")

// connState is where a connection is on its way. Only the goroutine of Serve moves
// it on; what others want of it are requests, which that goroutine reads. Whether
// it may move on to closing is for package guard to decide.
//
//	open        messages are taken, what is queued is written
//	closing     it ends once what is queued is written
//	halfClosed  its writing end is shut; what still comes is read and dropped
//	closed
type connState int

const (
	stateOpen connState = iota
	stateClosing
	stateHalfClosed
	stateClosed
)

// connRequest is what was asked of a connection. The greater goes before the less.
type connRequest int

const (
	requestNone        connRequest = iota
	requestMark                    // note what has come by now
	requestCloseIfIdle             // end, unless a part of a message has come or an answer is owed
	requestDrain                   // end as soon as that is allowed, at the latest at a time
	requestClose                   // end once what is queued is written
)

// Conn is a connection served by one goroutine, which reads and also writes
// what others queue: a queued write interrupts the read by its deadline.
type Conn struct {
	netConn   net.Conn
	source    *source
	reader    *bufio.Reader
	createdAt time.Time

	// The goroutine of Serve alone.
	examined bool // the last read found the socket empty
	ending   Ending

	mu               sync.Mutex
	state            connState
	request          connRequest
	drainDeadline    time.Time // of the request drain
	sendQueue        []byte
	aborted          bool      // ends at once
	readDeadline     time.Time // for the read; zero for none
	woken            bool
	lastActive       time.Time            // of the last message read or written
	stallTimeout     time.Duration        // that a message may, before it is whole; 0 for no limit
	responsesPending func() bool          // whether answers are still to go out
	notifyPeer       func() time.Duration // until the peer has known for long enough that nothing new is wanted
	onClose          func(error)          // called before the last flush
	receivedMessage  bool                 // a whole message has come
	lingerTimeout    time.Duration        // that the peer has to end its side, after the half-close
}

// NewConn wraps a network connection. Serve must be called to work it.
func NewConn(nc net.Conn) *Conn {
	now := time.Now()
	src := &source{netConn: nc, lastReadAt: now}
	c := &Conn{netConn: nc, source: src, reader: bufio.NewReaderSize(src, readBufferSize), lastActive: now, lingerTimeout: defaultLingerTimeout, createdAt: now}
	src.hasPartialMessage = func() bool { return c.reader.Buffered() > 0 }
	return c
}

// Send queues bytes to be written. It never blocks; it reports false if the
// connection is ending. A peer that lets too much pile up is cut off.
func (c *Conn) Send(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= stateClosing || c.request == requestClose || c.aborted {
		return false
	}
	if len(c.sendQueue)+len(p) > maxQueuedBytes {
		c.aborted = true
		c.netConn.Close()
		return false
	}
	c.sendQueue = append(c.sendQueue, p...)
	c.lastActive = time.Now()
	c.interruptReadLocked()
	return true
}

// requestLocked puts a request to the connection's goroutine. The lock is held.
func (c *Conn) requestLocked(r connRequest) {
	c.request = max(c.request, r)
	c.interruptReadLocked()
}

// Close ends the connection once all that is queued is written.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestClose)
}

// Mark has what has come by now read: of a message that is not whole then, CameAfter
// tells it.
func (c *Conn) Mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestMark)
}

// CloseIfIdle ends the connection if no part of a message has come and nothing is
// owed on it. One that has come but was not read yet is taken, and the connection
// goes on, as it does with a message that was half read.
func (c *Conn) CloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestCloseIfIdle)
}

// Drain ends the connection as soon as nothing is owed on it and no part of a message
// has come, and at the latest at a time. Until then messages are taken as before.
func (c *Conn) Drain(by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request < requestDrain || by.Before(c.drainDeadline) {
		c.drainDeadline = by
	}
	c.requestLocked(requestDrain)
}

// Wake interrupts the current step's read, so that the step can look again.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.interruptReadLocked()
}

// SetReadDeadline sets when Serve gives up reading; zero for never.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if len(c.sendQueue) == 0 && c.request == requestNone && !c.woken && c.state < stateHalfClosed {
		c.netConn.SetReadDeadline(t)
	}
}

// SetReceiveTimeouts sets how long the first message may take to begin, so that a peer which
// says nothing is ended, and how long any may stand still before it is whole. Where
// answers are still owed by then, it ends after these. It must be called before Serve.
func (c *Conn) SetReceiveTimeouts(begins, standsStill time.Duration, owed func() bool) {
	c.stallTimeout, c.responsesPending = standsStill, owed
	c.SetReadDeadline(time.Now().Add(begins))
}

// NotifyBeforeClose has a peer told before the connection is ended for want of messages:
// f is called then, and returns for how long the peer is still to be waited for. It
// must be called before Serve.
func (c *Conn) NotifyBeforeClose(f func() time.Duration) { c.notifyPeer = f }

// OnClose has f called once no more messages are taken and before the last flush,
// with the reason: what it sends still goes out, if the peer reads. It must be
// called before Serve.
func (c *Conn) OnClose(f func(error)) { c.onClose = f }

// ReceivedMessage tells whether a whole message has ever come.
func (c *Conn) ReceivedMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedMessage
}

// Ended tells whether the connection takes no more messages and all that was queued is
// written.
func (c *Conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state >= stateHalfClosed
}

// Abort ends the connection at once.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	c.netConn.Close() // also ends a write that the peer's full window blocks
}

// ReadAfter tells, within a step, a time after which the last byte of the message
// came that the step has read: all that had come by then was no whole one. It is
// zero where the message came in one piece.
func (c *Conn) ReadAfter() time.Time { return c.source.partReadAt }

// ReadBy tells, within a step, when the last byte of the message that the step has
// read had come at the latest: it was read then.
func (c *Conn) ReadBy() time.Time { return c.source.lastReadAt }

// IdleSince tells when a message was last read or queued.
func (c *Conn) IdleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActive
}

// interruptReadLocked ends a read that is under way. Both this and the setting of the
// next read's deadline are done under the lock, so no wake-up is lost. Once the
// connection is half-closed there is nothing left to be woken for, and the wait
// for the peer's end must not be cut short. The lock is held.
func (c *Conn) interruptReadLocked() {
	if c.state < stateHalfClosed {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}
