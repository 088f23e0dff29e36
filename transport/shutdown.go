package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

// Limits for accepting during Shutdown.
const (
	shutdownAcceptTimeout = 20 * time.Millisecond // how long Shutdown continues to accept
	maxAcceptExtensions   = 5                     // extensions of that time before the accept queue is closed
)

// Shutdown accepts all connections that are in the accept queue, closes the server and
// returns. Connections over the limit still wait for a slot until Close is called, unless
// BoundWaits admits them. If new connections keep coming, Shutdown stops the system from
// queueing them. Shutdown does not close open connections. If other processes also hold the socket, Shutdown accepts
// the connections in the accept queue itself, whereas Close leaves them to those processes.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shutdown = true
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

// shouldContinueAfter reports whether Serve continues after an error of Accept. It stops if
// the listener is closed, or if the deadline set by Shutdown has passed and the accept queue
// is empty. If the queue is not empty at the deadline, the process may have been suspended,
// accepts may have failed, or new connections keep coming, so shouldContinueAfter extends the
// deadline. After maxAcceptExtensions of these, it closes the queue for new connections.
func (s *Server) shouldContinueAfter(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if !hasPendingConn(s.listener) {
		return false
	}
	s.acceptExtensions++
	if s.acceptExtensions == maxAcceptExtensions {
		s.closeQueue()
	}
	return s.extendAcceptDeadline()
}

// closeQueue stops the system from queueing further connections, so that the accept queue
// becomes empty. It drops them instead; their peers try again and are refused once the listener
// is closed.
func (s *Server) closeQueue() {
	s.queueClosedAt = time.Now()
	closeAcceptQueue(s.listener)
}

// connectedAfterQueueClosed reports whether the peer of a connection is known to have connected
// after closeQueue. All connections that were queued before have been accepted then.
func (s *Server) connectedAfterQueueClosed(nc net.Conn) bool {
	if s.queueClosedAt.IsZero() {
		return false
	}
	connected, known := connectedBefore(nc)
	return known && time.Since(s.queueClosedAt) > connected+2*kernelTimeResolution
}

// extendAcceptDeadline sets the deadline for accepting during Shutdown to
// shutdownAcceptTimeout from now. It returns false if the listener does not support
// deadlines.
func (s *Server) extendAcceptDeadline() bool {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(shutdownAcceptTimeout)) == nil
}

// checkDoneLocked closes done if the server is closed and no connection is open. The caller
// holds mu.
func (s *Server) checkDoneLocked() {
	if s.closed && s.open == 0 {
		closeOnce(s.done)
	}
}
