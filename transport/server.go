package transport

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// The pause after a failed accept. It stays at the minimum for the first consecutive
// failures, so that a brief shortage of descriptors costs little time, and then doubles
// with each failure up to the maximum.
const (
	minAcceptPause          = 100 * time.Microsecond
	maxAcceptPause          = 5 * time.Millisecond
	failuresBeforeBackoff   = 8 // consecutive failures followed by the minimum pause
	maxAcceptPauseDoublings = 6 // enough to reach maxAcceptPause
)

// Limits for accepting connections.
const (
	shutdownAcceptTimeout = 20 * time.Millisecond // how long Shutdown continues to accept
	maxOverLimitOnClose   = 16                    // connections over the limit that Close still admits
	nearCapacityFraction  = 0.75                  // nearCapacity is called while more than this fraction of the limit is in use
	nearCapacityInterval  = 10 * time.Millisecond // between calls of nearCapacity while a connection waits for a slot
)

// Server accepts connections from a listener up to a limit, and counts the open ones.
//
// Its methods are named like those of http.Server, but neither Shutdown nor Close closes
// open connections. Done reports when the last of them has closed.
type Server struct {
	listener         net.Listener
	serveConn        func(*Conn)
	nearCapacity     func()
	onAcceptFailures func(lastErr error, failures int)

	mu        sync.Mutex
	limit     int
	open      int           // connections counted, including one that waits for a slot
	serveDone chan struct{} // closed when Serve returns; nil until Serve is called
	closed    bool

	slotFreed chan struct{} // receives an element when a slot is released
	closing   chan struct{} // closed by Close, which ends the wait for a slot
	done      chan struct{} // closed once Close was called and no connection is open
}

// NewServer returns a server for a listener. The caller starts it with Serve. The server
// calls serve for each connection in a goroutine of its own, for at most limit connections
// at a time. It accepts one more connection, which waits until another closes; further ones
// wait in the kernel's accept queue. Closing them unread would lose requests that their
// peers have already written.
//
// nearCapacity is called for each new connection while more than three quarters of the
// limit are in use, and again at intervals while a connection waits for a slot, so that the
// caller can close other connections.
func NewServer(l net.Listener, limit int, serve func(*Conn), nearCapacity func()) *Server {
	return &Server{
		listener: l, limit: limit, serveConn: serve, nearCapacity: nearCapacity,
		slotFreed: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// OnAcceptFailures sets a function that is called after a series of failed accepts, with
// the last error and the number of failures: when an accept succeeds again, or when Serve
// stops accepting. It must be called before Serve.
func (s *Server) OnAcceptFailures(f func(lastErr error, failures int)) { s.onAcceptFailures = f }

// SetLimit changes the limit. It does not close connections that exceed the new limit.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Addr returns the listener's address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Done returns a channel that is closed once Close was called and the last connection has
// closed.
func (s *Server) Done() <-chan struct{} { return s.done }

// Serve accepts connections until Shutdown or Close stops it, and then returns nil. It
// retries a failed accept, for example when the process is out of descriptors, after a
// growing pause, so that failures neither stop the server nor keep a core busy.
func (s *Server) Serve() error {
	serveDone := make(chan struct{})
	defer close(serveDone)
	s.mu.Lock()
	s.serveDone = serveDone
	s.mu.Unlock()
	var lastErr error
	failures := 0
	for {
		nc, err := s.listener.Accept()
		if err != nil && s.shouldContinueAfter(err) {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				lastErr = err
				s.nearCapacity()
				failures++
				time.Sleep(acceptPause(failures))
			}
			continue
		}
		if failures > 0 && s.onAcceptFailures != nil {
			s.onAcceptFailures(lastErr, failures)
		}
		failures = 0
		if err != nil {
			return nil
		}
		s.startConn(nc)
	}
}

// startConn waits for a slot and then serves the connection in a goroutine of its own.
func (s *Server) startConn(nc net.Conn) {
	if !s.acquireSlot() {
		_ = nc.Close() // the connection is refused either way
		return
	}
	go func() {
		s.serveConn(NewConn(nc))
		s.releaseSlot()
	}()
}

// acceptPause returns the pause after the given number of consecutive failures.
func acceptPause(failures int) time.Duration {
	doublings := min(max(0, failures-failuresBeforeBackoff), maxAcceptPauseDoublings)
	return min(minAcceptPause<<doublings, maxAcceptPause)
}

// shouldContinueAfter reports whether Serve continues after an error of Accept. It stops if
// the listener is closed, or if the deadline set by Shutdown has passed and the accept queue
// is empty. If the queue is not empty at the deadline, the process may have been suspended
// or accepts may have failed, so shouldContinueAfter extends the deadline.
func (s *Server) shouldContinueAfter(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return hasPendingConn(s.listener) && s.extendAcceptDeadline()
}

// extendAcceptDeadline sets the deadline for accepting during Shutdown to
// shutdownAcceptTimeout from now. It returns false if the listener does not support
// deadlines.
func (s *Server) extendAcceptDeadline() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(shutdownAcceptTimeout)) == nil
}

// acquireSlot counts a connection and waits until the number of open connections is within
// the limit. It returns false if Close ends the wait and more than maxOverLimitOnClose
// connections exceed the limit; the connection is then no longer counted.
func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		open, limit := s.open, s.limit
		s.mu.Unlock()
		if float64(open) > nearCapacityFraction*float64(limit) {
			s.nearCapacity()
		}
		if open <= limit {
			return true
		}
		select {
		case <-s.slotFreed:
		case <-s.closing:
			admitted := open <= limit+maxOverLimitOnClose
			if !admitted {
				s.releaseSlot()
			}
			return admitted
		case <-time.After(nearCapacityInterval):
		}
	}
}

// releaseSlot releases the slot of a connection.
func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.checkDoneLocked()
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}

// checkDoneLocked closes done if the server is closed and no connection is open. The caller
// holds mu.
func (s *Server) checkDoneLocked() {
	if s.closed && s.open == 0 {
		closeOnce(s.done)
	}
}

// Shutdown accepts all connections that are in the accept queue, closes the server and
// returns. Connections over the limit still wait for a slot until Close is called. Shutdown
// does not close open connections. If other processes also hold the socket, Shutdown accepts
// the connections in the accept queue itself, whereas Close leaves them to those processes.
func (s *Server) Shutdown() {
	s.mu.Lock()
	serveDone := s.serveDone
	s.mu.Unlock()
	if serveDone != nil && s.extendAcceptDeadline() {
		<-serveDone
	}
	s.Close()
}

// Close stops accepting, without waiting for the accept queue to be empty. It admits accepted
// connections that wait for a slot as long as at most maxOverLimitOnClose connections exceed
// the limit, and closes the others unread. It does not close open connections.
func (s *Server) Close() {
	_ = s.listener.Close() // may already be closed
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	closeOnce(s.closing)
	s.checkDoneLocked()
}

// closeOnce closes a channel unless it is already closed. The caller holds the lock that
// guards the channel.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
