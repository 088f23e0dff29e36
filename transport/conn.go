package transport

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// The limits of one connection.
const (
	// readBufferSize bounds a message: a step peeks at a complete one.
	readBufferSize = 16 << 10

	// maxQueuedBytes bounds what a peer may leave unread before its connection is aborted.
	maxQueuedBytes = 512 << 10

	// defaultLingerTimeout bounds how long a half-closed connection waits for the peer to
	// close its side.
	defaultLingerTimeout = 200 * time.Millisecond

	// pendingCheckInterval is how often a connection whose deadline has passed looks
	// whether its responses are still pending.
	pendingCheckInterval = 250 * time.Millisecond

	// skippedMessageGrace is how long a connection on which bytes were skipped waits for a
	// message before it closes.
	skippedMessageGrace = 50 * time.Millisecond
)

// Conn is a network connection served by one goroutine, the one that calls Serve. That
// goroutine reads, and also writes what others queue: Send and the other requests interrupt
// its read by a deadline in the past. All methods may be called from any goroutine, except
// those that say otherwise.
type Conn struct {
	netConn   net.Conn
	source    *source
	reader    *bufio.Reader
	createdAt time.Time

	// Set before Serve and not changed by it.
	stallTimeout     time.Duration        // how long a message may stand incomplete without a further byte; 0 for no limit
	responsesPending func() bool          // nil where no response ever is
	notifyPeer       func() time.Duration // nil where the peer is not notified
	onClose          func(error)          // nil where nobody is told
	lingerTimeout    time.Duration

	// Used by the goroutine of Serve alone.
	examined bool // the last read found the socket empty
	ending   Ending

	mu              sync.Mutex
	state           connState
	request         connRequest
	drainDeadline   time.Time // of requestDrain
	sendQueue       []byte
	aborted         bool      // ends without writing what is queued
	readDeadline    time.Time // zero for none
	woken           bool      // the next read is interrupted
	lastActive      time.Time // when a message was last read or queued
	receivedMessage bool      // a complete message was read
}

// NewConn makes a Conn of a network connection. The caller must call Serve, which closes it.
func NewConn(nc net.Conn) *Conn {
	now := time.Now()
	src := &source{netConn: nc, lastReadAt: now}
	c := &Conn{
		netConn: nc, source: src, reader: bufio.NewReaderSize(src, readBufferSize),
		createdAt: now, lastActive: now, lingerTimeout: defaultLingerTimeout,
	}
	src.hasPartialMessage = func() bool { return c.reader.Buffered() > 0 }
	return c
}

// SetReceiveTimeouts sets how long the first message may take to begin, and for how long
// any message may stand incomplete without a further byte. The connection is ended with
// ReadTimeout after that, but not while pending reports that responses are still to be sent.
// It must be called before Serve.
func (c *Conn) SetReceiveTimeouts(begins, stalls time.Duration, pending func() bool) {
	c.stallTimeout, c.responsesPending = stalls, pending
	c.SetReadDeadline(time.Now().Add(begins))
}

// NotifyBeforeClose has f called before the connection is ended for idling. f may notify
// the peer, once, that the connection is about to close; it returns for how long the peer
// is still to be waited for. It must be called before Serve.
func (c *Conn) NotifyBeforeClose(f func() time.Duration) { c.notifyPeer = f }

// OnClose has f called once no more messages are read and before the last write, with the
// error that Serve will return: what f sends still goes out, if the peer reads. It must be
// called before Serve.
func (c *Conn) OnClose(f func(error)) { c.onClose = f }

// Send queues bytes to be written. It never blocks, and reports false if the connection is
// ending. A peer that leaves more than half a megabyte unread has its connection aborted.
func (c *Conn) Send(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= stateClosing || c.request == requestClose || c.aborted {
		return false
	}
	if len(c.sendQueue)+len(p) > maxQueuedBytes {
		c.abortLocked()
		return false
	}
	c.sendQueue = append(c.sendQueue, p...)
	c.lastActive = time.Now()
	c.interruptReadLocked()
	return true
}

// Close ends the connection once everything that is queued is written.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestClose)
}

// CloseIfIdle ends the connection if no part of a message has arrived and no response is
// pending. A message that has arrived but was not read yet is read, and the connection goes
// on, as it does with one of which a part was read.
func (c *Conn) CloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestCloseIfIdle)
}

// Drain ends the connection as soon as no response is pending and no part of a message has
// arrived, and at the deadline in any case. Messages are read as before until then. Of
// several deadlines the earliest holds.
func (c *Conn) Drain(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request < requestDrain || deadline.Before(c.drainDeadline) {
		c.drainDeadline = deadline
	}
	c.requestLocked(requestDrain)
}

// Abort ends the connection at once, without writing what is queued.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// Mark has everything read that has arrived by now. For a message that is still incomplete
// after that read, ReadAfter returns a time that is not before the call of Mark.
func (c *Conn) Mark() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLocked(requestMark)
}

// Wake interrupts the read of the current step, which is then called again.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.interruptReadLocked()
}

// SetReadDeadline sets when the connection is ended with ReadTimeout if no complete message
// was read and nothing forbids that; zero for never.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if len(c.sendQueue) == 0 && c.request == requestNone && !c.woken && c.state < stateHalfClosed {
		c.applyReadDeadline(t)
	}
}

// ReceivedMessage reports whether a complete message was ever read.
func (c *Conn) ReceivedMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedMessage
}

// Ended reports whether no more messages are read and everything queued is written. The
// socket may still be open: see stateHalfClosed.
func (c *Conn) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state >= stateHalfClosed
}

// Expired reports whether the read deadline has passed and the socket was found empty
// after that. It may only be called within a step, to tell this time-out from a read that
// was interrupted.
func (c *Conn) Expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.source.nonBlocking || c.examined) && c.expiredLocked()
}

// ReadAfter returns a lower bound of the arrival of the message that the step has read: only
// a part of the message had arrived by then. It is zero for a message that was read in one
// piece, of which no lower bound is known. It may only be called within a step.
func (c *Conn) ReadAfter() time.Time { return c.source.partReadAt }

// ReadBy returns an upper bound of the arrival of the message that the step has read: all of
// the message had arrived by then. It may only be called within a step.
func (c *Conn) ReadBy() time.Time { return c.source.lastReadAt }

// IdleSince returns when a message was last read or queued.
func (c *Conn) IdleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActive
}

// Age returns how long ago the connection was made.
func (c *Conn) Age() time.Duration { return time.Since(c.createdAt) }

// PeerAddr returns the peer's address, or "" where it has none.
func (c *Conn) PeerAddr() string {
	if addr := c.netConn.RemoteAddr(); addr != nil {
		return addr.String()
	}
	return ""
}

// requestLocked leaves a request for the goroutine of Serve. The lock is held.
func (c *Conn) requestLocked(r connRequest) {
	c.request = max(c.request, r)
	c.interruptReadLocked()
}

// abortLocked ends the connection at once. The close also ends a write that is blocked by
// the peer's full window. The lock is held.
func (c *Conn) abortLocked() {
	c.aborted = true
	c.closeSocket()
}

// interruptReadLocked ends a read that is under way. This and the setting of the next
// read's deadline are both done under the lock, so no interruption is lost. A half-closed
// connection is not interrupted: its wait for the peer must not be cut short. The lock is
// held.
func (c *Conn) interruptReadLocked() {
	if c.state < stateHalfClosed {
		c.applyReadDeadline(time.Unix(1, 0))
	}
}

// expiredLocked reports whether the read deadline has passed. The lock is held.
func (c *Conn) expiredLocked() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// applyReadDeadline sets the socket's deadline. That fails only on a closed socket, which
// the next read reports.
func (c *Conn) applyReadDeadline(t time.Time) { _ = c.netConn.SetReadDeadline(t) }

// closeSocket closes the socket. It may be closed already, and an error of the close tells
// nothing that the read or write before has not.
func (c *Conn) closeSocket() { _ = c.netConn.Close() }
