package faultproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxListenAttempts limits the ports that listenBoth tries; a port that is free for TCP may
// be in use for UDP.
const maxListenAttempts = 20

// Rule defines the faults of one direction. The zero Rule delivers every message once and
// without delay.
type Rule struct {
	Partitioned bool          // nothing is delivered, and connections are closed
	Loss        float64       // probability that a message is lost
	Duplicate   float64       // probability that a message that is not lost is delivered twice
	Delay       time.Duration // of each delivery
	Jitter      time.Duration // upper bound of a random additional delay of each delivery; it can reorder deliveries
}

// Network owns the links of a test. Its methods are safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	seed   uint64
	links  map[linkKey]*Link
	opened uint64 // number of links opened; selects the random sequence of the next
}

// linkKey identifies a link: a direction between two processes, for one kind of traffic.
type linkKey struct{ from, to, kind string }

// NewNetwork returns a network without links whose faults are drawn from seed.
func NewNetwork(seed uint64) *Network {
	return &Network{seed: seed, links: map[linkKey]*Link{}}
}

// Open returns the link from one process to another for a kind of traffic. If the link does
// not exist, Open creates it, framed if framed is true. Until SetTarget sets a target,
// the link closes its connections. Then it forwards traffic from its Addr to the target.
func (n *Network) Open(from, to, kind string, framed bool) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := linkKey{from, to, kind}
	if l := n.links[key]; l != nil {
		return l, nil
	}
	l := &Link{From: from, To: to, Kind: kind, framed: framed, conns: map[net.Conn]bool{}, sources: map[string]net.Conn{}}
	var err error
	if l.listener, l.packets, err = listenBoth(); err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	n.opened++
	l.rng = rand.New(rand.NewPCG(n.seed, n.opened))
	n.links[key] = l
	go l.acceptConnections()
	go l.forwardDatagrams()
	return l, nil
}

// listenBoth listens on one port for TCP and UDP.
func listenBoth() (listener net.Listener, packets net.PacketConn, err error) {
	ctx := context.Background()
	var config net.ListenConfig
	for range maxListenAttempts {
		if listener, err = config.Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		if packets, err = config.ListenPacket(ctx, "udp", listener.Addr().String()); err == nil {
			return listener, packets, nil
		}
		closeAll(listener)
	}
	return nil, nil, err
}

// SetRule replaces the rule of each link for which matches returns true.
func (n *Network) SetRule(rule Rule, matches func(l *Link) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if matches(l) {
			l.SetRule(rule)
		}
	}
}

// Heal removes the faults of all links.
func (n *Network) Heal() { n.SetRule(Rule{}, func(*Link) bool { return true }) }

// SetTarget sets the address that all links to a process forward one kind of traffic to, and
// closes their open connections. A link opened later has no target.
func (n *Network) SetTarget(to, kind, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.To == to && l.Kind == kind {
			l.setTarget(address)
		}
	}
}

// Close closes all links with their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		closeAll(l.listener, l.packets)
		l.closeConnections()
	}
}
