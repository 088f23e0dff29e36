package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/internal/randomsteps"
)

const frame = 3 // bytes of a message in these tests

// peer is the other end of a connection, with what passed over it.
type peer struct {
	net.Conn
	conn  *Conn
	taken []byte // by the connection's steps
	ended chan error

	endedAt time.Time
}

func newIdlePeer() *peer {
	near, far := net.Pipe()
	return &peer{Conn: far, conn: NewConn(near), ended: make(chan error, 1)}
}

func newPeer() *peer {
	p := newIdlePeer()
	p.serve()
	return p
}

func (p *peer) serve() {
	go func() {
		err := p.conn.Serve(func(r *bufio.Reader) error {
			b, err := r.Peek(frame)
			if err == nil {
				p.taken = append(p.taken, b...)
				r.Discard(frame)
			}
			return err
		})
		p.endedAt = time.Now()
		p.ended <- err
	}()
}

// FuzzConn checks a connection against a model: open, closing, closed. All that
// was accepted for sending arrives in order, all that came is taken in order,
// whatever interrupts what.
func FuzzConn(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		p := newPeer()
		defer p.Close()
		var got, sent, written []byte
		received := make(chan []byte)
		go func() { b, _ := io.ReadAll(p); received <- b }()
		closing := false
		for n := byte(0); s.More() && !closing; n++ {
			switch s.Pick(5) {
			case 0:
				m := bytes.Repeat([]byte{n}, 1+s.Pick(5))
				if !p.conn.Send(m) {
					t.Fatal("an open connection takes nothing")
				}
				sent = append(sent, m...)
			case 1:
				m := bytes.Repeat([]byte{n}, 1+s.Pick(5))
				p.SetWriteDeadline(time.Now().Add(time.Second))
				if _, err := p.Write(m); err != nil {
					t.Fatalf("the peer can't write: %v", err)
				}
				written = append(written, m...)
			case 2:
				p.conn.Wake()
			case 3:
				synctest.Wait()
			case 4:
				if s.Pick(20) == 0 {
					closing = true
				}
			}
		}
		synctest.Wait()
		p.conn.Close()
		if p.conn.Send([]byte("late")) {
			t.Error("a closing connection takes more")
		}
		if err := <-p.ended; err != nil {
			t.Errorf("it ends with %v", err)
		}
		if got = <-received; !bytes.Equal(got, sent) {
			t.Errorf("arrived %v, sent %v", got, sent)
		}
		if whole := written[:len(written)/frame*frame]; !bytes.Equal(p.taken, whole) {
			t.Errorf("taken %v, written %v", p.taken, whole)
		}
	})
}

// TestCutOff guards the sender's memory, and its time, against a peer that
// stops reading.
func TestCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		defer p.Close()
		accepted := 0
		for range 2 * maxQueuedBytes / 1024 {
			if p.conn.Send(make([]byte, 1024)) {
				accepted++
			}
		}
		if most := maxQueuedBytes / 1024; accepted > 2*most { // one part may be on its way out
			t.Errorf("%d kB were queued, %d at most", accepted, 2*most)
		}
		if err := <-p.ended; err == nil {
			t.Error("it ends as if all were well")
		}
	})
}

// TestSlowWriteEnds: a peer that reads nothing holds a write only so long.
func TestSlowWriteEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		defer p.Close()
		began := time.Now()
		p.conn.Send([]byte("unread"))
		if err := <-p.ended; err == nil || time.Since(began) > writeTimeout {
			t.Errorf("it ends with %v after %v", err, time.Since(began))
		}
	})
}

// TestCloseIfIdle guards against an end that loses half a message: it may be a
// request, which is owed an answer once it is whole.
func TestCloseIfIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		defer p.Close()
		p.Write([]byte("ha"))
		p.conn.CloseIfIdle()
		synctest.Wait()
		p.Write([]byte("l"))
		synctest.Wait()
		if string(p.taken) != "hal" {
			t.Fatalf("taken %q", p.taken)
		}
		select {
		case err := <-p.ended:
			t.Fatalf("it ends with %v", err)
		default:
		}
		p.conn.CloseIfIdle()
		if err := <-p.ended; err != nil {
			t.Errorf("it ends with %v", err)
		}
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		defer p.Close()
		p.conn.SetReadDeadline(time.Now().Add(time.Second))
		p.conn.Wake() // must not put the deadline off
		err := <-p.ended
		if !errors.Is(err, os.ErrDeadlineExceeded) || !p.conn.Expired() {
			t.Errorf("it ends with %v", err)
		}
	})
}

// TestExpectWithin guards the table of connections against peers that say
// nothing, and against messages that never end; one that has spoken may idle, and
// what is owed to a peer still goes out.
func TestExpectWithin(t *testing.T) {
	for _, x := range []struct {
		says string
		owed time.Duration // until then, an answer is
		want time.Duration // 0: it goes on
	}{
		{"", 0, time.Second},
		{"ha", 0, time.Second},
		{"ha", 3 * time.Second, 3 * time.Second},
		{"hal", 0, 0},
		{"halha", 0, 4 * time.Second},
	} {
		t.Run(fmt.Sprint(x.says, x.owed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newIdlePeer()
				defer p.Close()
				began := time.Now()
				p.conn.SetReceiveTimeouts(time.Second, time.Second, func() bool { return time.Since(began) < x.owed })
				p.serve()
				whole := min(len(x.says), frame)
				p.Write([]byte(x.says[:whole]))
				synctest.Wait()
				if whole == frame { // idle for longer than a message may take
					time.Sleep(3 * time.Second)
					p.Write([]byte(x.says[whole:]))
				}
				time.Sleep(10 * time.Second)
				select {
				case err := <-p.ended:
					if took := p.endedAt.Sub(began); !errors.Is(err, os.ErrDeadlineExceeded) || took != x.want {
						t.Errorf("it ends with %v after %v, want %v", err, took, x.want)
					}
				default:
					if x.want != 0 {
						t.Error("it goes on")
					}
				}
			})
		})
	}
}

// TestServer sees that a connection over the limit waits until another ends, and is
// served then with what it wrote; that the one that waits as the server closes is let
// in; and that Empty tells when a closed server's last one has ended.
func TestServer(t *testing.T) {
	serving, crowded := make(chan *Conn), make(chan struct{}, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open, most atomic.Int32
	s := NewServer(l, 1, func(c *Conn) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		serving <- c
		c.Serve(func(r *bufio.Reader) error {
			b, err := r.Peek(frame)
			if err == nil {
				r.Discard(frame)
				c.Send(append([]byte("re "), b...))
			}
			return err
		})
	}, func() {
		select {
		case crowded <- struct{}{}:
		default:
		}
	})
	go s.Serve()
	dial := func() net.Conn {
		nc, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		write(t, nc, "one")
		return nc
	}
	first := dial()
	<-serving
	read(t, first, "re one", false)
	<-crowded // by the first, as it takes the whole limit
	second := dial()
	<-crowded // by the second, which waits
	if n := open.Load(); n != 1 {
		t.Errorf("%d are served, the limit is 1", n)
	}
	first.Close()
	c := <-serving
	read(t, second, "re one", false)
	if most.Load() != 1 {
		t.Errorf("%d were served at a time, the limit is 1", most.Load())
	}
	s.SetLimit(2)
	third := dial()
	d := <-serving
	read(t, third, "re one", false)
	waits := dial()
	<-crowded
	s.Close()
	e := <-serving
	read(t, waits, "re one", false)
	if nc, err := net.Dial("tcp", s.Addr().String()); err == nil {
		nc.Close()
		t.Error("a closed server takes connections")
	}
	d.Close()
	e.Close()
	select {
	case <-s.Done():
		t.Error("empty with a connection open")
	default:
	}
	c.Close()
	<-s.Done()
	if c.Send([]byte("x")) {
		t.Error("a connection that has ended takes more")
	}
}
