package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// The pace at which a link is dialled again.
const (
	dialTimeout    = time.Second
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 250 * time.Millisecond
)

// Redialer holds one connection to an address, and opens it anew after every break.
// The address may change: the present connection goes on until the next is open.
type Redialer struct {
	opened func(*Conn) (step func(*bufio.Reader) error)
	closed func(*Conn, error)

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed when the address changes
}

// NewRedialer makes a link; Run works it. opened gives the step that reads from a
// new connection, closed is told of each one's end.
func NewRedialer(address string, opened func(*Conn) (step func(*bufio.Reader) error), closed func(*Conn, error)) *Redialer {
	return &Redialer{opened: opened, closed: closed, address: address, moved: make(chan struct{})}
}

// SetAddress changes the address.
func (l *Redialer) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != l.address {
		l.address = address
		close(l.moved)
		l.moved = make(chan struct{})
	}
}

func (l *Redialer) target() (address string, moved <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address, l.moved
}

// Run keeps the link until ctx ends.
func (l *Redialer) Run(ctx context.Context) {
	pause := minRedialPause
	var present *Conn
	for ctx.Err() == nil {
		address, moved := l.target()
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			pause = minRedialPause
			if present != nil {
				present.Close()
			}
			present = NewConn(nc)
			ended := l.serve(present)
			select {
			case <-ctx.Done():
			case <-moved:
				continue
			case <-ended:
			}
		}
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialPause)
	}
	if present != nil {
		present.Close()
	}
}

// serve works a connection in a goroutine of its own. The channel that it gives
// is closed with the connection's end.
func (l *Redialer) serve(c *Conn) <-chan struct{} {
	ended, step := make(chan struct{}), l.opened(c)
	go func() {
		defer close(ended)
		l.closed(c, c.Serve(step))
	}()
	return ended
}
