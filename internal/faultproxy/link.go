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

// Link is the proxy of one direction between two processes, for one kind of traffic.
type Link struct {
	From, To, Kind string

	framed   bool
	listener net.Listener
	packets  net.PacketConn

	mu      sync.Mutex
	rng     *rand.Rand
	rule    Rule
	target  string
	conns   map[net.Conn]bool
	sources map[string]net.Conn // sockets to the target, by the address of the datagrams' sender
}

// Addr is the address that the sender is given for the receiver.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetRule puts a rule on the link.
func (l *Link) SetRule(rule Rule) {
	l.mu.Lock()
	l.rule = rule
	l.mu.Unlock()
	if rule.Partitioned {
		l.closeConnections()
	}
}

func (l *Link) setTarget(address string) {
	l.mu.Lock()
	l.target = address
	l.mu.Unlock()
	l.closeConnections()
}

// closeConnections ends the connections that are open.
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

// drawDeliveries draws what happens to one message: the delay of each of its
// deliveries, none where it is lost, or that the link is partitioned.
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

func (l *Link) drawCopies() int {
	if l.rng.Float64() < l.rule.Loss {
		return 0
	}
	if l.rng.Float64() < l.rule.Duplicate {
		return 2
	}
	return 1
}

// dial connects to the target. It fails where there is none, or the link is
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

// closeAll closes sockets. An error means only that one has ended already.
func closeAll(sockets ...io.Closer) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}
