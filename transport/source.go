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

// source is a connection's stream of bytes, with the times at which they were read. It
// belongs to the goroutine of Serve.
type source struct {
	netConn             net.Conn
	nonBlocking         bool  // Read returns only what has arrived already
	streamErr           error // what ended the stream
	consecutiveFailures int   // reads in a row that failed and are retried

	hasPartialMessage func() bool // a part of a message was read before
	lastByteAt        time.Time   // when bytes were last read; zero for never
	messageBeganAt    time.Time   // when the first byte of the current message was seen; zero between messages
	lastReadAt        time.Time   // when a read last returned bytes or found the socket empty
	partReadAt        time.Time   // the latest time by which only a part of the current message was read; zero for none
}

// resetMessageTimes prepares for the next message.
func (s *source) resetMessageTimes() { s.partReadAt, s.messageBeganAt = time.Time{}, time.Time{} }

// Read implements io.Reader. It fails with os.ErrDeadlineExceeded where it was interrupted,
// where it must not block and nothing has arrived, and after a failure that is to be
// retried; lastReadFailed tells the last case from the others.
func (s *source) Read(p []byte) (n int, err error) {
	partial := s.hasPartialMessage()
	if s.nonBlocking {
		n, err = readNow(s.netConn, p)
	} else {
		n, err = s.netConn.Read(p)
	}
	if n == 0 && s.nonBlocking && errors.Is(err, os.ErrDeadlineExceeded) { // everything was read that had arrived
		s.lastReadAt = time.Now()
	}
	if n > 0 {
		if partial {
			s.partReadAt = s.lastReadAt
		}
		s.lastReadAt = time.Now()
		s.lastByteAt = s.lastReadAt
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

// lastReadFailed reports whether the last read failed with an error that is retried: such a
// read says nothing about what has arrived.
func (s *source) lastReadFailed() bool { return s.consecutiveFailures > 0 }

// readNow reads what has arrived on a socket, whatever its deadline. On a connection that is
// not a socket it finds nothing.
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
	err = raw.Control(func(fd uintptr) { // the runtime has made the socket non-blocking
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
