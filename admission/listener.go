package admission

import (
	"net"
	"sync"
)

// The package has its own listener because of how http.Server.Shutdown treats a connection
// whose request is received completely only after Shutdown was called: net/http's conn.serve
// returns, and the connection is closed without a response. A caller that had sent a part of
// its request when the drain began would get no response, although every request that is
// read must be answered.
//
// Therefore the package closes the listening sockets itself, at the end of the grace period.
// New callers are refused, which proves to them that their requests did not run. The
// http.Server continues to serve the open connections until they are closed or the stop is
// near. Requests that are received completely after the end of the grace period are shed
// with Retry-After.

// listener is a net.Listener that counts the connections it accepts.
type listener struct {
	net.Listener
	server *Server
	closed chan struct{} // closed by Close, which http.Server.Shutdown calls
	once   sync.Once
}

// Listener wraps l for http.Server.Serve. At the end of the drain's grace period l is
// closed, and Accept then blocks until the http.Server closes the returned listener. Open connections are
// still served, and Shutdown waits for them.
//
// A drain answers every request that was read only if the server uses this listener. With
// ListenAndServe, a request that is received completely after the grace period may be dropped
// without a response by http.Server.Shutdown.
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
			if w.server.connections.areListenersClosed() { // the socket was closed by the drain, not by the http.Server
				<-w.closed
				return nil, net.ErrClosed
			}
			return nil, err
		}
		if c := w.server.connections.add(nc); c != nil {
			return c, nil
		}
	}
}

// Close implements net.Listener.
func (w *listener) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.Listener.Close()
}

// connections holds a server's listeners and counts their open connections.
type connections struct {
	mu              sync.Mutex
	listeners       []net.Listener
	count           int
	listenersClosed bool
	idle            chan struct{} // made by closeListeners; closed once no connection is open
}

// add counts a connection and returns it wrapped. After closeListeners it closes the
// connection and returns nil.
func (c *connections) add(nc net.Conn) net.Conn {
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
// is open, and reports whether there are any listeners.
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

// connectionClosed decrements the count when a connection is closed.
func (c *connections) connectionClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 && c.listenersClosed {
		close(c.idle)
	}
}

// countedConn is a connection that is counted as open until Close is called.
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

// closeListener closes a socket. Errors are ignored: the socket is closed anyway, or the
// http.Server has already closed it.
func closeListener(l net.Listener) { _ = l.Close() }
