package transport

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Server accepts connections up to a limit and counts those that are open.
type Server struct {
	listener net.Listener
	limit    int
	serve    func(*Conn)

	mu    sync.Mutex
	open  int
	empty chan struct{} // closed when no connection is open after Close
	shut  bool
}

// Listen opens a listener; Run works it. Each connection gets a goroutine
// that calls serve, at most limit at a time: more are closed unread.
func Listen(address string, limit int, serve func(*Conn)) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &Server{listener: l, limit: limit, serve: serve, empty: make(chan struct{})}, nil
}

// Addr is the address that is listened on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts until Close.
func (s *Server) Run() error {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // descriptors ran out, say: what is open goes on
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.count(1) {
			nc.Close()
			continue
		}
		go func() {
			s.serve(NewConn(nc))
			s.count(-1)
		}()
	}
}

// count takes in that a connection opens or ends. It reports false for one over
// the limit.
func (s *Server) count(change int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open+change > s.limit {
		return false
	}
	s.open += change
	s.checkEmpty()
	return true
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

// Close stops accepting. Open connections go on.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	s.checkEmpty()
}

// Empty is closed once the server is closed and its last connection has ended.
func (s *Server) Empty() <-chan struct{} { return s.empty }
