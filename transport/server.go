package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Server accepts connections up to a limit and counts those that are open.
type Server struct {
	listener     net.Listener
	limit        int
	serve        func(*Conn)
	nearCapacity func()

	mu               sync.Mutex
	open             int           // connections, with one that waits for room
	slotFreed        chan struct{} // holds one word that a connection has ended
	closing          chan struct{} // closed by Close: none waits for room any more
	done             chan struct{} // closed when no connection is open after Close
	closed           bool
	onAcceptFailures func(last error, failures int)

	serving chan struct{} // closed when Run returns; nil before it runs
}

// shutdownAcceptTimeout is how long a server that shuts takes in what the system has accepted
// already: a caller that finds its connection reset there does not know what became
// of its request.
const shutdownAcceptTimeout = 20 * time.Millisecond

// Accepting rests for acceptPauseFirst after each of the first errors in a row, so that
// a short trouble costs little time, and for up to acceptPauseMost after further ones.
// shutExcess is how many connections over the limit are still taken in by a server that
// closes.
const (
	minAcceptPause          = 100 * time.Microsecond
	maxAcceptPause          = 5 * time.Millisecond
	briefAcceptFailures     = 8 // errors in a row that count as a short trouble
	maxAcceptPauseDoublings = 6
	maxExcessOnClose        = 16
)

// acceptPause is how long accepting rests after so many errors in a row.
func acceptPause(failures int) time.Duration {
	return min(minAcceptPause<<min(max(0, failures-briefAcceptFailures), maxAcceptPauseDoublings), maxAcceptPause)
}

// crowdedShare is the part of the limit from which on room is asked for, and
// crowdedAgain how often that is done while one waits for it.
const (
	nearCapacityShare    = 0.75
	nearCapacityInterval = 10 * time.Millisecond
)

// InheritListener takes over the listening socket that a descriptor is. Closing the
// listener leaves those that others hold of the socket open.
func InheritListener(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is none", fd)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}

// NewServer makes a server of a listener; Run works it. Each connection gets a
// goroutine that calls serve, at most limit at a time. One more is accepted, and
// waits until another ends, while those behind it wait in the system's queue: closed
// unread, each would take along a request that its caller has written already.
// crowded is called for each that comes when not much room is left, and again
// while one waits, so as to make some.
func NewServer(l net.Listener, limit int, serve func(*Conn), crowded func()) *Server {
	return &Server{
		listener: l, limit: limit, serve: serve, nearCapacity: crowded, done: make(chan struct{}),
		slotFreed: make(chan struct{}, 1), closing: make(chan struct{}),
	}
}

// SetLimit changes the limit for the connections to come.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Addr is the address that is listened on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// OnAcceptFailures has f called when accepting works again after failures in a row, or
// when the server ends, with the last of them. It must be called before Run.
func (s *Server) OnAcceptFailures(f func(last error, failures int)) { s.onAcceptFailures = f }

// Serve accepts until Close or Shut. Accepting that fails (descriptors ran out, say) is
// tried again after a pause that grows: it neither ends the listener nor takes a core.
func (s *Server) Serve() error {
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	s.serving = done
	s.mu.Unlock()
	var last error
	failures := 0
	for {
		nc, err := s.listener.Accept()
		if err != nil && !s.isFinalAcceptError(err) {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				last = err
				s.nearCapacity()
				failures++
				time.Sleep(acceptPause(failures))
			}
			continue
		}
		if failures > 0 && s.onAcceptFailures != nil {
			s.onAcceptFailures(last, failures)
		}
		failures = 0
		if err != nil {
			return nil
		}
		if !s.waitForSlot() {
			nc.Close()
			continue
		}
		go func() {
			s.serve(NewConn(nc))
			s.connectionEnded()
		}()
	}
}

// isFinalAcceptError tells whether an error of accepting is the end: the listener has closed, or the
// deadline of a server that shuts has passed and nothing waits to be accepted. The
// process may have stood still over the deadline, or accepting may have failed until
// then: in that case the deadline is put off.
func (s *Server) isFinalAcceptError(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return !hasWaiting(s.listener) || !s.extendDeadline()
}

// extendDeadline puts off the deadline of a server that shuts.
func (s *Server) extendDeadline() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(shutdownAcceptTimeout)) == nil
}

// waitForSlot counts a connection in, and returns once there is room for it. A server
// that closes does not wait for that: it takes some more, and closes the others.
func (s *Server) waitForSlot() bool {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		open, limit := s.open, s.limit
		s.mu.Unlock()
		if float64(open) > nearCapacityShare*float64(limit) {
			s.nearCapacity()
		}
		if open <= limit {
			return true
		}
		select {
		case <-s.slotFreed:
		case <-s.closing:
			if open > limit+maxExcessOnClose {
				s.connectionEnded()
			}
			return open <= limit+maxExcessOnClose
		case <-time.After(nearCapacityInterval):
		}
	}
}

// connectionEnded takes in that a connection has ended.
func (s *Server) connectionEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.checkDoneLocked()
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}

// checkDoneLocked closes empty when the time has come. The lock is held.
func (s *Server) checkDoneLocked() {
	if s.closed && s.open == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
	}
}

// Shutdown stops accepting once all is taken in that had connected before, and
// returns then, or when Close is called. Those that have connected wait for room
// until then, as ever. Open connections go on. Where others hold the socket too, Close
// leaves to them what waits there.
func (s *Server) Shutdown() {
	s.mu.Lock()
	running := s.serving
	s.mu.Unlock()
	if running != nil && s.extendDeadline() {
		<-running
	}
	s.Close()
}

// Close stops accepting at once: what has connected and waits for room is let in as far
// as some more than the limit allow, and reset else. Open connections go on.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stopWaitingLocked()
	s.checkDoneLocked()
}

// stopWaitingLocked ends the wait for room. The lock is held.
func (s *Server) stopWaitingLocked() {
	select {
	case <-s.closing:
	default:
		close(s.closing)
	}
}

// Done is closed once the server is closed and its last connection has ended.
func (s *Server) Done() <-chan struct{} { return s.done }
