package transport

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Limits for dialing. The pause between attempts doubles from minRedialPause to
// maxRedialPause.
const (
	dialTimeout    = time.Second
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 250 * time.Millisecond
)

// Redialer keeps one connection open to an address and redials whenever it closes. After a
// change of address the current connection stays open until the new one is established.
type Redialer struct {
	onOpen  func(*Conn) (handler func(*bufio.Reader) error)
	onClose func(*Conn, error)

	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed and replaced when the address changes
}

// NewRedialer returns a redialer that the caller starts with Run. onOpen is called with
// each new connection and returns its handler (see Conn.Serve). onClose is called once that
// connection has closed, with the error of Conn.Serve.
func NewRedialer(address string, onOpen func(*Conn) (handler func(*bufio.Reader) error), onClose func(*Conn, error)) *Redialer {
	return &Redialer{onOpen: onOpen, onClose: onClose, address: address, addressChanged: make(chan struct{})}
}

// SetAddress changes the address. A running redialer dials the new address at once.
func (r *Redialer) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.address {
		r.address = address
		close(r.addressChanged)
		r.addressChanged = make(chan struct{})
	}
}

// Run keeps a connection open until ctx is done, then closes it.
func (r *Redialer) Run(ctx context.Context) {
	pause := minRedialPause
	var current *Conn
	for ctx.Err() == nil {
		address, addressChanged := r.target()
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			pause = minRedialPause
			if current != nil {
				current.Close()
			}
			current = NewConn(nc)
			closed := r.serve(current)
			select {
			case <-ctx.Done():
			case <-addressChanged:
				continue
			case <-closed:
			}
		}
		select {
		case <-ctx.Done():
		case <-addressChanged:
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialPause)
	}
	if current != nil {
		current.Close()
	}
}

// target returns the address to dial and a channel that is closed when the address changes.
func (r *Redialer) target() (address string, addressChanged <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address, r.addressChanged
}

// serve serves a connection in a goroutine of its own. It returns a channel that is closed
// when the connection has closed.
func (r *Redialer) serve(c *Conn) (closed <-chan struct{}) {
	done, handler := make(chan struct{}), r.onOpen(c)
	go func() {
		defer close(done)
		r.onClose(c, c.Serve(handler))
	}()
	return done
}
