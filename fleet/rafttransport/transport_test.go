package rafttransport

import (
	"fmt"
	"net"
	"testing"
)

// testFleet is the fleet of the transports under test.
const testFleet = "f"

// listen opens a transport whose messages come to a channel.
func listen(t *testing.T, fleet, self, address string, peers map[string]string) (*Transport, chan string) {
	t.Helper()
	got := make(chan string, 16)
	m, err := Listen(Options{Fleet: fleet, Self: self, Listen: address, Peers: peers, Receive: func(b []byte) { got <- string(b) }})
	if err != nil {
		t.Fatal(err)
	}
	return m, got
}

// TestPeerRestarts stops a peer while no message is sent, and starts it again at
// its address: the first message after that must arrive. It was lost when an ended
// connection was noticed only by writing to it, which cost votes.
func TestPeerRestarts(t *testing.T) {
	b, gotB := listen(t, testFleet, "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	address := b.Addr().String()
	a, _ := listen(t, testFleet, "a", "127.0.0.1:0", map[string]string{"b": address})
	defer a.Close()
	for i := range 5 {
		a.Send("b", fmt.Append(nil, "message ", i))
		if got := <-gotB; got != fmt.Sprint("message ", i) {
			t.Fatalf("got %q", got)
		}
		b.Close()
		for connected := 1; connected > 0; { // until a has noticed
			a.mu.Lock()
			connected = len(a.conns)
			a.mu.Unlock()
		}
		b, gotB = listen(t, testFleet, "b", address, map[string]string{"a": "127.0.0.1:1"})
	}
	b.Close()
	if n, bytes := a.Sent(); n != 5 || bytes < 50 {
		t.Errorf("%d messages, %d bytes", n, bytes)
	}
}

// TestStrangers connects as a voter of another fleet, as no peer, to another
// voter, and without frames: each connection must be closed, and no message received.
func TestStrangers(t *testing.T) {
	b, got := listen(t, testFleet, "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	defer b.Close()
	for _, hello := range []string{
		`{"fleet":"g","from":"a","to":"b"}`, `{"fleet":"f","from":"x","to":"b"}`,
		`{"fleet":"f","from":"a","to":"c"}`, `{`, "",
	} {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := append(AppendFrame(nil, []byte(hello)), AppendFrame(nil, []byte("x"))...)
		if hello == "" {
			text = []byte{0xff, 0xff, 0xff, 0xff}
		}
		if _, err := c.Write(text); err != nil {
			t.Errorf("%s: %v", hello, err)
		}
		if n, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: %d bytes back", hello, n)
		}
		if err := c.Close(); err != nil {
			t.Errorf("%s: %v", hello, err)
		}
	}
	if len(got) > 0 {
		t.Errorf("received %q", <-got)
	}
}
