package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
)

// listen opens a TCP listener. It takes no context, because a listener may outlive the context
// of a single test; the owner of the fake closes it.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// accept accepts connections until the listener is closed. It calls serve for each in a
// goroutine and closes the connection when serve returns.
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

// closeIgnoringError closes c. An error doesn't matter, because the fake no longer uses c.
func closeIgnoringError(c io.Closer) { _ = c.Close() }

// send writes formatted text to a peer. It ignores errors: the next read from a closed
// connection reports them.
func send(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
