package transport

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestPeerClosed_BeforeRead checks that a connection knows that its peer has closed, half closed or
// reset it although bytes are still unread, and only then. A socket that was never connected, as
// an emulated one may look, does not count as closed.
func TestPeerClosed_BeforeRead(t *testing.T) {
	for name, end := range map[string]func(peer *net.TCPConn) error{
		"closed":      (*net.TCPConn).Close,
		"half closed": (*net.TCPConn).CloseWrite,
		"reset": func(peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			return peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
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
			if err := end(peer); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("PeerClosed() = false after the peer has left, want true")
				}
			}
		})
	}
	if NewConn(unconnectedSocket(t)).PeerClosed() {
		t.Error("PeerClosed() = true for a socket that was never connected, want false")
	}
}

// unconnectedSocket returns a TCP socket that was never connected.
func unconnectedSocket(t *testing.T) net.Conn {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "socket")
	closeLater(t, file)
	nc, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, nc)
	return nc
}
