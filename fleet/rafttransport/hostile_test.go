package rafttransport

import (
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"
)

// TestAccept_HostileClientsKeepNoVoterOut guards against clients that hold the memory and the
// connections of a voter: they state a first frame of the maximum length, or say nothing, and
// connect again when they are closed. A frame that is too long for a Hello closes the connection
// at once, and a peer's messages arrive although all connections are taken.
func TestAccept_HostileClientsKeepNoVoterOut(t *testing.T) {
	b, received := listen(t, testFleet, "b", "127.0.0.1:0", map[string]string{"a": "127.0.0.1:1"})
	defer b.Close()
	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	tooLong := dial()
	if _, err := tooLong.Write(binary.BigEndian.AppendUint32(nil, maxFrameBytes)); err != nil {
		t.Fatal(err)
	}
	if err := tooLong.SetReadDeadline(time.Now().Add(helloTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := tooLong.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("Read() = %v after a first frame that is too long, want a closed connection", err)
	}
	for range 2 * maxInboundConns {
		dial()
	}
	a, _ := listen(t, testFleet, "a", "127.0.0.1:0", map[string]string{"b": b.Addr().String()})
	defer a.Close()
	a.Send("b", []byte("message"))
	select {
	case <-received:
	case <-time.After(helloTimeout / 2):
		t.Error("a peer's message did not arrive while silent clients held all connections")
	}
}

func isTimeout(err error) bool {
	netErr := net.Error(nil)
	return errors.As(err, &netErr) && netErr.Timeout()
}
