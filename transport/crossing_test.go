package transport

import (
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// TestEndCrossesMessage: a message arrives on a resting connection at the moment
// at which that is to end, before it is read. It is taken and answered. CloseIfIdle goes
// on with the connection then, Drain ends it.
func TestEndCrossesMessage(t *testing.T) {
	for name, end := range map[string]func(*Conn){"CloseIfIdle": (*Conn).CloseIfIdle, "Drain": drainNow} {
		t.Run(name, func(t *testing.T) {
			g, c, far, serve := socketPair(t, func(c *Conn, m string) { c.Send([]byte("re " + m)) })
			ended := serve() // its read stands at the gate
			write(t, far, "one")
			end(c)
			close(g.gate)
			read(t, far, "re one", name == "Drain")
			if name == "CloseIfIdle" {
				write(t, far, "two")
				read(t, far, "re two", false)
				c.CloseIfIdle() // now it rests
				read(t, far, "", true)
			}
			closeNow(t, far)
			if err := <-ended; err != nil {
				t.Errorf("it ends with %v", err)
			}
		})
	}
}

// TestEndCrossesHalfMessage: half a message has come. CloseIfIdle leaves it its time;
// Drain does not, and a close over the rest of it takes no answer along.
func TestEndCrossesHalfMessage(t *testing.T) {
	g, c, far, serve := socketPair(t, func(c *Conn, m string) { c.Send([]byte("re " + m)) })
	ended := serve()
	write(t, far, "oneha")
	c.CloseIfIdle()
	close(g.gate)
	read(t, far, "re one", false)
	write(t, far, "ltw")
	read(t, far, "re hal", false)
	c.Drain(time.Now())
	read(t, far, "", true)
	write(t, far, "o and more that nobody takes")
	closeWrite(t, far)
	if err := <-ended; err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestDrainIsNotCutShort: what the peer still sends after the half-close is read to
// its end, whoever wakes or ends the connection once more meanwhile. A close over
// what is unread would reset it, and the last answer with it.
func TestDrainIsNotCutShort(t *testing.T) {
	g, c, far, serve := socketPair(t, nil)
	close(g.gate)
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
	closeWrite(t, far)
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
	g, c, far, serve := socketPair(t, func(c *Conn, m string) {
		mu.Lock()
		defer mu.Unlock()
		taken = append(taken, m)
		c.Send([]byte("re " + m))
	})
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return false })
	close(g.gate)
	ended := serve()
	write(t, far, "onebadbadtwo")
	read(t, far, "re onere two", false)
	c.CloseIfIdle()
	read(t, far, "", true)
	closeNow(t, far)
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
	g, c, far, serve := socketPair(t, nil)
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return false })
	close(g.gate)
	ended := serve()
	write(t, far, "bad")
	read(t, far, "", true)
	closeNow(t, far)
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("it ends with %v", err)
	}
}

// TestUnreadableEndsAtOnce: where no message can be taken any more, what is open is given
// up and the connection ends at once, whatever is owed, so that no more is written to it.
func TestUnreadableEndsAtOnce(t *testing.T) {
	g, c, far, serve := socketPair(t, nil)
	c.SetReceiveTimeouts(time.Minute, time.Minute, func() bool { return true })
	c.OnClose(func(why error) {
		if !errors.Is(why, errBad) {
			t.Errorf("it ends for %v", why)
		}
		c.Send([]byte("given up"))
	})
	close(g.gate)
	ended := serve()
	write(t, far, "oneendtwo")
	read(t, far, "given up", true)
	closeNow(t, far)
	if err := <-ended; !errors.Is(err, errBad) {
		t.Errorf("it ends with %v", err)
	}
}

// TestPeerHalfCloses: a peer that shuts its writing end has what it is owed sent by
// OnClose, in answer to nothing that came later.
func TestPeerHalfCloses(t *testing.T) {
	g, c, far, serve := socketPair(t, nil)
	c.OnClose(func(why error) {
		if !errors.Is(why, io.EOF) {
			t.Errorf("it ends for %v", why)
		}
		c.Send([]byte("given up"))
	})
	close(g.gate)
	ended := serve()
	write(t, far, "one")
	closeWrite(t, far)
	read(t, far, "given up", true)
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("it ends with %v", err)
	}
	if c.Send([]byte("late")) {
		t.Error("a connection that has ended takes more")
	}
}
