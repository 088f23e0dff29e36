package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of the HTTP listeners for metrics and for operators.
const (
	maxHTTPConnections = 32
	httpReadTimeout    = 2 * time.Second  // for a request's headers, and for all of it
	httpWriteTimeout   = 10 * time.Second // from the headers to the end of the response; commands may take 5 s
	httpIdleTimeout    = 90 * time.Second // until the next request; longer than the usual interval of scrapes
)

// httpLimiter is a net.Listener that limits the open connections of an http.Server. While a
// connection waits to be accepted at the limit, it closes the one that has been without a
// request for the longest time. The server must use its connState.
type httpLimiter struct {
	net.Listener
	limit  int
	freed  chan struct{} // receives an element when a connection has closed
	closed chan struct{} // closed by Close
	once   sync.Once

	mu       sync.Mutex
	open     int
	inactive map[net.Conn]time.Time // connections without a request, and since when
}

// newHTTPLimiter limits the connections that l accepts.
func newHTTPLimiter(l net.Listener, limit int) *httpLimiter {
	return &httpLimiter{
		Listener: l, limit: limit, inactive: make(map[net.Conn]time.Time),
		freed: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *httpLimiter) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.acquire(nc) {
		select {
		case <-l.freed:
		case <-l.closed:
			_ = nc.Close() // unread: the listener is closed
			return nil, net.ErrClosed
		}
	}
	return nc, nil
}

// Close implements net.Listener.
func (l *httpLimiter) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// acquire counts a connection if the limit allows it. Otherwise it closes the connection that
// has been without a request for the longest time, if there is one.
func (l *httpLimiter) acquire(nc net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.limit {
		l.open++
		l.inactive[nc] = time.Now()
		return true
	}
	var oldest net.Conn
	for other, since := range l.inactive {
		if oldest == nil || since.Before(l.inactive[oldest]) {
			oldest = other
		}
	}
	if oldest != nil {
		delete(l.inactive, oldest)
		_ = oldest.Close() // the server notices, and calls connState
	}
	return false
}

// connState is the http.Server's ConnState.
func (l *httpLimiter) connState(nc net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		l.inactive[nc] = time.Now()
	case http.StateActive:
		delete(l.inactive, nc)
	case http.StateClosed, http.StateHijacked:
		delete(l.inactive, nc)
		l.open--
		select {
		case l.freed <- struct{}{}:
		default:
		}
	}
}
