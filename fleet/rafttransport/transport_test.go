package rafttransport

import (
	"fmt"
	"net"
	"testing"
)

// listen opens a mesh whose messages come to a channel.
func listen(t *testing.T, fleet, self, address string, peers map[string]string) (*Transport, chan string) {
	t.Helper()
	got := make(chan string, 16)
	m, err := Listen(Options{Fleet: fleet, Self: self, Listen: address, Peers: peers, Receive: func(b []byte) { got <- string(b) }})
	if err != nil {
		t.Fatal(err)
	}
	return m, got
}

// TestPeerRestarts has a peer end while nothing is said, and come back at its
// address: the first message after that comes through. It was lost while the
// dead connection was found out by writing to it, which cost votes.
func TestPeerRestarts(t *testing.T) {
	b, gotB := listen(t, "f", "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	address := b.Addr().String()
	a, _ := listen(t, "f", "a", "127.0.0.1:0", map[string]string{"b": address})
	defer a.Close()
	for i := range 5 {
		a.Send("b", fmt.Append(nil, "message ", i))
		if got := <-gotB; got != fmt.Sprint("message ", i) {
			t.Fatalf("got %q", got)
		}
		b.Close()
		for held := 1; held > 0; { // until a has noticed
			a.mu.Lock()
			held = len(a.conns)
			a.mu.Unlock()
		}
		b, gotB = listen(t, "f", "b", address, map[string]string{"a": "127.0.0.1:1"})
	}
	b.Close()
	if n, bytes := a.Sent(); n != 5 || bytes < 50 {
		t.Errorf("%d messages, %d bytes", n, bytes)
	}
}

// TestStrangers has those refused who are of another fleet, or not a peer, or
// want somebody else, or send no frames: their connections end.
func TestStrangers(t *testing.T) {
	b, got := listen(t, "f", "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	defer b.Close()
	for _, hello := range []string{`{"fleet":"g","from":"a","to":"b"}`, `{"fleet":"f","from":"x","to":"b"}`,
		`{"fleet":"f","from":"a","to":"c"}`, `{`, ""} {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := append(AppendFrame(nil, []byte(hello)), AppendFrame(nil, []byte("x"))...)
		if hello == "" {
			text = []byte{0xff, 0xff, 0xff, 0xff}
		}
		c.Write(text)
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: %d bytes back", hello, n)
		}
		c.Close()
	}
	if len(got) > 0 {
		t.Errorf("received %q", <-got)
	}
}
