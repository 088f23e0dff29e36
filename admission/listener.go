package admission

import (
	"net"
	"sync"
)

// Why a listener of its own: http.Server.Shutdown closes a connection whose
// request is read whole after Shutdown began, without an answer (net/http's
// conn.serve returns once the server is shutting down). A caller whose request
// was half sent at the notice would then get nothing, although all that was
// read must be answered. So after the grace the socket is closed here, which
// refuses new callers and proves to them that nothing ran, while http.Server
// goes on serving the connections that are open: what comes whole on them is
// turned away, with Retry-After, until they are closed or the stop is near.

// listener is a net.Listener of which the server knows the connections.
type listener struct {
	net.Listener
	s      *Server
	closed chan struct{} // by its Close, as http.Server.Shutdown calls it
	once   sync.Once
}

// Listener wraps l for http.Server.Serve. After the drain's grace it takes no
// new connections: the socket is closed, and Accept waits until the
// http.Server closes the listener. Connections that are open are served to the
// end, and Shutdown waits for them. Serve on it for a drain that answers all
// that is read; with ListenAndServe, a request that is read whole after the
// grace may be dropped unanswered, as net/http does in its Shutdown.
func (s *Server) Listener(l net.Listener) net.Listener {
	w := &listener{Listener: l, s: s, closed: make(chan struct{})}
	s.conns.mu.Lock()
	s.conns.listeners = append(s.conns.listeners, l)
	past := s.conns.refusing
	s.conns.mu.Unlock()
	if past {
		l.Close()
	}
	return w
}

// Accept implements net.Listener.
func (w *listener) Accept() (net.Conn, error) {
	for {
		nc, err := w.Listener.Accept()
		if err != nil {
			if w.s.conns.refused() { // by the drain, not by the http.Server
				<-w.closed
				return nil, net.ErrClosed
			}
			return nil, err
		}
		if c := w.s.conns.open(nc); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (w *listener) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.Listener.Close()
}

// conns keeps the connections of a server's listeners.
type conns struct {
	mu        sync.Mutex
	listeners []net.Listener
	count     int
	refusing  bool
	idle      chan struct{} // closed when, after the grace, none is open
}

// open counts a connection, or closes it if the grace is over.
func (c *conns) open(nc net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing {
		nc.Close()
		return nil
	}
	c.count++
	return &conn{Conn: nc, c: c}
}

func (c *conns) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// refuse closes the sockets, and gives a channel that is closed once all the
// connections are, and whether there are listeners at all.
func (c *conns) refuse() (<-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.refusing {
		c.refusing, c.idle = true, make(chan struct{})
		for _, l := range c.listeners {
			l.Close()
		}
		if c.count == 0 {
			close(c.idle)
		}
	}
	return c.idle, len(c.listeners) > 0
}

func (c *conns) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 && c.refusing {
		close(c.idle)
	}
}

// conn is a connection that is counted until it is closed.
type conn struct {
	net.Conn
	c    *conns
	once sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.c.closed)
	return c.Conn.Close()
}
