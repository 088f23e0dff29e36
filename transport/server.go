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

	mu      sync.Mutex
	open    int
	empty   chan struct{} // closed when no connection is open after Close
	shut    bool
	running chan struct{} // closed when Run returns; nil before it runs
}

// lastAccepts is how long a server that shuts takes in what the system has accepted
// already: a caller that finds its connection reset there does not know what became
// of its request.
const lastAccepts = 20 * time.Millisecond

// crowdedShare is the part of the limit from which on room is asked for.
const crowdedShare = 0.75

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
// goroutine that calls serve, at most limit at a time: more are closed unread.
// crowded is called for each that comes when not much room is left, so as to
// make some.
func NewServer(l net.Listener, limit int, serve func(*Conn), crowded func()) *Server {
	return &Server{listener: l, limit: limit, serve: serve, crowded: crowded, empty: make(chan struct{})}
}

// SetLimit changes the limit for the connections to come.
func (s *Server) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Addr is the address that is listened on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts until Close or Shut.
func (s *Server) Run() error {
	done := make(chan struct{})
	defer close(done)
	s.mu.Lock()
	s.running = done
	s.mu.Unlock()
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil { // descriptors ran out, say: what is open goes on
			time.Sleep(10 * time.Millisecond)
			continue
		}
		taken, crowded := s.count(1)
		if crowded {
			s.crowded()
		}
		if !taken {
			nc.Close()
			continue
		}
		go func() {
			s.serve(NewConn(nc))
			s.count(-1)
		}()
	}
}

// count takes in that a connection opens or ends. One over the limit is not
// taken.
func (s *Server) count(change int) (taken, crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken = s.open+change <= s.limit
	if taken {
		s.open += change
		s.checkEmpty()
	}
	return taken, float64(s.open) > crowdedShare*float64(s.limit)
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
// returns then. Open connections go on. Where others hold the socket too, Close
// leaves to them what waits there.
func (s *Server) Shut() {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && running != nil &&
		l.SetDeadline(time.Now().Add(lastAccepts)) == nil {
		<-running
	}
	s.Close()
}

// Close stops accepting at once. Open connections go on.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	s.checkEmpty()
}

// Empty is closed once the server is closed and its last connection has ended.
func (s *Server) Empty() <-chan struct{} { return s.empty }
