package admission

import (
	"net"
	"sync"
)

// This package has a listener of its own because http.Server.Shutdown closes, without an answer,
// a connection whose request is complete only after Shutdown began (net/http's conn.serve
// returns once the server is shutting down). A caller that had sent a part of its request
// when the drain began would get nothing, although all that is read must be answered. So
// after the grace the socket is closed here, which refuses new callers and proves to them
// that nothing ran, while http.Server goes on serving the open connections: requests that
// become complete on them are shed, with Retry-After, until they are closed or the stop is
// near.

// listener is a net.Listener whose connections the server counts.
type listener struct {
	net.Listener
	server *Server
	closed chan struct{} // closed by Close, which http.Server.Shutdown calls
	once   sync.Once
}

// Listener wraps l for http.Server.Serve. After the drain's grace it takes no
// new connections: the socket is closed, and Accept waits until the
// http.Server closes the listener. Connections that are open are served to the
// end, and Shutdown waits for them. Serve on it for a drain that answers all
// that is read; with ListenAndServe, a request that is read whole after the
// grace may be dropped unanswered, as net/http does in its Shutdown.
func (s *Server) Listener(l net.Listener) net.Listener {
	w := &listener{Listener: l, server: s, closed: make(chan struct{})}
	s.connections.mu.Lock()
	s.connections.listeners = append(s.connections.listeners, l)
	graceOver := s.connections.listenersClosed
	s.connections.mu.Unlock()
	if graceOver {
		closeListener(l)
	}
	return w
}

// Accept implements net.Listener.
func (w *listener) Accept() (net.Conn, error) {
	for {
		nc, err := w.Listener.Accept()
		if err != nil {
			if w.server.connections.areListenersClosed() { // by the drain, not by the http.Server
				<-w.closed
				return nil, net.ErrClosed
			}
			return nil, err
		}
		if c := w.server.connections.open(nc); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (w *listener) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.Listener.Close()
}

// connections counts the open connections of a server's listeners.
type connections struct {
	mu              sync.Mutex
	listeners       []net.Listener
	count           int
	listenersClosed bool
	idle            chan struct{} // made by closeListeners; closed once no connection is open
}

// open counts a connection. It closes it and returns nil if the grace is over.
func (c *connections) open(nc net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listenersClosed {
		_ = nc.Close() // nothing was read from it
		return nil
	}
	c.count++
	return &countedConn{Conn: nc, connections: c}
}

// areListenersClosed reports whether closeListeners was called.
func (c *connections) areListenersClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listenersClosed
}

// closeListeners closes the sockets. It returns a channel that is closed once no connection
// is open, and whether there are listeners at all.
func (c *connections) closeListeners() (idle <-chan struct{}, exist bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listenersClosed {
		c.listenersClosed, c.idle = true, make(chan struct{})
		for _, l := range c.listeners {
			closeListener(l)
		}
		if c.count == 0 {
			close(c.idle)
		}
	}
	return c.idle, len(c.listeners) > 0
}

// connectionClosed counts a connection that has closed.
func (c *connections) connectionClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 && c.listenersClosed {
		close(c.idle)
	}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	connections *connections
	once        sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.connections.connectionClosed)
	return c.Conn.Close()
}

// closeListener closes a socket. An error leaves nothing to do: the socket is closed, or
// the http.Server has closed it before.
func closeListener(l net.Listener) { _ = l.Close() }
