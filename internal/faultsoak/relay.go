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

// RelayMode determines how a relay treats connections and data.
type RelayMode int

// The modes of a relay.
const (
	Forward RelayMode = iota // data is forwarded
	Silent                   // connections stay open, data is held back until the mode changes
	Refuse                   // open and new connections are reset
)

// Relay is a TCP proxy in front of one service.
type Relay struct {
	listener net.Listener

	mu         sync.Mutex
	changed    *sync.Cond
	target     string
	mode       RelayMode
	conns      map[net.Conn]bool
	blackholed map[net.Conn]bool // connections whose data is discarded
	closed     bool
}

// NewRelay starts a relay that forwards to an address.
func NewRelay(target string) (*Relay, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, conns: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// listenLoopback listens on a free port of 127.0.0.1.
func listenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	return listener, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetMode changes the mode. Refuse also resets the open connections.
func (r *Relay) SetMode(mode RelayMode) {
	r.mu.Lock()
	r.mode = mode
	r.changed.Broadcast()
	r.mu.Unlock()
	if mode == Refuse {
		r.Reset()
	}
}

// Blackhole discards all further data on the open connections, as if the other end had
// vanished without closing them. New connections are forwarded.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		r.blackholed[conn] = true
	}
}

// Reset resets the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
		delete(r.conns, conn)
	}
}

// Close stops the relay and resets its connections.
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
		_ = tcp.SetLinger(0) // an error means that the connection is closed
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

// forward connects to the target and copies data in both directions.
func (r *Relay) forward(in net.Conn) {
	if !r.awaitForwarding() {
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

// awaitForwarding waits while the relay is silent. It reports whether data may be forwarded.
func (r *Relay) awaitForwarding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.mode == Silent && !r.closed {
		r.changed.Wait()
	}
	return r.mode == Forward && !r.closed
}

func (r *Relay) isBlackholed(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blackholed[conn]
}

// copy copies data in one direction until either connection is closed. Then it closes both.
func (r *Relay) copy(from, to net.Conn) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.awaitForwarding() {
				break
			}
			if r.isBlackholed(from) {
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
	delete(r.blackholed, from)
	delete(r.blackholed, to)
	r.mu.Unlock()
	_ = to.Close()
	_ = from.Close()
}
