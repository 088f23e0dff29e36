package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/internal/randomsteps"
)

// peer is the other side of a connection, with what was received from it.
type peer struct {
	net.Conn
	conn     *Conn
	received []byte // by the connection's steps
	ended    chan error

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
			m, err := readFrame(r)
			p.received = append(p.received, m...)
			return err
		})
		p.endedAt = time.Now()
		p.ended <- err
	}()
}

// FuzzConn checks a connection against a model: open, closing, closed. All that
// was accepted for sending arrives in order, and all that arrived is read in order,
// whatever interrupts what.
func FuzzConn(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		p := newPeer()
		closeLater(t, p)
		var got, sent, written []byte
		received := make(chan []byte)
		go func() { b, _ := io.ReadAll(p); received <- b }()
		closing := false
		for n := byte(0); s.More() && !closing; n++ {
			switch s.Pick(5) {
			case 0:
				m := bytes.Repeat([]byte{n}, 1+s.Pick(5))
				if !p.conn.Send(m) {
					t.Fatal("an open connection refuses to send")
				}
				sent = append(sent, m...)
			case 1:
				m := bytes.Repeat([]byte{n}, 1+s.Pick(5))
				if err := p.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				if _, err := p.Write(m); err != nil {
					t.Fatalf("the peer can't write: %v", err)
				}
				written = append(written, m...)
			case 2:
				p.conn.Wake()
			case 3:
				synctest.Wait()
			case 4:
				closing = s.Pick(20) == 0
			}
		}
		synctest.Wait()
		p.conn.Close()
		if p.conn.Send([]byte("late")) {
			t.Error("a closing connection accepts more")
		}
		if err := <-p.ended; err != nil {
			t.Errorf("it ends with %v", err)
		}
		if got = <-received; !bytes.Equal(got, sent) {
			t.Errorf("arrived %v, sent %v", got, sent)
		}
		if complete := written[:len(written)/frameSize*frameSize]; !bytes.Equal(p.received, complete) {
			t.Errorf("received %v, written %v", p.received, complete)
		}
	})
}

// TestPeerNotReadingAborts guards the sender's memory and time against a peer that stops
// reading.
func TestPeerNotReadingAborts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
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
			t.Error("it ends without an error")
		}
	})
}

// TestSlowWriteEnds: a peer that reads nothing holds a write only so long.
func TestSlowWriteEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		began := time.Now()
		p.conn.Send([]byte("unread"))
		if err := <-p.ended; err == nil || time.Since(began) > writeTimeout {
			t.Errorf("it ends with %v after %v", err, time.Since(began))
		}
	})
}

// TestCloseIfIdle guards against an end that loses a part of a message: it may be a request,
// which must get a response once it is complete.
func TestCloseIfIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		write(t, p, "ha")
		p.conn.CloseIfIdle()
		synctest.Wait()
		write(t, p, "l")
		synctest.Wait()
		if string(p.received) != "hal" {
			t.Fatalf("received %q", p.received)
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

// TestReadDeadline: the deadline ends a connection without messages, and Wake does not
// extend it.
func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		p.conn.SetReadDeadline(time.Now().Add(time.Second))
		p.conn.Wake() // must not extend the deadline
		err := <-p.ended
		if !errors.Is(err, os.ErrDeadlineExceeded) || !p.conn.Expired() {
			t.Errorf("it ends with %v", err)
		}
	})
}

// TestReceiveTimeouts guards the limit on connections against peers that send nothing, and
// against messages that never end. A connection that has received a message may idle, and
// pending responses still go out.
func TestReceiveTimeouts(t *testing.T) {
	for _, x := range []struct {
		sends   string
		pending time.Duration // how long a response is
		want    time.Duration // when it ends; 0: it stays open
	}{
		{"", 0, time.Second},
		{"ha", 0, time.Second},
		{"ha", 3 * time.Second, 3 * time.Second},
		{"hal", 0, 0},
		{"halha", 0, 4 * time.Second},
	} {
		t.Run(fmt.Sprint(x.sends, x.pending), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newIdlePeer()
				closeLater(t, p)
				began := time.Now()
				p.conn.SetReceiveTimeouts(time.Second, time.Second, func() bool { return time.Since(began) < x.pending })
				p.serve()
				complete := min(len(x.sends), frameSize)
				write(t, p, x.sends[:complete])
				synctest.Wait()
				if complete == frameSize { // idle for longer than a message may take
					time.Sleep(3 * time.Second)
					write(t, p, x.sends[complete:])
				}
				time.Sleep(10 * time.Second)
				select {
				case err := <-p.ended:
					if took := p.endedAt.Sub(began); !errors.Is(err, os.ErrDeadlineExceeded) || took != x.want {
						t.Errorf("it ends with %v after %v, want %v", err, took, x.want)
					}
				default:
					if x.want != 0 {
						t.Error("it stays open")
					}
				}
			})
		})
	}
}
