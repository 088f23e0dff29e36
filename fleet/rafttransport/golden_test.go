package rafttransport

import (
	"bytes"
	"io"
	"net"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// What the golden connection carries, each in a frame.
const goldenHello = `{"fleet":"fleet-1","from":"v1","to":"v2"}`

var goldenMessages = []string{"a message", "", "\x00\xff another"}

// TestGoldenConnectionIsWritten sends the golden connection's messages:
// the hello and the frames are the same, byte for byte.
func TestGoldenConnectionIsWritten(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m, _ := listen(t, "fleet-1", "v1", "127.0.0.1:0", map[string]string{"v2": l.Addr().String()})
	for _, text := range goldenMessages {
		m.Send("v2", []byte(text))
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	size := 4 + len(goldenHello)
	for _, text := range goldenMessages {
		size += 4 + len(text)
	}
	var got bytes.Buffer
	if _, err := io.CopyN(&got, c, int64(size)); err != nil {
		t.Errorf("after %d bytes: %v", got.Len(), err)
	}
	golden.Equal(t, "connection", got.Bytes())
	m.Close()
	for _, c := range []io.Closer{c, l} {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestGoldenConnectionIsRead receives the golden connection.
func TestGoldenConnectionIsRead(t *testing.T) {
	m, got := listen(t, "fleet-1", "v2", "127.0.0.1:0", map[string]string{"v1": "127.0.0.1:1"})
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", m.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(golden.Bytes(t, "connection")); err != nil {
		t.Fatal(err)
	}
	for _, want := range goldenMessages {
		if text := <-got; text != want {
			t.Errorf("received %q, want %q", text, want)
		}
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	m.Close()
}
