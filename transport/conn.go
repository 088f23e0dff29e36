package transport

import (
	"bufio"
	"net"
	"sync"
	"time"

	"quincerail.example/quincerail/guard"
)

// Limits of one connection.
const (
	// readBufferSize bounds the size of a message, because a handler peeks at all of it.
	readBufferSize = 16 << 10

	// initialReadBufferSize is the size of the read buffer of a connection with an InputBudget
	// until a message does not fit into it.
	initialReadBufferSize = 4 << 10

	// maxQueuedBytes bounds the bytes queued for a peer. Beyond it the connection is aborted.
	maxQueuedBytes = 512 << 10

	// defaultLingerTimeout bounds how long a half-closed connection waits for its peer to
	// close.
	defaultLingerTimeout = 200 * time.Millisecond

	// reclaimLingerTimeout replaces defaultLingerTimeout while others may wait for the
	// connection.
	reclaimLingerTimeout = 50 * time.Millisecond

	// pendingCheckInterval is how often a connection whose read deadline has passed checks
	// whether responses are still pending.
	pendingCheckInterval = 250 * time.Millisecond

	// skippedMessageTimeout is how long a connection waits for a message after it has
	// skipped bytes, before it closes.
	skippedMessageTimeout = 50 * time.Millisecond
)

// Conn is a network connection served by one goroutine, the one that calls Serve. That
// goroutine reads messages and writes the bytes that other goroutines queue. Send, Close and
// similar methods interrupt its read by setting a read deadline in the past. All methods may
// be called from any goroutine unless their comment says otherwise.
type Conn struct {
	netConn   net.Conn
	source    *source
	reader    *bufio.Reader
	createdAt time.Time

	// Set before Serve is called and constant from then on.
	stallTimeout     time.Duration        // how long an incomplete message may go without another byte; 0 for no limit
	responsesPending func() bool          // nil if responses are never pending
	notifyPeer       func() time.Duration // nil if the peer is not notified
	onClose          func(error)          // called when reading has ended; may be nil
	handlerKeepsPart func() bool          // nil if the handler leaves a partial message in the buffer
	lingerTimeout    time.Duration
	overLimit        bool         // accepted over the limit of its Server
	inputBudget      *InputBudget // nil if the memory for its input is not limited

	// Used only by the goroutine of Serve.
	socketDrained bool        // the last read found the socket empty
	readCommand   connCommand // the command that was set when the last read began
	readBeganAt   time.Time   // when the last read began
	closeInfo     CloseInfo
	handlerBytes  int // see ReserveInput

	mu              sync.Mutex
	serving         bool // Serve was called
	state           connState
	command         connCommand
	drainDeadline   time.Time // for commandDrain
	sendQueue       []byte
	aborted         bool           // closes without writing the queue
	readDeadline    time.Time      // zero for none
	woken           bool           // the next read is to be interrupted
	lastActive      time.Time      // when a message was last read or queued
	receivedMessage bool           // a complete message was read
	reclaimedFor    guard.Withheld // why Reclaim was called; empty if it was not, or the peer has sent a message since
	writeStartedAt  time.Time      // when the write in progress began; zero if there is none
	lastWrittenAt   time.Time      // when the write in progress last wrote a byte, or began
}

// NewConn returns a Conn for a network connection. The caller must call Serve, which closes
// it.
func NewConn(nc net.Conn) *Conn { return newConn(nc, readBufferSize) }

// newConn is NewConn with a read buffer of the given size.
func newConn(nc net.Conn, bufferSize int) *Conn {
	now := time.Now()
	src := newSource(nc, now)
	c := &Conn{
		netConn: nc, source: src, reader: bufio.NewReaderSize(src, bufferSize),
		createdAt: now, lastActive: now, lingerTimeout: defaultLingerTimeout,
	}
	src.hasPartialMessage = c.hasPartialMessage
	return c
}

// SetReceiveTimeouts sets how long the peer may take after its connect to start its first
// message, and how long an incomplete message may go without another byte. After these times
// the connection closes with ReadTimeout, but not while pending reports that responses are
// still to be sent. SetReceiveTimeouts must be called before Serve.
func (c *Conn) SetReceiveTimeouts(firstMessage, stall time.Duration, pending func() bool) {
	c.stallTimeout, c.responsesPending = stall, pending
	c.SetReadDeadline(c.createdAt.Add(firstMessage))
}

// NotifyBeforeClose sets a function that is called, possibly repeatedly, before the
// connection closes because it is idle. f may notify the peer once that the connection is
// about to close. f returns how long the connection must still wait for the peer.
// NotifyBeforeClose must be called before Serve.
func (c *Conn) NotifyBeforeClose(f func() time.Duration) { c.notifyPeer = f }

// OnClose sets a function that is called when reading has ended and before the last write,
// with the error that ended reading, or nil. Bytes that f sends are still written if the
// peer reads. f is not called if a write failed before. OnClose must be called before Serve.
func (c *Conn) OnClose(f func(error)) { c.onClose = f }

// SetPartialMessage sets a function that reports whether the handler keeps a part of a
// message that it has taken from its reader. It must be called before Serve, by a handler
// that takes a message in parts.
func (c *Conn) SetPartialMessage(f func() bool) { c.handlerKeepsPart = f }

// OverLimit reports whether the connection was accepted over the limit of its Server. Its
// requests are to be answered without running them, so that it closes soon.
func (c *Conn) OverLimit() bool { return c.overLimit }

// Send queues bytes to be written. It never blocks. It returns false, and queues nothing, if
// the connection is closing. If more than 512 KiB would be queued, because the peer does not
// read, Send aborts the connection and returns false.
func (c *Conn) Send(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= stateClosing || c.command == commandClose || c.aborted {
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

// Close closes the connection once all queued bytes are written.
func (c *Conn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCommandLocked(commandClose)
}

// CloseIfIdle closes the connection if no part of a message has arrived and no response is
// pending. Otherwise the connection stays open. A message that has arrived and was not yet
// read is read first, and also keeps the connection open.
func (c *Conn) CloseIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCommandLocked(commandCloseIfIdle)
}

// Drain closes the connection as soon as no response is pending and no part of a message
// has arrived, and at the deadline at the latest. Until then messages are read as before. If
// Drain is called several times, the earliest deadline applies.
func (c *Conn) Drain(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command < commandDrain || deadline.Before(c.drainDeadline) {
		c.drainDeadline = deadline
	}
	c.setCommandLocked(commandDrain)
}

// Abandon closes the connection unless a response is pending. A message that has arrived
// completely is read first, and keeps the connection open; a partial one is abandoned.
func (c *Conn) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCommandLocked(commandAbandon)
}

// Abort closes the connection at once, without writing the queued bytes.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// ReadAvailable makes the goroutine of Serve read all bytes that have arrived by now. If a
// message is still incomplete after that read, ReadAfter later returns a time for it that is
// not before the call of ReadAvailable.
func (c *Conn) ReadAvailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCommandLocked(commandReadAvailable)
}

// Wake interrupts the read of the current handler call. Serve then calls the handler again.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.interruptReadLocked()
}

// SetReadDeadline sets the time at which the connection closes with ReadTimeout if no
// complete message was read by then and guard.MayClose allows it. Zero means no deadline.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if len(c.sendQueue) == 0 && c.command == commandNone && !c.woken && c.state < stateHalfClosed {
		c.setSocketReadDeadline(t)
	}
}

// ReceivedMessage reports whether a complete message has been read.
func (c *Conn) ReceivedMessage() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedMessage
}

// Finished reports whether the connection reads no more messages and has written all queued
// bytes. The socket may still be open: see stateHalfClosed.
func (c *Conn) Finished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state >= stateHalfClosed
}

// ReadDeadlineExceeded reports whether the read deadline has passed and the socket was found
// empty after that. It distinguishes this timeout from an interrupted read, and may only be
// called by the handler.
func (c *Conn) ReadDeadlineExceeded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.source.nonBlocking || c.socketDrained) && c.deadlinePassedLocked()
}

// ReadAfter returns a lower bound on the arrival time of the message that the handler has
// read: the message was still incomplete at that time. It returns zero for a message that
// was read in one piece, for which no lower bound is known. It may only be called by the
// handler.
func (c *Conn) ReadAfter() time.Time { return c.source.partialReadAt }

// ReadBy returns an upper bound on the arrival time of the message that the handler has
// read: the message was complete at that time. It may only be called by the handler.
func (c *Conn) ReadBy() time.Time { return c.source.lastReadAt }

// LastActive returns when a message was last read or queued, or when the connection was
// made if none was.
func (c *Conn) LastActive() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActive
}

// Age returns the time since the connection was made.
func (c *Conn) Age() time.Duration { return time.Since(c.createdAt) }

// PeerAddr returns the peer's address, or "" if it has none.
func (c *Conn) PeerAddr() string {
	if addr := c.netConn.RemoteAddr(); addr != nil {
		return addr.String()
	}
	return ""
}

// setCommandLocked sets a command for the goroutine of Serve, unless one with a higher
// precedence is set, and interrupts its read. The caller holds mu.
func (c *Conn) setCommandLocked(command connCommand) {
	c.command = max(c.command, command)
	c.interruptReadLocked()
}

// abortLocked closes the socket at once. That also ends a write that is blocked because the
// peer's receive window is full. The caller holds mu.
func (c *Conn) abortLocked() {
	c.aborted = true
	c.closeSocket()
}

// interruptReadLocked interrupts a read in progress. The deadline of the next read is set
// under the same lock, so no interruption is lost. A half-closed connection is not
// interrupted, because it must wait for its peer until the linger timeout. The caller holds
// mu.
func (c *Conn) interruptReadLocked() {
	if c.state < stateHalfClosed {
		c.setSocketReadDeadline(time.Unix(1, 0))
	}
}

// deadlinePassedLocked reports whether the read deadline has passed. The caller holds mu.
func (c *Conn) deadlinePassedLocked() bool {
	return !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
}

// setSocketReadDeadline sets the read deadline of the socket. That fails only on a closed
// socket, which the next read reports.
func (c *Conn) setSocketReadDeadline(t time.Time) { _ = c.netConn.SetReadDeadline(t) }

// closeSocket closes the socket, which may already be closed. It ignores the error, which
// adds nothing to the errors of earlier reads and writes.
func (c *Conn) closeSocket() { _ = c.netConn.Close() }
