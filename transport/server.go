package transport

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Server accepts connections up to a limit and keeps track of them.
type Server struct {
	listener net.Listener
	limit    int
	serve    func(*Conn)

	mu    sync.Mutex
	conns map[*Conn]struct{}
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
	return &Server{listener: l, limit: limit, serve: serve,
		conns: make(map[*Conn]struct{}), empty: make(chan struct{})}, nil
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
		c := NewConn(nc)
		s.mu.Lock()
		full := len(s.conns) >= s.limit
		if !full {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			nc.Close()
			continue
		}
		go func() {
			s.serve(c)
			s.remove(c)
		}()
	}
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkEmpty()
}

func (s *Server) checkEmpty() {
	if s.shut && len(s.conns) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// Each calls f for every open connection.
func (s *Server) Each(f func(*Conn)) {
	s.mu.Lock()
	open := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		f(c)
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
