package transport

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// run serves in a goroutine of its own; the channel is closed when Serve has returned.
func run(t *testing.T, s *Server) (returned <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(); err != nil {
			t.Errorf("Serve returns %v", err)
		}
	}()
	return done
}

// connCounter counts the connections that a server serves at a time.
type connCounter struct {
	serving chan *Conn
	open    atomic.Int32
	most    atomic.Int32
}

func (n *connCounter) serve(c *Conn) {
	n.most.Store(max(n.most.Load(), n.open.Add(1)))
	defer n.open.Add(-1)
	n.serving <- c
	echo(c)
}

// TestServer sees that a connection over the limit waits until another ends, and is
// served then with what it wrote; that the one that waits as the server closes is let
// in; and that Done tells when a closed server's last one has ended.
func TestServer(t *testing.T) {
	count := connCounter{serving: make(chan *Conn)}
	nearCapacity := make(chan struct{}, 1)
	s := NewServer(listen(t), 1, count.serve, func() {
		select {
		case nearCapacity <- struct{}{}:
		default:
		}
	})
	run(t, s)
	request := func() net.Conn {
		nc := dial(t, s.Addr())
		write(t, nc, "one")
		return nc
	}

	first := request()
	<-count.serving
	read(t, first, "re one", false)
	<-nearCapacity // called for the first, which takes the whole limit
	second := request()
	<-nearCapacity // called for the second, which waits
	if n := count.open.Load(); n != 1 {
		t.Errorf("%d are served, the limit is 1", n)
	}
	closeNow(t, first)
	c := <-count.serving
	read(t, second, "re one", false)
	if count.most.Load() != 1 {
		t.Errorf("%d were served at a time, the limit is 1", count.most.Load())
	}

	s.SetLimit(2)
	third := request()
	d := <-count.serving
	read(t, third, "re one", false)
	waits := request()
	<-nearCapacity
	s.Close()
	e := <-count.serving
	read(t, waits, "re one", false)
	refuses(t, s.Addr())
	checkDone(t, s, c, d, e)
}

// checkDone ends connections, and sees that Done waits for the first, the last to end.
func checkDone(t *testing.T, s *Server, last *Conn, others ...*Conn) {
	t.Helper()
	for _, c := range others {
		c.Close()
	}
	select {
	case <-s.Done():
		t.Error("done with a connection open")
	default:
	}
	last.Close()
	<-s.Done()
	if last.Send([]byte("x")) {
		t.Error("a connection that has ended takes more")
	}
}

// heldListener is a listener at which connections wait until its server shuts down; it
// holds so many.
type heldListener struct {
	*net.TCPListener
	accepting    chan struct{} // closed when the server first accepts
	once         sync.Once
	shuttingDown chan struct{}
	waiting      int
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.accepting) })
	<-l.shuttingDown
	if l.waiting == 0 {
		return nil, os.ErrDeadlineExceeded
	}
	l.waiting--
	return l.TCPListener.Accept()
}

// SetDeadline is called by a server that shuts down.
func (l *heldListener) SetDeadline(time.Time) error {
	close(l.shuttingDown)
	return nil
}

// TestShutdownAcceptsWaiting: connections that the system has accepted are let in before
// the listener closes: closed with it, they would be reset with all that was written to
// them.
func TestShutdownAcceptsWaiting(t *testing.T) {
	const waiting = 3
	l := &heldListener{
		TCPListener: listen(t), waiting: waiting,
		accepting: make(chan struct{}), shuttingDown: make(chan struct{}),
	}
	s := NewServer(l, 9, echo, func() {})
	returned := run(t, s)
	var conns []net.Conn
	for range waiting {
		nc := dial(t, l.Addr())
		write(t, nc, "one")
		conns = append(conns, nc)
	}
	<-l.accepting
	s.Shutdown()
	<-returned
	for _, nc := range conns {
		read(t, nc, "re one", false)
		closeNow(t, nc)
	}
	<-s.Done()
}

// TestShutdownWaitsForSlots: connections that wait for a slot as their server shuts down
// are let in one after the other, with what was written to them, and new ones are refused
// then.
func TestShutdownWaitsForSlots(t *testing.T) {
	l := listen(t)
	s := NewServer(l, 1, echo, func() {})
	run(t, s)
	const waiting = 2 * maxExcessOnClose
	var conns []net.Conn
	for range waiting {
		nc := dial(t, l.Addr())
		write(t, nc, "one")
		conns = append(conns, nc)
	}
	read(t, conns[0], "re one", false) // the others wait
	shut := make(chan struct{})
	go func() { s.Shutdown(); close(shut) }()
	for _, nc := range conns[1:] {
		closeNow(t, conns[0])
		read(t, nc, "re one", false)
		conns[0] = nc
	}
	closeNow(t, conns[0])
	<-shut
	<-s.Done()
	refuses(t, l.Addr())
}

// suspendedListener stands still past the first deadline that it is given.
type suspendedListener struct {
	*net.TCPListener
	suspended bool
}

// SetDeadline implements the deadline of a net.Listener.
func (l *suspendedListener) SetDeadline(t time.Time) error {
	if !l.suspended {
		l.suspended, t = true, time.Unix(1, 0)
	}
	return l.TCPListener.SetDeadline(t)
}

// TestShutdownAfterSuspension: a server whose process is suspended past the deadline of its
// last accepts still lets in what has connected.
func TestShutdownAfterSuspension(t *testing.T) {
	l := listen(t)
	served := make(chan *Conn, 9)
	s := NewServer(&suspendedListener{TCPListener: l}, 9, func(c *Conn) { served <- c }, func() {})
	dial(t, l.Addr())
	s.serving = make(chan struct{}) // as if Serve had been called
	s.extendDeadline()
	returned := run(t, s)
	<-served
	<-returned
	s.Close()
}
