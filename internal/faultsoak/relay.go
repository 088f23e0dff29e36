package faultsoak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	relayDialTimeout = time.Second
	relayBufferBytes = 16 << 10
)

// RelayMode says what a relay does with what passes.
type RelayMode int

// The modes.
const (
	Forward RelayMode = iota // everything is passed on
	Silent                   // connections stay open, nothing passes
	Refuse                   // connections are reset, and new ones too
)

// Relay is a TCP proxy in front of one party.
type Relay struct {
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	target  string
	mode    RelayMode
	conns   map[net.Conn]bool
	frozen  map[net.Conn]bool // those of conns on which nothing passes any more
	closed  bool
}

// NewRelay starts a relay to an address.
func NewRelay(target string) (*Relay, error) {
	listener, err := listenAnywhere()
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]bool{}, frozen: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// listenAnywhere listens on a free port of loopback.
func listenAnywhere() (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	return listener, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode changes what happens to what passes.
func (r *Relay) SetMode(mode RelayMode) {
	r.mu.Lock()
	r.mode = mode
	r.changed.Broadcast()
	r.mu.Unlock()
	if mode == Refuse {
		r.Reset()
	}
}

// Freeze has nothing pass any more on the connections that are open, as if the other end
// had vanished without closing them. New connections are passed on.
func (r *Relay) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.frozen[conn] = true
	}
}

// Reset resets the connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
		delete(r.conns, conn)
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Reset()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended already
	}
	_ = conn.Close()
}

// accept forwards connections until the relay is closed.
func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

// forward connects to the target and passes on what arrives on either side.
func (r *Relay) forward(in net.Conn) {
	if !r.await() {
		reset(in)
		return
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
	out, err := dialer.DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		reset(in)
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	go r.copy(in, out)
	r.copy(out, in)
}

// await waits while the relay is silent. It reports whether connections are passed on.
func (r *Relay) await() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.mode == Silent && !r.closed {
		r.changed.Wait()
	}
	return r.mode == Forward && !r.closed
}

func (r *Relay) isFrozen(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frozen[conn]
}

// copy passes one direction on until either end closes.
func (r *Relay) copy(from, to net.Conn) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.await() {
				break
			}
			if r.isFrozen(from) {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	delete(r.frozen, from)
	delete(r.frozen, to)
	r.mu.Unlock()
	_ = to.Close()
	_ = from.Close()
}
