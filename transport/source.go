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

// source is where a connection's bytes come from. It belongs to its goroutine.
type source struct {
	netConn             net.Conn
	nonBlocking         bool  // only what has come is read
	streamErr           error // by which the stream ended
	consecutiveFailures int   // reads in a row that failed and are tried again

	hasPartialMessage func() bool // a part of a message was read before
	lastByteAt        time.Time   // when bytes last came; zero for never
	messageBeganAt    time.Time   // when the first byte of the present message was seen; zero between messages
	lastReadAt        time.Time   // when the last read gave something, or found nothing
	partReadAt        time.Time   // the part that was there then was no whole message; zero for a message that came in one
}

// Read implements io.Reader. Without waiting, a read that finds nothing fails with
// os.ErrDeadlineExceeded, as an interrupted one does, and as one does whose error may
// pass; failed tells the latter.
func (s *source) Read(p []byte) (n int, err error) {
	part := s.hasPartialMessage()
	if s.nonBlocking {
		n, err = readNow(s.netConn, p)
	} else {
		n, err = s.netConn.Read(p)
	}
	if n == 0 && s.nonBlocking && errors.Is(err, os.ErrDeadlineExceeded) { // all was read that had come
		s.lastReadAt = time.Now()
	}
	if n > 0 {
		if part {
			s.partReadAt = s.lastReadAt
		}
		s.lastReadAt = time.Now()
		s.lastByteAt = s.lastReadAt
	}
	if err != nil && guard.MayTryAgain(err, s.consecutiveFailures+1) == nil {
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

// lastReadFailed tells whether the last read failed with an error that may pass: it says nothing
// of what has come.
func (s *source) lastReadFailed() bool { return s.consecutiveFailures > 0 }

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
