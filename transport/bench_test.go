package transport

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// BenchmarkConn measures a message and its response over a loopback socket.
func BenchmarkConn(b *testing.B) {
	l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	far, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c, message, response := NewConn(near), []byte("one"), make([]byte, 3)
	ended := make(chan error, 1)
	go func() {
		ended <- c.Serve(func(r *bufio.Reader) error {
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
		if _, err := far.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(far, response); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	if err := far.Close(); err != nil {
		b.Error(err)
	}
	if err := <-ended; err == nil {
		b.Error("it ends before its peer")
	}
	if err := l.Close(); err != nil {
		b.Error(err)
	}
}
