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

// frameSize is the bytes of a message in these tests.
const frameSize = 3

// errBad is what the step of socketPair returns for the message "end".
var errBad = errors.New("no message")

// closeLater closes c at the end of the test, if the test has not.
func closeLater(t testing.TB, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// closeNow closes c, which is open.
func closeNow(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("closing: %v", err)
	}
}

// listen opens a listening socket.
func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, l)
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		t.Fatalf("a listener of type %T", l)
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

// refuses checks that a listening socket is closed.
func refuses(t testing.TB, address net.Addr) {
	t.Helper()
	nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	if err == nil {
		_ = nc.Close()
		t.Error("a closed server takes connections")
	}
}

func tcpConn(t testing.TB, nc net.Conn) *net.TCPConn {
	t.Helper()
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		t.Fatalf("a connection of type %T", nc)
	}
	return tcp
}

// write writes s.
func write(t testing.TB, nc net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(nc, s); err != nil {
		t.Fatal(err)
	}
}

// read reads what is wanted, then the end where eof says so.
func read(t testing.TB, nc net.Conn, want string, eof bool) {
	t.Helper()
	if err := nc.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(want))
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v, want %q", b, err, want)
	}
	if eof {
		if n, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("read %d bytes, %v, want the end", n, err)
		}
	}
}

// closeWrite shuts the writing side of a connection.
func closeWrite(t testing.TB, nc *net.TCPConn) {
	t.Helper()
	if err := nc.CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// readFrame is a step that reads one message.
func readFrame(r *bufio.Reader) (string, error) {
	b, err := r.Peek(frameSize)
	if err != nil {
		return "", err
	}
	m := string(b)
	_, err = r.Discard(frameSize)
	return m, err
}

// echo answers each message of a connection.
func echo(c *Conn) {
	_ = c.Serve(func(r *bufio.Reader) error { // it ends as its test has it
		m, err := readFrame(r)
		if err == nil {
			c.Send([]byte("re " + m))
		}
		return err
	})
}

// drainNow ends a connection at once, but for messages that have arrived completely.
func drainNow(c *Conn) { c.Drain(time.Now()) }

// gatedConn is a socket at which the test stands between a connection and the system:
// reads wait at a gate, and what is called is reported.
type gatedConn struct {
	*net.TCPConn
	gate      chan struct{} // closed: reads go on
	seen      chan struct{} // something was read
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements net.Conn.
func (g *gatedConn) Read(p []byte) (int, error) {
	<-g.gate
	n, err := g.TCPConn.Read(p)
	if n > 0 {
		select {
		case g.seen <- struct{}{}:
		default: // nobody looks
		}
	}
	return n, err
}

// Close implements net.Conn.
func (g *gatedConn) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.TCPConn.Close()
}

// socketPair returns a connection on a real socket, behind a gate, and its peer. A message
// is a frame; answer, where not nil, is called for each.
func socketPair(t testing.TB, answer func(c *Conn, m string)) (g *gatedConn, c *Conn, far *net.TCPConn, serve func() (ended chan error)) {
	t.Helper()
	l := listen(t)
	far = dial(t, l.Addr())
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, near)
	g = &gatedConn{TCPConn: tcpConn(t, near), gate: make(chan struct{}), seen: make(chan struct{}, 1), closed: make(chan struct{})}
	c = NewConn(g)
	c.lingerTimeout = time.Minute // the tests end it
	return g, c, far, func() chan error {
		ended := make(chan error, 1)
		go func() { ended <- c.Serve(frameStep(c, answer)) }()
		return ended
	}
}

// frameStep reads frames. It skips "bad", and fails for "end".
func frameStep(c *Conn, answer func(c *Conn, m string)) func(*bufio.Reader) error {
	return func(r *bufio.Reader) error {
		m, err := readFrame(r)
		switch {
		case err != nil:
			return err
		case m == "bad":
			return ErrMessageSkipped
		case m == "end":
			return errBad
		case answer != nil:
			answer(c, m)
		}
		return nil
	}
}
