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

// TestEndCrossesMessage: a message arrives on an idle connection just as it is asked to end,
// before the message is read. It is read and answered. After CloseIfIdle the connection
// stays open then, after Drain it ends.
func TestEndCrossesMessage(t *testing.T) {
	for name, end := range map[string]func(*Conn){"CloseIfIdle": (*Conn).CloseIfIdle, "Drain": drainNow} {
		t.Run(name, func(t *testing.T) {
			g, c, far, serve := socketPair(t, func(c *Conn, m string) { c.Send([]byte("re " + m)) })
			ended := serve() // its read waits at the gate
			write(t, far, "one")
			end(c)
			close(g.gate)
			read(t, far, "re one", name == "Drain")
			if name == "CloseIfIdle" {
				write(t, far, "two")
				read(t, far, "re two", false)
				c.CloseIfIdle() // now it is idle
				read(t, far, "", true)
			}
			closeNow(t, far)
			if err := <-ended; err != nil {
				t.Errorf("it ends with %v", err)
			}
		})
	}
}

// TestEndCrossesHalfMessage: half a message has arrived. CloseIfIdle gives it its time;
// Drain at once does not, and the close over the rest of it destroys no response.
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

// TestDrainIsNotCutShort: what the peer still sends after the half-close is read until it
// closes, whoever wakes or ends the connection meanwhile. A close over unread bytes would
// reset the connection, and destroy the last response.
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

// TestSkippedMessageKeepsOthers: messages before and after skipped bytes are read and
// answered, and then the connection ends.
func TestSkippedMessageKeepsOthers(t *testing.T) {
	var mu sync.Mutex
	var received []string
	g, c, far, serve := socketPair(t, func(c *Conn, m string) {
		mu.Lock()
		defer mu.Unlock()
		received = append(received, m)
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
	if !slices.Equal(received, []string{"one", "two"}) {
		t.Errorf("received %v", received)
	}
}

// TestSkippedMessageEnds: a connection on which nothing but skipped bytes arrived ends by
// itself, without anything from its peer.
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

// TestUnreadableEndsAtOnce: where no message can be read any more, the connection ends at
// once, whatever responses are pending. What OnClose sends still goes out.
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

// TestPeerHalfCloses: a peer that shuts its writing side still gets what OnClose sends.
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
		t.Error("a connection that has ended accepts more")
	}
}
