package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"quincerail.example/quincerail/guard"
)

// source reads the bytes of a connection and records when they were read. Only the
// goroutine that runs Serve uses it, except for lastByteAt and messageStartedAt, which other
// goroutines read.
type source struct {
	netConn             net.Conn
	nonBlocking         bool   // Read returns only bytes that have already arrived
	turn                turn   // bounds what the connection may take
	unread              []byte // bytes that Read returns before those of netConn
	streamErr           error  // the error that ended the stream
	consecutiveFailures int    // consecutive reads that failed and were retried

	hasPartialMessage func() bool // reports whether a part of a message is buffered
	lastByteAt        instant     // when bytes were last read; zero if none were
	messageStartedAt  instant     // when the first byte of the current message was read; zero between messages
	lastReadAt        time.Time   // when a read last returned bytes or found the socket empty
	partialReadAt     time.Time   // the latest time at which the current message was known to be incomplete; zero if unknown
}

// newSource returns the source of a connection that was made at the given time.
func newSource(nc net.Conn, madeAt time.Time) *source {
	s := &source{netConn: nc, lastReadAt: madeAt}
	s.lastByteAt.base, s.messageStartedAt.base = madeAt, madeAt
	return s
}

// resetMessageTimes clears the times of the current message before the next one is read.
func (s *source) resetMessageTimes() {
	s.partialReadAt = time.Time{}
	s.messageStartedAt.set(time.Time{})
}

// Read implements io.Reader. It returns os.ErrDeadlineExceeded if the read was interrupted,
// if it must not block and nothing has arrived, or if it failed with an error that the
// caller is to retry. lastReadFailed identifies the last case.
func (s *source) Read(p []byte) (n int, err error) {
	if len(s.unread) > 0 {
		n = copy(p, s.unread)
		s.unread = s.unread[n:]
		return n, nil
	}
	partial := s.hasPartialMessage()
	if s.turn.bytes >= maxTurnBytes { // within a message, else awaitTurn has waited
		time.Sleep(s.turn.remaining())
	}
	if s.nonBlocking {
		n, err = readNonBlocking(s.netConn, p)
	} else {
		n, err = s.netConn.Read(p)
	}
	if n == 0 && s.nonBlocking && errors.Is(err, os.ErrDeadlineExceeded) { // all bytes that had arrived were read
		s.lastReadAt = time.Now()
	}
	if n > 0 {
		s.turn.countBytes(n)
		if partial {
			s.partialReadAt = s.lastReadAt
		}
		s.lastReadAt = time.Now()
		s.lastByteAt.set(s.lastReadAt)
	}
	if err != nil && guard.MayRetry(err, s.consecutiveFailures+1) == nil {
		s.consecutiveFailures++
		time.Sleep(retryPause)
		return n, os.ErrDeadlineExceeded
	}
	s.consecutiveFailures = 0
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.streamErr = err
	}
	return n, err
}

// lastReadFailed reports whether the last read failed with an error that is retried. Such a
// read does not show whether the socket is empty.
func (s *source) lastReadFailed() bool { return s.consecutiveFailures > 0 }

// readNonBlocking reads bytes that have already arrived on a socket, regardless of the read
// deadline. It returns os.ErrDeadlineExceeded if there are none, or if nc is not a socket.
func readNonBlocking(nc net.Conn, p []byte) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) { // the Go runtime has put the socket into non-blocking mode
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
