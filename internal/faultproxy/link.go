package faultproxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	bufferBytes = 64 << 10
)

// Link is the proxy of one direction between two processes, for one kind of traffic. Its
// methods are safe for concurrent use.
type Link struct {
	From, To, Kind string // names of the processes and of the traffic, as passed to Open

	framed   bool
	listener net.Listener
	packets  net.PacketConn

	mu      sync.Mutex
	rng     *rand.Rand
	rule    Rule
	target  string
	conns   map[net.Conn]bool   // both ends of each forwarded connection
	sources map[string]net.Conn // sockets to the target for datagrams, by their sender's address
}

// Addr returns the proxy's address, which the sender uses as the receiver's.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetRule replaces the link's rule. A partition also closes the open connections.
func (l *Link) SetRule(rule Rule) {
	l.mu.Lock()
	l.rule = rule
	l.mu.Unlock()
	if rule.Partitioned {
		l.closeConnections()
	}
}

// setTarget replaces the address that the link forwards to and closes the open connections.
func (l *Link) setTarget(address string) {
	l.mu.Lock()
	l.target = address
	l.mu.Unlock()
	l.closeConnections()
}

// closeConnections closes the open connections and the sockets for datagrams.
func (l *Link) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		closeAll(conn)
	}
	for from, conn := range l.sources {
		closeAll(conn)
		delete(l.sources, from)
	}
}

// drawDeliveries draws the faults of one message. It returns the delay of each delivery
// (none if the message is lost), or that the link is partitioned.
func (l *Link) drawDeliveries() (delays []time.Duration, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rule.Partitioned {
		return nil, true
	}
	for range l.drawCopies() {
		delay := l.rule.Delay
		if l.rule.Jitter > 0 {
			delay += time.Duration(l.rng.Int64N(int64(l.rule.Jitter)))
		}
		delays = append(delays, delay)
	}
	return delays, false
}

// drawCopies draws how often a message is delivered. The lock is held.
func (l *Link) drawCopies() int {
	if l.rng.Float64() < l.rule.Loss {
		return 0
	}
	if l.rng.Float64() < l.rule.Duplicate {
		return 2
	}
	return 1
}

// dial connects to the target. It returns net.ErrClosed if no target is set or the link is
// partitioned.
func (l *Link) dial(network string) (net.Conn, error) {
	l.mu.Lock()
	target, partitioned := l.target, l.rule.Partitioned
	l.mu.Unlock()
	if partitioned || target == "" {
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), network, target)
}

// closeAll closes sockets. It ignores errors: they only mean that a socket was closed before.
func closeAll(sockets ...io.Closer) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}
