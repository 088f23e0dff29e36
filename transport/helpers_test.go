package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// frameSize is the size in bytes of a message in these tests.
const frameSize = 3

// errUnreadable is the error that the handler of socketPair returns for the message "end".
var errUnreadable = errors.New("unreadable message")

// closeLater closes c at the end of the test, unless the test has closed it.
func closeLater(t testing.TB, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// closeNow closes c and fails the test if that returns an error.
func closeNow(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("Close() = %v, want nil", err)
	}
}

// listen opens a listening socket on the loopback interface.
func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, l)
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		t.Fatalf("the listener has type %T, want *net.TCPListener", l)
	}
	return tcp
}

// dial connects to a listener.
func dial(t testing.TB, address net.Addr) *net.TCPConn {
	t.Helper()
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, nc)
	return tcpConn(t, nc)
}

// checkRefused checks that connections to an address are refused.
func checkRefused(t testing.TB, address net.Addr) {
	t.Helper()
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	if err == nil {
		_ = nc.Close()
		t.Errorf("dialing %v succeeded, want an error because the server is closed", address)
	}
}

func tcpConn(t testing.TB, nc net.Conn) *net.TCPConn {
	t.Helper()
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		t.Fatalf("the connection has type %T, want *net.TCPConn", nc)
	}
	return tcp
}

// write writes s to a connection.
func write(t testing.TB, nc net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(nc, s); err != nil {
		t.Fatal(err)
	}
}

// read checks that the connection receives want, and then the end of the stream if eof is
// set.
func read(t testing.TB, nc net.Conn, want string, eof bool) {
	t.Helper()
	if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(want))
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != want {
		t.Fatalf("received %q, %v, want %q", b, err, want)
	}
	if eof {
		if n, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("received %d bytes, %v after %q, want %v", n, err, want, io.EOF)
		}
	}
}

// closeWrite shuts down the write side of a connection.
func closeWrite(t testing.TB, nc *net.TCPConn) {
	t.Helper()
	if err := nc.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// readFrame reads one message.
func readFrame(r *bufio.Reader) (string, error) {
	b, err := r.Peek(frameSize)
	if err != nil {
		return "", err
	}
	m := string(b)
	_, err = r.Discard(frameSize)
	return m, err
}

// echo serves a connection and responds to each message.
func echo(c *Conn) {
	_ = c.Serve(func(r *bufio.Reader) error { // the test decides how the connection closes
		m, err := readFrame(r)
		if err == nil {
			c.Send([]byte("re " + m))
		}
		return err
	})
}

// drainNow drains a connection with a deadline that has passed: the connection reads the
// messages that have arrived completely, and closes.
func drainNow(c *Conn) { c.Drain(time.Now()) }

// gatedConn is a socket whose reads block until the test opens a gate. It reports reads and
// the close to the test.
type gatedConn struct {
	*net.TCPConn
	gate      chan struct{} // reads block until it is closed
	seen      chan struct{} // receives an element when a read has returned bytes
	closed    chan struct{} // closed by Close
	closeOnce sync.Once
}

// Read implements net.Conn.
func (g *gatedConn) Read(p []byte) (int, error) {
	<-g.gate
	n, err := g.TCPConn.Read(p)
	if n > 0 {
		select {
		case g.seen <- struct{}{}:
		default: // a report is already pending
		}
	}
	return n, err
}

// Close implements net.Conn.
func (g *gatedConn) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.TCPConn.Close()
}

// socketPair returns a connection on a TCP socket behind a gate, its remote side, and a
// function that starts to serve the connection. A message is a frame of frameSize bytes;
// respond, if not nil, is called for each message.
func socketPair(t testing.TB, respond func(c *Conn, m string)) (g *gatedConn, c *Conn, remote *net.TCPConn, serve func() (served chan error)) {
	t.Helper()
	l := listen(t)
	remote = dial(t, l.Addr())
	local, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, local)
	g = &gatedConn{TCPConn: tcpConn(t, local), gate: make(chan struct{}), seen: make(chan struct{}, 1), closed: make(chan struct{})}
	c = NewConn(g)
	c.lingerTimeout = time.Minute // longer than any test takes
	return g, c, remote, func() chan error {
		served := make(chan error, 1)
		go func() { served <- c.Serve(frameHandler(c, respond)) }()
		return served
	}
}

// frameHandler returns a handler that reads frames. It skips the frame "bad" and fails for
// the frame "end".
func frameHandler(c *Conn, respond func(c *Conn, m string)) func(*bufio.Reader) error {
	return func(r *bufio.Reader) error {
		m, err := readFrame(r)
		switch {
		case err != nil:
			return err
		case m == "bad":
			return ErrMessageSkipped
		case m == "end":
			return errUnreadable
		case respond != nil:
			respond(c, m)
		}
		return nil
	}
}
