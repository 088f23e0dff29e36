package faultproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// maxListenAttempts is how often a port is looked for that is free for TCP and UDP.
const maxListenAttempts = 20

// Rule says what happens to what passes in one direction. The zero Rule delivers
// everything at once.
type Rule struct {
	Partitioned bool          // nothing is delivered, and connections end
	Loss        float64       // share that is not delivered
	Duplicate   float64       // share that is delivered twice
	Delay       time.Duration // of each delivery
	Jitter      time.Duration // further delay, drawn for each, so that some overtake others
}

// Network is the links of a test. Its methods are safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	seed   uint64
	links  map[linkKey]*Link
	opened uint64
}

// linkKey names a direction between two processes, for one kind of traffic.
type linkKey struct{ from, to, kind string }

// NewNetwork makes a network whose faults are drawn from a seed.
func NewNetwork(seed uint64) *Network {
	return &Network{seed: seed, links: map[linkKey]*Link{}}
}

// Open returns the link of a direction, opening it first if need be. What reaches
// its Addr is forwarded to its target, once there is one.
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

// SetRule puts a rule on every link that the test picks.
func (n *Network) SetRule(rule Rule, picks func(l *Link) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if picks(l) {
			l.SetRule(rule)
		}
	}
}

// Heal removes all faults.
func (n *Network) Heal() { n.SetRule(Rule{}, func(*Link) bool { return true }) }

// SetTarget has every link to a process, for one kind of traffic, lead to an address.
func (n *Network) SetTarget(to, kind, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.To == to && l.Kind == kind {
			l.setTarget(address)
		}
	}
}

// Close ends all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		closeAll(l.listener, l.packets)
		l.closeConnections()
	}
}
