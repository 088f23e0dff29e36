package transport

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// BenchmarkConn measures the round trip of a message and its response over a loopback socket.
func BenchmarkConn(b *testing.B) {
	l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	remote, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	local, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c, message, response := NewConn(local), []byte("one"), make([]byte, 3)
	served := make(chan error, 1)
	go func() {
		served <- c.Serve(func(r *bufio.Reader) error {
			m, err := r.Peek(len(message))
			if err != nil {
				return err
			}
			c.Send(m)
			_, err = r.Discard(len(message))
			return err
		})
	}()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := remote.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(remote, response); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	if err := remote.Close(); err != nil {
		b.Error(err)
	}
	if err := <-served; err == nil {
		b.Error("Serve() = nil, want an error because the peer has closed")
	}
	if err := l.Close(); err != nil {
		b.Error(err)
	}
}
