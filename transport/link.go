package transport

import (
	"bufio"
	"context"
	"net"
	"time"
)

// The pace at which a link is dialled again.
const (
	dialTimeout = time.Second
	redialFirst = 10 * time.Millisecond
	redialMost  = 250 * time.Millisecond
)

// KeepLink holds one connection to an address, and opens it anew after every
// break until ctx ends. opened gives the step that reads from a new one.
func KeepLink(ctx context.Context, address string, opened func(*Conn) func(*bufio.Reader) error, closed func(error)) {
	pause := redialFirst
	for ctx.Err() == nil {
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			pause = redialFirst
			c := NewConn(nc)
			stop := context.AfterFunc(ctx, c.Close)
			err = c.Serve(opened(c))
			stop()
			closed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}
