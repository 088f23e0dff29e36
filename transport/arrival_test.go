package transport

import (
	"testing"
	"time"
)

// TestPeerClosed_BeforeRead checks that a connection knows that its peer has closed it although
// bytes are still unread, and only then.
func TestPeerClosed_BeforeRead(t *testing.T) {
	listener := listen(t)
	peer := dial(t, listener.Addr())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, accepted)
	c := NewConn(accepted)
	if _, err := peer.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	if c.PeerClosed() {
		t.Error("PeerClosed() = true while the peer is connected, want false")
	}
	closeNow(t, peer)
	for deadline := time.Now().Add(time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("PeerClosed() = false after the peer has closed the connection, want true")
		}
	}
}
