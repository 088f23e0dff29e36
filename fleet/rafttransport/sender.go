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
// A connection that the peer ended is noticed at once: voters that don't lead send
// each other nothing between elections, and a request for a vote that is written to
// a connection which ended long ago would be lost.
type sender struct {
	transport  *Transport
	peer       peer
	hello      []byte        // the first frame of each connection
	conn       net.Conn      // nil while disconnected
	connClosed chan struct{} // closed when the peer ended conn; nil while disconnected
	backoff    time.Duration // before the next attempt to connect
}

func newSender(t *Transport, name string, p peer) *sender {
	hello, err := json.Marshal(Hello{Fleet: t.options.Fleet, From: t.options.Self, To: name})
	if err != nil {
		panic(fmt.Errorf("rafttransport: three strings can't be encoded: %w", err))
	}
	return &sender{transport: t, peer: p, hello: AppendFrame(nil, hello), backoff: minBackoff}
}

// run sends until Close, or until the peer is one no more.
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

// send writes a message, over a new connection where there is none. The message is
// lost if that fails. It returns false where the sender must end.
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

// connect takes over a connection that was dialled. It returns false where the
// transport takes no more.
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

// waitBackoff waits before the next attempt to connect, twice as long each time.
// It returns false where the transport was closed meanwhile.
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

// watchClose gives a task that closes ended when the peer ends the connection. The
// peer writes nothing on it, so that a read returns only then.
func watchClose(conn net.Conn, ended chan<- struct{}) func() {
	return func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
	}
}
