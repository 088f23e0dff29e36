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

// peer is the remote side of a connection under test.
type peer struct {
	net.Conn
	conn     *Conn
	received []byte     // the messages that conn's handler has read
	served   chan error // the result of Serve

	servedAt time.Time // when Serve returned
}

// newIdlePeer returns the peer of a connection that is not served yet.
func newIdlePeer() *peer {
	local, remote := net.Pipe()
	return &peer{Conn: remote, conn: NewConn(local), served: make(chan error, 1)}
}

// newPeer returns the peer of a connection that is served.
func newPeer() *peer {
	p := newIdlePeer()
	p.serve()
	return p
}

// serve starts a goroutine that serves the connection.
func (p *peer) serve() {
	go func() {
		err := p.conn.Serve(func(r *bufio.Reader) error {
			m, err := readFrame(r)
			p.received = append(p.received, m...)
			return err
		})
		p.servedAt = time.Now()
		p.served <- err
	}()
}

// FuzzConn checks a connection against a model with the states open, closing and closed.
// All bytes that Send accepted arrive in order, and all complete messages that arrived are
// read in order, in whatever order reads, writes and interruptions occur.
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
					t.Fatal("Send() = false on an open connection, want true")
				}
				sent = append(sent, m...)
			case 1:
				m := bytes.Repeat([]byte{n}, 1+s.Pick(5))
				if err := p.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				if _, err := p.Write(m); err != nil {
					t.Fatalf("the peer's Write failed: %v", err)
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
			t.Error("Send() = true after Close, want false")
		}
		if err := <-p.served; err != nil {
			t.Errorf("Serve() = %v after Close, want nil", err)
		}
		if got = <-received; !bytes.Equal(got, sent) {
			t.Errorf("the peer received %v, want %v", got, sent)
		}
		if complete := written[:len(written)/frameSize*frameSize]; !bytes.Equal(p.received, complete) {
			t.Errorf("the connection received %v, want %v", p.received, complete)
		}
	})
}

// TestSend_AbortsWhenPeerStopsReading guards against a peer that stops reading and makes the
// send queue grow without bound.
func TestSend_AbortsWhenPeerStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		accepted := 0
		for range 2 * maxQueuedBytes / 1024 {
			if p.conn.Send(make([]byte, 1024)) {
				accepted++
			}
		}
		if most := maxQueuedBytes / 1024; accepted > 2*most { // one full queue may already be in a write
			t.Errorf("Send accepted %d KiB, want at most %d KiB", accepted, 2*most)
		}
		if err := <-p.served; err == nil {
			t.Error("Serve() = nil, want an error because the peer does not read")
		}
	})
}

// TestWrite_FailsAfterTimeout: a write to a peer that reads nothing fails within
// writeTimeout.
func TestWrite_FailsAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		began := time.Now()
		p.conn.Send([]byte("unread"))
		if err := <-p.served; err == nil || time.Since(began) > writeTimeout {
			t.Errorf("Serve() = %v after %v, want an error within %v", err, time.Since(began), writeTimeout)
		}
	})
}

// TestCloseIfIdle_KeepsPartialMessage guards against a close that loses a part of a message.
// It may be a request, which must get a response once it is complete.
func TestCloseIfIdle_KeepsPartialMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		write(t, p, "ha")
		p.conn.CloseIfIdle()
		synctest.Wait()
		write(t, p, "l")
		synctest.Wait()
		if string(p.received) != "hal" {
			t.Fatalf("received %q, want %q", p.received, "hal")
		}
		select {
		case err := <-p.served:
			t.Fatalf("Serve() = %v after a partial message, want an open connection", err)
		default:
		}
		p.conn.CloseIfIdle()
		if err := <-p.served; err != nil {
			t.Errorf("Serve() = %v after CloseIfIdle, want nil", err)
		}
	})
}

// TestReadDeadline_NotExtendedByWake: the read deadline closes a connection without messages,
// and Wake does not extend it.
func TestReadDeadline_NotExtendedByWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer()
		closeLater(t, p)
		p.conn.SetReadDeadline(time.Now().Add(time.Second))
		p.conn.Wake() // must not extend the deadline
		err := <-p.served
		if !errors.Is(err, os.ErrDeadlineExceeded) || !p.conn.ReadDeadlineExceeded() {
			t.Errorf("Serve() = %v with ReadDeadlineExceeded() = %t, want %v with true", err, p.conn.ReadDeadlineExceeded(), os.ErrDeadlineExceeded)
		}
	})
}

// TestReceiveTimeouts guards against peers that hold connections open without sending a
// message, or with a message that they never complete. A connection that has received a
// message may stay idle, and pending responses are still sent.
func TestReceiveTimeouts(t *testing.T) {
	for _, test := range []struct {
		sends   string
		pending time.Duration // how long a response is pending
		want    time.Duration // when the connection closes; 0 if it stays open
	}{
		{"", 0, time.Second},
		{"ha", 0, time.Second},
		{"ha", 3 * time.Second, 3 * time.Second},
		{"hal", 0, 0},
		{"halha", 0, 4 * time.Second},
	} {
		t.Run(fmt.Sprintf("sends=%q/pending=%v", test.sends, test.pending), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newIdlePeer()
				closeLater(t, p)
				began := time.Now()
				p.conn.SetReceiveTimeouts(time.Second, time.Second, func() bool { return time.Since(began) < test.pending })
				p.serve()
				complete := min(len(test.sends), frameSize)
				write(t, p, test.sends[:complete])
				synctest.Wait()
				if complete == frameSize { // stay idle for longer than the stall timeout
					time.Sleep(3 * time.Second)
					write(t, p, test.sends[complete:])
				}
				time.Sleep(10 * time.Second)
				select {
				case err := <-p.served:
					if took := p.servedAt.Sub(began); !errors.Is(err, os.ErrDeadlineExceeded) || took != test.want {
						t.Errorf("Serve() = %v after %v, want %v after %v", err, took, os.ErrDeadlineExceeded, test.want)
					}
				default:
					if test.want != 0 {
						t.Errorf("the connection stays open, want a close after %v", test.want)
					}
				}
			})
		})
	}
}
