package rafttransport

import (
	"fmt"
	"net"
	"testing"
)

// testFleet is the fleet of the transports under test.
const testFleet = "f"

// listen opens a transport whose received messages are sent to a channel.
func listen(t *testing.T, fleet, self, address string, peers map[string]string) (*Transport, chan string) {
	t.Helper()
	received := make(chan string, 16)
	transport, err := Listen(Options{Fleet: fleet, Self: self, Listen: address, Peers: peers, Receive: func(b []byte) { received <- string(b) }})
	if err != nil {
		t.Fatal(err)
	}
	return transport, received
}

// TestSend_FirstMessageAfterPeerRestartArrives stops a peer while no message is
// sent and restarts it at the same address. The first message after the restart must
// arrive. Such messages, among them votes, were lost when a sender detected a closed
// connection only by writing to it.
func TestSend_FirstMessageAfterPeerRestartArrives(t *testing.T) {
	b, received := listen(t, testFleet, "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	address := b.Addr().String()
	a, _ := listen(t, testFleet, "a", "127.0.0.1:0", map[string]string{"b": address})
	defer a.Close()
	for i := range 5 {
		a.Send("b", fmt.Append(nil, "message ", i))
		if got, want := <-received, fmt.Sprint("message ", i); got != want {
			t.Fatalf("b received %q, want %q", got, want)
		}
		b.Close()
		for connected := 1; connected > 0; { // until a has closed its connection
			a.mu.Lock()
			connected = len(a.conns)
			a.mu.Unlock()
		}
		b, received = listen(t, testFleet, "b", address, map[string]string{"a": "127.0.0.1:1"})
	}
	b.Close()
	if n, bytes := a.Sent(); n != 5 || bytes < 50 {
		t.Errorf("Sent() = %d messages, %d bytes, want 5 messages of at least 50 bytes", n, bytes)
	}
}

// TestReceive_RejectsInvalidHello sends a Hello with the name of another fleet, of a
// sender that is not a peer, and of another receiver, then invalid JSON, and a frame
// that is too long. Each connection must be closed, and no message received.
func TestReceive_RejectsInvalidHello(t *testing.T) {
	b, received := listen(t, testFleet, "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	defer b.Close()
	for _, hello := range []string{
		`{"fleet":"g","from":"a","to":"b"}`, `{"fleet":"f","from":"x","to":"b"}`,
		`{"fleet":"f","from":"a","to":"c"}`, `{`, "",
	} {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		frames := append(AppendFrame(nil, []byte(hello)), AppendFrame(nil, []byte("x"))...)
		if hello == "" {
			frames = []byte{0xff, 0xff, 0xff, 0xff}
		}
		if _, err := conn.Write(frames); err != nil {
			t.Errorf("Hello %q: Write: %v", hello, err)
		}
		if n, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("Hello %q: Read returned %d bytes, want an error from the closed connection", hello, n)
		}
		if err := conn.Close(); err != nil {
			t.Errorf("Hello %q: Close: %v", hello, err)
		}
	}
	if len(received) > 0 {
		t.Errorf("b received the message %q, want none", <-received)
	}
}
