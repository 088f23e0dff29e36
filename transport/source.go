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
	nc       net.Conn
	nowait   bool  // only what has come is read
	err      error // by which the stream ended
	failures int   // reads in a row that failed and are tried again

	partial func() bool // a part of a message was read before
	byteAt  time.Time   // when bytes last came; zero for never
	beganAt time.Time   // when the first byte of the present message was seen; zero between messages
	readAt  time.Time   // when the last read gave something, or found nothing
	partAt  time.Time   // the part that was there then was no whole message; zero for a message that came in one
}

// Read implements io.Reader. Without waiting, a read that finds nothing fails with
// os.ErrDeadlineExceeded, as an interrupted one does, and as one does whose error may
// pass; failed tells the latter.
func (s *source) Read(p []byte) (n int, err error) {
	part := s.partial()
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
		s.byteAt = s.readAt
	}
	if err != nil && guard.MayRetry(err, s.failures+1) == nil {
		s.failures++
		time.Sleep(failurePause)
		return n, os.ErrDeadlineExceeded
	}
	s.failures = 0
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.err = err
	}
	return n, err
}

// failed tells whether the last read failed with an error that may pass: it says nothing
// of what has come.
func (s *source) failed() bool { return s.failures > 0 }

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
