package rafttransport

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// sender writes the messages that are queued for one peer. Its goroutine owns all
// of its fields.
//
// The sender detects a connection closed by the peer without writing to it. Voters
// that do not lead send each other nothing between elections, so otherwise a vote
// request would be written to a connection that was closed long ago, and be lost.
type sender struct {
	transport  *Transport
	peer       peer
	hello      []byte        // first frame of each connection
	conn       net.Conn      // nil while disconnected
	connClosed chan struct{} // closed when the peer has closed conn; nil while disconnected
	backoff    time.Duration // delay after the next failed dial
}

func newSender(t *Transport, name string, p peer) *sender {
	hello, err := json.Marshal(Hello{Fleet: t.options.Fleet, From: t.options.Self, To: name})
	if err != nil {
		panic(fmt.Errorf("rafttransport: encoding the Hello of three strings failed: %w", err))
	}
	return &sender{transport: t, peer: p, hello: AppendFrame(nil, hello), backoff: minBackoff}
}

// run sends queued messages until Close, or until SetPeers removes the peer.
func (s *sender) run() {
	defer s.disconnect()
	for {
		select {
		case <-s.transport.ctx.Done():
			return
		case <-s.peer.removed:
			return
		case <-s.connClosed:
			s.disconnect()
		case message := <-s.peer.queue:
			if !s.send(message) {
				return
			}
		}
	}
}

// send writes a message, and connects first if the sender is disconnected. The
// message is lost if either fails. send returns false if the sender must stop.
func (s *sender) send(message []byte) bool {
	frames := AppendFrame(nil, message)
	if s.conn == nil {
		conn, err := s.dial()
		if err != nil {
			return s.waitBackoff()
		}
		if !s.connect(conn) {
			return false
		}
		frames = append(s.hello[:len(s.hello):len(s.hello)], frames...)
	}
	if err := s.write(frames); err != nil {
		s.disconnect()
		return true
	}
	s.transport.sentMessages.Add(1)
	s.transport.sentBytes.Add(int64(len(frames)))
	return true
}

func (s *sender) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(s.transport.ctx, "tcp", s.peer.address)
}

// connect makes conn the sender's connection and starts watching it. It closes conn
// and returns false if the transport is closed or has too many connections.
func (s *sender) connect(conn net.Conn) bool {
	if !s.transport.trackConn(conn) {
		s.transport.closeQuietly(conn)
		return false
	}
	s.conn = conn
	s.connClosed = make(chan struct{})
	s.backoff = minBackoff
	s.transport.tasks.Go(watchClose(conn, s.connClosed))
	return true
}

func (s *sender) disconnect() {
	if s.conn == nil {
		return
	}
	s.transport.closeConn(s.conn)
	s.conn, s.connClosed = nil, nil
}

// waitBackoff waits before the next attempt to connect, and doubles the backoff up
// to maxBackoff. It returns false if the transport was closed.
func (s *sender) waitBackoff() bool {
	select {
	case <-s.transport.ctx.Done():
		return false
	case <-time.After(s.backoff):
	}
	s.backoff = min(2*s.backoff, maxBackoff)
	return true
}

func (s *sender) write(frames []byte) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(frames)
	return err
}

// watchClose returns a function that waits until the connection is closed or fails,
// and then closes the channel closed. It waits by reading: the peer writes nothing
// to the connection, so a read returns only then.
func watchClose(conn net.Conn, closed chan<- struct{}) func() {
	return func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}
}
