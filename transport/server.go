package transport

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// The pause after an accept that failed. It is short after the first failures in a row, so
// that a brief shortage costs little time, and doubles after each further one.
const (
	minAcceptPause          = 100 * time.Microsecond
	maxAcceptPause          = 5 * time.Millisecond
	briefAcceptFailures     = 8 // failures in a row with the shortest pause
	maxAcceptPauseDoublings = 6 // enough to reach the longest pause
)

// The limits of accepting connections.
const (
	shutdownAcceptTimeout = 20 * time.Millisecond // how long Shutdown goes on accepting
	maxExcessOnClose      = 16                    // connections over the limit that Close still admits
	nearCapacityShare     = 0.75                  // part of the limit from which on the server is near capacity
	nearCapacityInterval  = 10 * time.Millisecond // between two calls of nearCapacity while a connection waits for a slot
)

// Server accepts connections from a listener up to a limit, and counts those that are open.
//
// It has the verbs of http.Server, with one difference: neither Shutdown nor Close ends
// connections that are open. Done tells when the last of them has ended.
type Server struct {
	listener         net.Listener
	serveConn        func(*Conn)
	nearCapacity     func()
	onAcceptFailures func(last error, failures int)

	mu      sync.Mutex
	limit   int
	open    int           // connections, including one that waits for a slot
	serving chan struct{} // closed when Serve returns; nil before it is called
	closed  bool

	slotFreed chan struct{} // holds an element after a connection has ended
	closing   chan struct{} // closed by Close: no connection waits for a slot any more
	done      chan struct{} // closed when no connection is open after Close
}

// NewServer makes a server of a listener, which the caller starts with Serve. Each
// connection gets a goroutine that calls serve; at most limit run at a time. One more
// connection is accepted and waits until another ends, while those behind it wait in the
// system's accept queue: if they were closed unread, each would lose a request that its
// peer has written already.
//
// nearCapacity is called for each new connection while more than three quarters of the
// limit are open, and again while one waits, so that the caller can close some.
func NewServer(l net.Listener, limit int, serve func(*Conn), nearCapacity func()) *Server {
	return &Server{
		listener: l, limit: limit, serveConn: serve, nearCapacity: nearCapacity,
		slotFreed: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// OnAcceptFailures has f called with the last error and the number of failures when
// accepting succeeds again after failures in a row, or when the server ends after such. It
// must be called before Serve.
func (s *Server) OnAcceptFailures(f func(last error, failures int)) { s.onAcceptFailures = f }

// SetLimit changes the limit for future connections.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Done returns a channel that is closed once the server is closed and its last connection
// has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections until Shutdown or Close, and returns nil then. An accept that
// fails, for want of descriptors say, is retried after a pause that grows: it neither ends
// the server nor keeps a core busy.
func (s *Server) Serve() error {
	serving := make(chan struct{})
	defer close(serving)
	s.mu.Lock()
	s.serving = serving
	s.mu.Unlock()
	var last error
	failures := 0
	for {
		nc, err := s.listener.Accept()
		if err != nil && s.goesOnAfter(err) {
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
		s.start(nc)
	}
}

// start serves a connection in a goroutine of its own once there is a slot for it.
func (s *Server) start(nc net.Conn) {
	if !s.waitForSlot() {
		_ = nc.Close() // it is refused whatever the close returns
		return
	}
	go func() {
		s.serveConn(NewConn(nc))
		s.connectionEnded()
	}()
}

// acceptPause returns how long accepting pauses after so many failures in a row.
func acceptPause(failures int) time.Duration {
	doublings := min(max(0, failures-briefAcceptFailures), maxAcceptPauseDoublings)
	return min(minAcceptPause<<doublings, maxAcceptPause)
}

// goesOnAfter reports whether Serve goes on after an error of Accept. It does not if the
// listener is closed, or if the deadline set by Shutdown has passed and no connection waits.
// If one waits at the deadline, the process may have been suspended until then, or accepting
// may have failed: the deadline is extended.
func (s *Server) goesOnAfter(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return hasWaiting(s.listener) && s.extendDeadline()
}

// extendDeadline sets the deadline until which a server that shuts down accepts:
// shutdownAcceptTimeout from now. It reports false if the listener has no deadlines.
func (s *Server) extendDeadline() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(shutdownAcceptTimeout)) == nil
}

// waitForSlot counts a connection, and reports true once there is a slot for it. Close ends
// the wait: a few connections over the limit are admitted then, and false is reported for
// further ones, which are not counted.
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
			admitted := open <= limit+maxExcessOnClose
			if !admitted {
				s.connectionEnded()
			}
			return admitted
		case <-time.After(nearCapacityInterval):
		}
	}
}

// connectionEnded frees a connection's slot.
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

// checkDoneLocked closes done if the server is closed and no connection is open. The lock
// is held.
func (s *Server) checkDoneLocked() {
	if s.closed && s.open == 0 {
		closeOnce(s.done)
	}
}

// Shutdown accepts all connections that were made before, then closes the server and
// returns. Those over the limit wait for a slot as before, until Close is called. Open
// connections are not ended. Where other processes hold the socket too, Close leaves them
// what waits in its accept queue; Shutdown takes it first.
func (s *Server) Shutdown() {
	s.mu.Lock()
	serving := s.serving
	s.mu.Unlock()
	if serving != nil && s.extendDeadline() {
		<-serving
	}
	s.Close()
}

// Close stops accepting at once. Of the connections that wait for a slot a few over the
// limit are admitted, and the others reset. Open connections are not ended.
func (s *Server) Close() {
	_ = s.listener.Close() // it may be closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	closeOnce(s.closing)
	s.checkDoneLocked()
}

// closeOnce closes a channel that may be closed already; the caller's lock is held.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
