// Package faultproxy puts faults between processes of a test on loopback: each
// direction of each pair has a proxy of its own, which drops, delays, doubles,
// reorders or cuts what passes, drawn from a fixed seed.
//
// A proxy listens on one port for TCP and UDP. On UDP the faults strike
// datagrams. On TCP they strike frames (a length of four bytes, big endian, and
// as many bytes) where the pair was opened as framed; else what is read at one
// time, which is only delayed or cut, never dropped or doubled.
package faultproxy

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Rule says what becomes of what passes in one direction. The zero Rule lets
// all pass at once.
type Rule struct {
	Partitioned bool          // nothing passes, and connections end
	Loss        float64       // share lost
	Duplicate   float64       // share that arrives twice
	Delay       time.Duration // of each
	Jitter      time.Duration // more delay, drawn for each, so that some overtake others
}

// Network is the proxies of a test.
type Network struct {
	mu     sync.Mutex
	seed   uint64
	pairs  map[string]*Link
	opened int
}

// NewNetwork makes a net whose faults are drawn from a seed.
func NewNetwork(seed uint64) *Network { return &Network{seed: seed, pairs: map[string]*Link{}} }

// Link is one direction between two parties, for one kind of traffic.
type Link struct {
	From, To, Kind string

	framed   bool
	listener net.Listener
	packets  net.PacketConn
	mu       sync.Mutex
	rng      *rand.Rand
	rule     Rule
	target   string
	conns    map[net.Conn]bool
	sources  map[string]net.Conn // of datagrams, by where they came from
}

// Open gives the proxy of a direction, opening it first if need be. What
// reaches its Addr goes on to its target, once there is one.
func (n *Network) Open(from, to, kind string, framed bool) (*Link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := from + ">" + to + ":" + kind
	if p := n.pairs[key]; p != nil {
		return p, nil
	}
	p := &Link{From: from, To: to, Kind: kind, framed: framed, conns: map[net.Conn]bool{}, sources: map[string]net.Conn{}}
	var err error
	for range 20 { // until a port is free for both
		if p.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		if p.packets, err = net.ListenPacket("udp", p.listener.Addr().String()); err == nil {
			break
		}
		p.listener.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	n.opened++
	p.rng = rand.New(rand.NewPCG(n.seed, uint64(n.opened)))
	n.pairs[key] = p
	go p.accept()
	go p.datagrams()
	return p, nil
}

// SetRule puts a rule on every direction that the test picks.
func (n *Network) SetRule(r Rule, picks func(p *Link) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pairs {
		if picks(p) {
			p.SetRule(r)
		}
	}
}

// Heal lets all pass again.
func (n *Network) Heal() { n.SetRule(Rule{}, func(*Link) bool { return true }) }

// SetTarget has every direction to a party, for one kind of traffic, lead to an address.
func (n *Network) SetTarget(to, kind, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pairs {
		if p.To == to && p.Kind == kind {
			p.mu.Lock()
			p.target = address
			p.mu.Unlock()
			p.end()
		}
	}
}

// Close ends all proxies.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pairs {
		p.listener.Close()
		p.packets.Close()
		p.end()
	}
}

// Addr is where the sender is told that the receiver is.
func (p *Link) Addr() string { return p.listener.Addr().String() }

// SetRule puts a rule on the direction.
func (p *Link) SetRule(r Rule) {
	p.mu.Lock()
	p.rule = r
	p.mu.Unlock()
	if r.Partitioned {
		p.end()
	}
}

// end ends the connections that are open.
func (p *Link) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	for from, c := range p.sources {
		c.Close()
		delete(p.sources, from)
	}
}

// fate draws what becomes of one message: how often it arrives, each after how long.
func (p *Link) fate() (after []time.Duration, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rule
	if r.Partitioned {
		return nil, true
	}
	copies := 1
	if p.rng.Float64() < r.Loss {
		copies = 0
	} else if p.rng.Float64() < r.Duplicate {
		copies = 2
	}
	for range copies {
		d := r.Delay
		if r.Jitter > 0 {
			d += time.Duration(p.rng.Int64N(int64(r.Jitter)))
		}
		after = append(after, d)
	}
	return after, false
}

func (p *Link) dial(network string) (net.Conn, error) {
	p.mu.Lock()
	target, cut := p.target, p.rule.Partitioned
	p.mu.Unlock()
	if cut || target == "" {
		return nil, net.ErrClosed
	}
	return net.DialTimeout(network, target, time.Second)
}

// hold notes connections for end.
func (p *Link) hold(on bool, cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		if on {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
			c.Close()
		}
	}
}

func (p *Link) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			out, err := p.dial("tcp")
			if err != nil {
				in.Close()
				return
			}
			p.hold(true, in, out)
			defer p.hold(false, in, out)
			back := make(chan struct{})
			go func() { // answers on a connection share its direction's fate as a whole
				io.Copy(in, out)
				in.Close()
				close(back)
			}()
			p.forward(in, out)
			if tcp, ok := out.(*net.TCPConn); ok {
				tcp.CloseWrite()
			}
			<-back
		}()
	}
}

// forward passes what comes on, until the connection ends or is cut. Frames
// may overtake each other; bytes that are no frames stay in order.
func (p *Link) forward(in io.Reader, out net.Conn) {
	var mu sync.Mutex // one write at a time
	var wg sync.WaitGroup
	defer wg.Wait()
	first := true
	buf := make([]byte, 64<<10)
	for {
		n, err := p.read(in, buf)
		if err != nil {
			return
		}
		b := append([]byte(nil), buf[:n]...)
		after, cut := p.fate()
		if cut {
			return
		}
		if first || !p.framed { // the hello comes first, and once
			first = false
			if len(after) > 0 {
				time.Sleep(after[0])
			}
			if _, err := out.Write(b); err != nil {
				return
			}
			continue
		}
		for _, d := range after {
			wg.Go(func() {
				time.Sleep(d)
				mu.Lock()
				defer mu.Unlock()
				out.Write(b) // a connection that has ended loses it
			})
		}
	}
}

// read gives one frame, or what there is.
func (p *Link) read(in io.Reader, buf []byte) (int, error) {
	if !p.framed {
		return in.Read(buf)
	}
	if _, err := io.ReadFull(in, buf[:4]); err != nil {
		return 0, err
	}
	n := int(binary.BigEndian.Uint32(buf))
	if n > len(buf)-4 {
		return 0, fmt.Errorf("faultproxy: a frame of %d bytes", n)
	}
	_, err := io.ReadFull(in, buf[4:4+n])
	return 4 + n, err
}

// datagrams passes datagrams on, from a socket of its own for each sender.
func (p *Link) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.packets.ReadFrom(buf)
		if err != nil {
			return
		}
		after, cut := p.fate()
		if cut || len(after) == 0 {
			continue
		}
		out, err := p.source(from)
		if err != nil {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		for _, d := range after {
			if d == 0 {
				out.Write(b)
			} else {
				time.AfterFunc(d, func() { out.Write(b) })
			}
		}
	}
}

func (p *Link) source(from net.Addr) (net.Conn, error) {
	p.mu.Lock()
	out := p.sources[from.String()]
	p.mu.Unlock()
	if out != nil {
		return out, nil
	}
	out, err := p.dial("udp")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources[from.String()] = out
	return out, nil
}
