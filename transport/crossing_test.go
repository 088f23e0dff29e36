package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// gated is a socket at which the test stands between a connection and the system:
// reads wait for leave, and what is called is told.
type gated struct {
	*net.TCPConn
	leave  chan struct{} // closed: reads go on
	seen   chan struct{} // something was read
	closed chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (g *gated) Read(p []byte) (int, error) {
	<-g.leave
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
func (g *gated) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.TCPConn.Close()
}

// sockets gives a connection on a real socket, behind a gate, and its peer. A
// message is frame bytes; answer, where not nil, is called for each.
func sockets(t *testing.T, answer func(c *Conn, m string)) (g *gated, c *Conn, far *net.TCPConn, serve func() (ended chan error)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far = nc.(*net.TCPConn)
	g = &gated{TCPConn: near.(*net.TCPConn), leave: make(chan struct{}), seen: make(chan struct{}, 1), closed: make(chan struct{})}
	c = NewConn(g)
	c.lingerTimeout = time.Minute // the tests end it
	t.Cleanup(func() { far.Close(); near.Close() })
	return g, c, far, func() chan error {
		ended := make(chan error, 1)
		go func() {
			ended <- c.Serve(func(r *bufio.Reader) error {
				b, err := r.Peek(frame)
				if err != nil {
					return err
				}
				m := string(b)
				r.Discard(frame)
				switch m {
				case "bad":
					return ErrMessageSkipped
				case "end":
					return errBad
				}
				if answer != nil {
					answer(c, m)
				}
				return nil
			})
		}()
		return ended
	}
}

// drainNow ends a connection at once but for what has come whole.
func drainNow(c *Conn) { c.Drain(time.Now()) }

var errBad = errors.New("no message")

func write(t *testing.T, nc net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(nc, s); err != nil {
		t.Fatal(err)
	}
}

// read reads what is wanted, then the end where eof says so.
func read(t *testing.T, nc net.Conn, want string, eof bool) {
	t.Helper()
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, len(want))
	if _, err := io.ReadFull(nc, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v, want %q", b, err, want)
	}
	if eof {
		if n, err := nc.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("read %d bytes, %v, want the end", n, err)
		}
	}
}

// TestEndCrossesMessage: a message arrives on a resting connection at the moment
// at which that is to end, before it is read. It is taken and answered. CloseIfIdle goes
// on with the connection then, Drain ends it.
func TestEndCrossesMessage(t *testing.T) {
	for name, end := range map[string]func(*Conn){"retire": (*Conn).CloseIfIdle, "finish": drainNow} {
		t.Run(name, func(t *testing.T) {
			g, c, far, serve := sockets(t, func(c *Conn, m string) { c.Send([]byte("re " + m)) })
			ended := serve() // its read stands at the gate
			write(t, far, "one")
			end(c)
			close(g.leave)
			read(t, far, "re one", name == "finish")
			if name == "retire" {
				write(t, far, "two")
				read(t, far, "re two", false)
				c.CloseIfIdle() // now it rests
				read(t, far, "", true)
			}
			far.Close()
			if err := <-ended; err != nil {
				t.Errorf("it ends with %v", err)
			}
		})
	}
}

// TestEndCrossesHalfMessage: half a message has come. CloseIfIdle leaves it its time;
// Drain does not, and a close over the rest of it takes no answer along.
func TestEndCrossesHalfMessage(t *testing.T) {
	g, c, far, serve := sockets(t, func(c *Conn, m string) { c.Send([]byte("re " + m)) })
	ended := serve()
	write(t, far, "oneha")
	c.CloseIfIdle()
	close(g.leave)
	read(t, far, "re one", false)
	write(t, far, "ltw")
	read(t, far, "re hal", false)
	c.Drain(time.Now())
	read(t, far, "", true)
	write(t, far, "o and more that nobody takes")
	far.CloseWrite()
	if err := <-ended; err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestDrainIsNotCutShort: what the peer still sends after the half-close is read to
// its end, whoever wakes or ends the connection once more meanwhile. A close over
// what is unread would reset it, and the last answer with it.
func TestDrainIsNotCutShort(t *testing.T) {
	g, c, far, serve := sockets(t, nil)
	close(g.leave)
	ended := serve()
	c.Send([]byte("last"))
	c.Close()
	read(t, far, "last", true)
	for _, again := range []func(*Conn){(*Conn).Close, (*Conn).Wake, (*Conn).CloseIfIdle, drainNow} {
		again(c)
		write(t, far, "unread")
		select {
		case <-g.seen:
		case <-g.closed:
			t.Fatal("it closes before its peer has")
		}
	}
	c.SetReadDeadline(time.Unix(1, 0))
	write(t, far, "unread") // over a connection that was reset it would fail
	far.CloseWrite()
	if err := <-ended; err != nil {
		t.Errorf("it ends with %v", err)
	}
	<-g.closed
	read(t, far, "", true)
}

// TestSkippedMessageKeepsOthers: what is before and behind bytes that make no sense is
// taken and answered, and then the connection ends.
func TestSkippedMessageKeepsOthers(t *testing.T) {
	var mu sync.Mutex
	var taken []string
	g, c, far, serve := sockets(t, func(c *Conn, m string) {
		mu.Lock()
		defer mu.Unlock()
		taken = append(taken, m)
		c.Send([]byte("re " + m))
	})
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return false })
	close(g.leave)
	ended := serve()
	write(t, far, "onebadbadtwo")
	read(t, far, "re onere two", false)
	c.CloseIfIdle()
	read(t, far, "", true)
	far.Close()
	if err := <-ended; err != nil {
		t.Errorf("it ends with %v", err)
	}
	if !slices.Equal(taken, []string{"one", "two"}) {
		t.Errorf("taken %v", taken)
	}
}

// TestSkippedMessageEnds: a connection on which nothing but bytes came that make no sense
// ends by itself, with no word of its peer.
func TestSkippedMessageEnds(t *testing.T) {
	g, c, far, serve := sockets(t, nil)
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return false })
	close(g.leave)
	ended := serve()
	write(t, far, "bad")
	read(t, far, "", true)
	far.Close()
	<-ended
}

// TestUnreadableEndsAtOnce: where no message can be taken any more, what is open is given
// up and the connection ends at once, whatever is owed, so that no more is written to it.
func TestUnreadableEndsAtOnce(t *testing.T) {
	g, c, far, serve := sockets(t, nil)
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return true })
	c.OnClose(func(why error) {
		if !errors.Is(why, errBad) {
			t.Errorf("it ends for %v", why)
		}
		c.Send([]byte("given up"))
	})
	close(g.leave)
	ended := serve()
	write(t, far, "oneendtwo")
	read(t, far, "given up", true)
	far.Close()
	if err := <-ended; !errors.Is(err, errBad) {
		t.Errorf("it ends with %v", err)
	}
}

// TestPeerHalfCloses: a peer that shuts its writing end has what it is owed sent by
// OnEnd, in answer to nothing that came later.
func TestPeerHalfCloses(t *testing.T) {
	g, c, far, serve := sockets(t, nil)
	c.OnClose(func(why error) {
		if !errors.Is(why, io.EOF) {
			t.Errorf("it ends for %v", why)
		}
		c.Send([]byte("given up"))
	})
	close(g.leave)
	ended := serve()
	write(t, far, "one")
	far.CloseWrite()
	read(t, far, "given up", true)
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("it ends with %v", err)
	}
	if c.Send([]byte("late")) {
		t.Error("a connection that has ended takes more")
	}
}

// waitingRoom is a listener at which connections wait until its server shuts; it
// holds so many.
type waitingRoom struct {
	*net.TCPListener
	open     chan struct{} // closed when the server first looks
	once     sync.Once
	shutting chan struct{}
	left     int
}

// Accept implements net.Listener.
func (w *waitingRoom) Accept() (net.Conn, error) {
	w.once.Do(func() { close(w.open) })
	<-w.shutting
	if w.left == 0 {
		return nil, os.ErrDeadlineExceeded
	}
	w.left--
	return w.TCPListener.Accept()
}

// SetDeadline is called by a server that shuts.
func (w *waitingRoom) SetDeadline(time.Time) error {
	close(w.shutting)
	return nil
}

// echo answers each message of a connection.
func echo(c *Conn) {
	c.Serve(func(r *bufio.Reader) error {
		b, err := r.Peek(frame)
		if err == nil {
			c.Send(append([]byte("re "), b...))
			r.Discard(frame)
		}
		return err
	})
}

// TestShutTakesThoseThatWait: connections that the system has accepted are let in
// before the listener closes: closed with it, they would be reset with all that
// was written to them.
func TestShutTakesThoseThatWait(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 3
	room := &waitingRoom{TCPListener: l.(*net.TCPListener), open: make(chan struct{}), shutting: make(chan struct{}), left: waiting}
	s := NewServer(room, 9, echo, func() {})
	running := make(chan struct{})
	go func() { s.Serve(); close(running) }()
	var conns []net.Conn
	for range waiting {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		write(t, nc, "one")
		conns = append(conns, nc)
	}
	<-room.open
	s.Shutdown()
	<-running
	for _, nc := range conns {
		read(t, nc, "re one", false)
		nc.Close()
	}
	<-s.Done()
}

// TestShutWaitsForRoom: connections that wait for room as their server shuts are let in
// one after the other, with what was written to them, and new ones are refused then.
func TestShutWaitsForRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(l, 1, echo, func() {})
	go s.Serve()
	const waiting = 2 * maxExcessOnClose
	var conns []net.Conn
	for range waiting {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		write(t, nc, "one")
		conns = append(conns, nc)
	}
	read(t, conns[0], "re one", false) // the others wait
	shut := make(chan struct{})
	go func() { s.Shutdown(); close(shut) }()
	for _, nc := range conns[1:] {
		conns[0].Close()
		read(t, nc, "re one", false)
		conns[0] = nc
	}
	conns[0].Close()
	<-shut
	<-s.Done()
	if nc, err := net.Dial("tcp", l.Addr().String()); err == nil {
		nc.Close()
		t.Error("a server that has shut takes connections")
	}
}

// stalledListener stands still over the first deadline that it is given.
type stalledListener struct {
	*net.TCPListener
	stalled bool
}

// SetDeadline implements the deadline of a net.Listener.
func (s *stalledListener) SetDeadline(t time.Time) error {
	if !s.stalled {
		s.stalled, t = true, time.Unix(1, 0)
	}
	return s.TCPListener.SetDeadline(t)
}

// TestShutAfterAStall: a server whose process stands still over the deadline of its last
// accepts still lets in what has connected.
func TestShutAfterAStall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan *Conn, 9)
	s := NewServer(&stalledListener{TCPListener: l.(*net.TCPListener)}, 9, func(c *Conn) { served <- c }, func() {})
	shut := make(chan struct{})
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	s.serving = make(chan struct{}) // as if Run had been called
	s.extendDeadline()
	go func() { s.Serve(); close(shut) }()
	<-served
	<-shut
	s.Close()
}
