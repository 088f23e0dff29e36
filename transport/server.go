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
	listener net.Listener
	limit    int
	serve    func(*Conn)
	crowded  func()

	mu             sync.Mutex
	open           int           // connections, with one that waits for room
	freed          chan struct{} // holds one word that a connection has ended
	closing        chan struct{} // closed by Close: none waits for room any more
	empty          chan struct{} // closed when no connection is open after Close
	shut           bool
	acceptFailures func(last error, failures int)

	running chan struct{} // closed when Run returns; nil before it runs
}

// lastAccepts is how long a server that shuts takes in what the system has accepted
// already: a caller that finds its connection reset there does not know what became
// of its request.
const lastAccepts = 20 * time.Millisecond

// Accepting rests for acceptPauseFirst after each of the first errors in a row, so that
// a short trouble costs little time, and for up to acceptPauseMost after further ones.
// shutExcess is how many connections over the limit are still taken in by a server that
// closes.
const (
	acceptPauseFirst = 100 * time.Microsecond
	acceptPauseMost  = 5 * time.Millisecond
	acceptFirst      = 8 // errors in a row that count as a short trouble
	acceptDoublings  = 6
	shutExcess       = 16
)

// acceptPause is how long accepting rests after so many errors in a row.
func acceptPause(failures int) time.Duration {
	return min(acceptPauseFirst<<min(max(0, failures-acceptFirst), acceptDoublings), acceptPauseMost)
}

// crowdedShare is the part of the limit from which on room is asked for, and
// crowdedAgain how often that is done while one waits for it.
const (
	crowdedShare = 0.75
	crowdedAgain = 10 * time.Millisecond
)

// Inherit takes over the listening socket that a descriptor is. Closing the
// listener leaves those that others hold of the socket open.
func Inherit(fd int) (net.Listener, error) {
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
		listener: l, limit: limit, serve: serve, crowded: crowded, empty: make(chan struct{}),
		freed: make(chan struct{}, 1), closing: make(chan struct{}),
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
func (s *Server) OnAcceptFailures(f func(last error, failures int)) { s.acceptFailures = f }

// Serve accepts until Close or Shut. Accepting that fails (descriptors ran out, say) is
// tried again after a pause that grows: it neither ends the listener nor takes a core.
func (s *Server) Serve() error {
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	s.running = done
	s.mu.Unlock()
	var last error
	failures := 0
	for {
		nc, err := s.listener.Accept()
		if err != nil && !s.ended(err) {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				last = err
				s.crowded()
				failures++
				time.Sleep(acceptPause(failures))
			}
			continue
		}
		if failures > 0 && s.acceptFailures != nil {
			s.acceptFailures(last, failures)
		}
		failures = 0
		if err != nil {
			return nil
		}
		if !s.admit() {
			nc.Close()
			continue
		}
		go func() {
			s.serve(NewConn(nc))
			s.left()
		}()
	}
}

// ended tells whether an error of accepting is the end: the listener has closed, or the
// deadline of a server that shuts has passed and nothing waits to be accepted. The
// process may have stood still over the deadline, or accepting may have failed until
// then: in that case the deadline is put off.
func (s *Server) ended(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return !hasWaiting(s.listener) || !s.extend()
}

// extend puts off the deadline of a server that shuts.
func (s *Server) extend() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(lastAccepts)) == nil
}

// admit counts a connection in, and returns once there is room for it. A server
// that closes does not wait for that: it takes some more, and closes the others.
func (s *Server) admit() bool {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		open, limit := s.open, s.limit
		s.mu.Unlock()
		if float64(open) > crowdedShare*float64(limit) {
			s.crowded()
		}
		if open <= limit {
			return true
		}
		select {
		case <-s.freed:
		case <-s.closing:
			if open > limit+shutExcess {
				s.left()
			}
			return open <= limit+shutExcess
		case <-time.After(crowdedAgain):
		}
	}
}

// left takes in that a connection has ended.
func (s *Server) left() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.checkEmpty()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// checkEmpty closes empty when the time has come. The lock is held.
func (s *Server) checkEmpty() {
	if s.shut && s.open == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// Shut stops accepting once all is taken in that had connected before, and
// returns then, or when Close is called. Those that have connected wait for room
// until then, as ever. Open connections go on. Where others hold the socket too, Close
// leaves to them what waits there.
func (s *Server) Shut() {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	if running != nil && s.extend() {
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
	s.shut = true
	s.hurry()
	s.checkEmpty()
}

// hurry ends the wait for room. The lock is held.
func (s *Server) hurry() {
	select {
	case <-s.closing:
	default:
		close(s.closing)
	}
}

// Done is closed once the server is closed and its last connection has ended.
func (s *Server) Done() <-chan struct{} { return s.empty }
