package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// The limits of dialling. The pause between two attempts doubles from the first to the
// longest.
const (
	dialTimeout    = time.Second
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 250 * time.Millisecond
)

// Redialer keeps one connection to an address, and dials again after every break. If the
// address changes, the current connection stays open until the next one is.
type Redialer struct {
	onOpen  func(*Conn) (step func(*bufio.Reader) error)
	onClose func(*Conn, error)

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed when the address changes
}

// NewRedialer makes a redialer, which the caller starts with Run. onOpen is called with
// each new connection and returns the step to serve it with (see Conn.Serve); onClose is
// called when that connection has ended, with the error of Conn.Serve.
func NewRedialer(address string, onOpen func(*Conn) (step func(*bufio.Reader) error), onClose func(*Conn, error)) *Redialer {
	return &Redialer{onOpen: onOpen, onClose: onClose, address: address, moved: make(chan struct{})}
}

// SetAddress changes the address. It is dialled at once.
func (r *Redialer) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.address {
		r.address = address
		close(r.moved)
		r.moved = make(chan struct{})
	}
}

// Run keeps a connection open until ctx is done, and closes it then.
func (r *Redialer) Run(ctx context.Context) {
	pause := minRedialPause
	var current *Conn
	for ctx.Err() == nil {
		address, moved := r.target()
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			pause = minRedialPause
			if current != nil {
				current.Close()
			}
			current = NewConn(nc)
			ended := r.serve(current)
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
	if current != nil {
		current.Close()
	}
}

// target returns the address to dial, and a channel that is closed when it changes.
func (r *Redialer) target() (address string, moved <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address, r.moved
}

// serve serves a connection in a goroutine of its own. The channel is closed when it has
// ended.
func (r *Redialer) serve(c *Conn) (ended <-chan struct{}) {
	done, step := make(chan struct{}), r.onOpen(c)
	go func() {
		defer close(done)
		r.onClose(c, c.Serve(step))
	}()
	return done
}
