package rafttransport

import (
	"bytes"
	"io"
	"net"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// goldenHello is the payload of the golden connection's first frame.
const goldenHello = `{"fleet":"fleet-1","from":"v1","to":"v2"}`

// goldenMessages are the payloads of the golden connection's other frames.
var goldenMessages = []string{"a message", "", "\x00\xff another"}

// TestGoldenConnection_Send sends the golden connection's messages. The bytes on the
// connection must be those of the golden file.
func TestGoldenConnection_Send(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport, _ := listen(t, "fleet-1", "v1", "127.0.0.1:0", map[string]string{"v2": listener.Addr().String()})
	for _, message := range goldenMessages {
		transport.Send("v2", []byte(message))
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	size := 4 + len(goldenHello)
	for _, message := range goldenMessages {
		size += 4 + len(message)
	}
	var got bytes.Buffer
	if _, err := io.CopyN(&got, conn, int64(size)); err != nil {
		t.Errorf("reading the connection failed after %d of %d bytes: %v", got.Len(), size, err)
	}
	golden.Equal(t, "connection", got.Bytes())
	transport.Close()
	for _, closer := range []io.Closer{conn, listener} {
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
	}
}

// TestGoldenConnection_Receive receives the messages of the golden connection.
func TestGoldenConnection_Receive(t *testing.T) {
	transport, received := listen(t, "fleet-1", "v2", "127.0.0.1:0", map[string]string{"v1": "127.0.0.1:1"})
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", transport.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(golden.Bytes(t, "connection")); err != nil {
		t.Fatal(err)
	}
	for _, want := range goldenMessages {
		if got := <-received; got != want {
			t.Errorf("received %q, want %q", got, want)
		}
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	transport.Close()
}
