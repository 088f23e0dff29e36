package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
)

// listen opens a TCP listener. The listener outlives any one test's context: whoever
// starts a fake closes it.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// accept serves connections, each in a goroutine that closes it at its end, until the
// listener is closed.
func accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer closeIgnoringError(conn)
			serve(conn)
		}()
	}
}

// closeIgnoringError closes what a fake no longer uses; nothing depends on the result.
func closeIgnoringError(c io.Closer) { _ = c.Close() }

// send writes to a peer. A peer that has gone is noticed by the next read.
func send(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
