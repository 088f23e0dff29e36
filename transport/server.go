package transport

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/guard"
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
	maxOverLimitOnClose  = 16                    // connections over the limit that Close still admits
	nearCapacityFraction = 0.75                  // nearCapacity is called while more than this fraction of the limit is in use
	nearCapacityInterval = 10 * time.Millisecond // between calls of nearCapacity while a connection waits for a slot

	// maxSlotWait is how long a connection waits for a slot, counted from its peer's connect,
	// before BoundWaits admits it over the limit. Peers must be answered within 3 s.
	maxSlotWait = time.Second

	// maxOverLimit bounds the connections that BoundWaits admits over the limit, and
	// overLimitFraction bounds them as a fraction of the limit.
	maxOverLimit      = 16
	overLimitFraction = 0.125
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
	boundWaits       bool         // see BoundWaits
	inputBudget      *InputBudget // see LimitInput; may be nil
	limitTurns       bool         // see LimitTurns
	turnsExhausted   atomic.Int64 // see ServerStats

	// Used only by the goroutine that accepts connections.
	lastReclaim      time.Time // when reclaimConns last searched
	acceptExtensions int       // how often shouldContinueAfter has extended the deadline for accepting
	queueClosedAt    time.Time // when closeQueue was called; zero before

	mu        sync.Mutex
	limit     int
	open      int                // connections counted, including one that waits for a slot
	conns     map[*Conn]struct{} // connections being served
	stats     ServerStats        // Open and Limit are not set
	serveDone chan struct{}      // closed when Serve returns; nil until Serve is called
	shutdown  bool               // Shutdown was called
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
		conns: make(map[*Conn]struct{}), stats: ServerStats{Withheld: make(map[guard.Withheld]int)},
		slotFreed: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// BoundWaits bounds how long a connection waits for a slot, so that what the peers of other
// connections withhold delays no answer. Near the limit, connections whose peers withhold
// something are reclaimed (guard.MayReclaim). A connection that has waited for maxSlotWait is
// admitted over the limit; Conn.OverLimit tells its handler to answer without running
// anything. BoundWaits must be called before Serve.
func (s *Server) BoundWaits() { s.boundWaits = true }

// LimitInput makes the connections' input count against a budget, which several servers may
// share. LimitInput must be called before Serve.
func (s *Server) LimitInput(budget *InputBudget) { s.inputBudget = budget }

// LimitTurns bounds what each connection may take in a turn (see turn). LimitTurns must be called
// before Serve.
func (s *Server) LimitTurns() { s.limitTurns = true }

// newConn returns the Conn for an accepted connection.
func (s *Server) newConn(nc net.Conn) *Conn {
	bufferSize := readBufferSize
	if s.inputBudget != nil {
		bufferSize = initialReadBufferSize
	}
	c := newConn(nc, bufferSize)
	c.inputBudget = s.inputBudget
	if s.limitTurns {
		c.source.turn.exhausted = &s.turnsExhausted
	}
	return c
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
		last := s.connectedAfterQueueClosed(nc)
		s.startConn(nc)
		if last {
			return nil
		}
	}
}

// startConn waits for a slot and then serves the connection in a goroutine of its own.
func (s *Server) startConn(nc net.Conn) {
	c := s.newConn(nc)
	admitted, overLimit := s.acquireSlot(c)
	if !admitted {
		_ = nc.Close() // the connection is refused either way
		return
	}
	c.overLimit = overLimit
	s.trackConn(c)
	if c.inputBudget != nil {
		c.inputBudget.add(c)
	}
	go func() {
		s.serveConn(c)
		if c.inputBudget != nil {
			c.inputBudget.remove(c)
		}
		s.untrackConn(c)
		s.releaseSlot()
	}()
}

// acceptPause returns the pause after the given number of consecutive failures.
func acceptPause(failures int) time.Duration {
	doublings := min(max(0, failures-failuresBeforeBackoff), maxAcceptPauseDoublings)
	return min(minAcceptPause<<doublings, maxAcceptPause)
}
