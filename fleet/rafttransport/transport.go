// Package rafttransport carries the voters' messages over TCP, one connection for each
// direction of each pair. It decides nothing: a message is sent once or lost,
// and consensus sends again what matters. Queues are bounded; one that is full
// drops what comes.
//
// A connection is a row of frames, each a length of four bytes, big endian, and
// as many bytes. The first is a hello, in JSON: who speaks, and to whom.
package rafttransport

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mostFrame   = 1 << 20
	queued      = 256 // messages to one peer that wait
	dialWithin  = time.Second
	writeWithin = time.Second
	helloWithin = 2 * time.Second
	leastPause  = 20 * time.Millisecond // between two attempts to connect
	mostPause   = 500 * time.Millisecond
	mostInbound = 64 // connections
)

// Hello is the first frame of a connection.
type Hello struct {
	Fleet string `json:"fleet"` // two fleets never talk
	From  string `json:"from"`
	To    string `json:"to"`
}

// ReadFrame reads one frame; its length is bounded.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return nil, fmt.Errorf("link: a frame of %d bytes, %d at most", n, mostFrame)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return b, nil
}

// AppendFrame appends a frame.
func AppendFrame(b, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(payload))), payload...)
}

// Options are what a mesh is made of. All but Logger are required.
type Options struct {
	Fleet   string
	Self    string
	Listen  string
	Peers   map[string]string // name to address, of all others; Reach changes them
	Receive func(message []byte)
	Logger  *slog.Logger // nil for slog.Default()
}

// Transport is one voter's connections with all others.
type Transport struct {
	opt      Options
	log      *slog.Logger
	listener net.Listener
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	peers    map[string]peer
	conns    map[net.Conn]bool
	sent     atomic.Int64
	bytes    atomic.Int64
}

// peer is where another voter is reached.
type peer struct {
	address string
	queue   chan []byte
	stop    chan struct{} // closed when it is a peer no more
}

// Listen opens a mesh's own address, and begins to receive. Receive may be
// called from several goroutines at once.
func Listen(opt Options) (*Transport, error) {
	l, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	m := &Transport{opt: opt, log: opt.Logger, listener: l, peers: map[string]peer{},
		stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	if m.log == nil {
		m.log = slog.Default()
	}
	m.SetPeers(opt.Peers)
	m.wg.Go(m.accept)
	return m, nil
}

// SetPeers has the peers be those, by name and address: others are neither spoken to
// nor heard any more, once their connections end.
func (m *Transport) SetPeers(peers map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.stop:
		return
	default:
	}
	for name, p := range m.peers {
		if peers[name] != p.address {
			close(p.stop)
			delete(m.peers, name)
		}
	}
	for name, address := range peers {
		if _, known := m.peers[name]; known || name == m.opt.Self {
			continue
		}
		p := peer{address, make(chan []byte, queued), make(chan struct{})}
		m.peers[name] = p
		m.wg.Go(func() { m.speak(name, p) })
	}
}

// Addr is where the mesh listens.
func (m *Transport) Addr() net.Addr { return m.listener.Addr() }

// Sent gives how many messages and bytes were written to peers.
func (m *Transport) Sent() (messages, bytes int64) { return m.sent.Load(), m.bytes.Load() }

// Send queues a message to a peer, and never blocks.
func (m *Transport) Send(to string, message []byte) {
	m.mu.Lock()
	queue := m.peers[to].queue // nil, and never ready, for a name that is no peer's
	m.mu.Unlock()
	select {
	case queue <- message:
	default:
	}
}

// Close ends all connections and waits for their goroutines.
func (m *Transport) Close() {
	close(m.stop)
	m.listener.Close()
	m.mu.Lock()
	for c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}

// hold notes a connection for Close; it is false where that came already.
func (m *Transport) hold(c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.stop:
		return false
	default:
	}
	if len(m.conns) >= mostInbound+len(m.peers) {
		return false
	}
	m.conns[c] = true
	return true
}

func (m *Transport) drop(c net.Conn) {
	c.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

func (m *Transport) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			select {
			case <-m.stop:
				return
			case <-time.After(leastPause): // descriptors may run short for a while
				continue
			}
		}
		if !m.hold(c) {
			c.Close()
			continue
		}
		m.wg.Go(func() {
			defer m.drop(c)
			m.hear(c)
		})
	}
}

func (m *Transport) knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.peers[name]
	return ok
}

func (m *Transport) hear(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(helloWithin))
	r := bufio.NewReader(c)
	first, err := ReadFrame(r)
	if err != nil {
		return
	}
	var h Hello
	if err := json.Unmarshal(first, &h); err != nil || h.Fleet != m.opt.Fleet || h.To != m.opt.Self || !m.knows(h.From) {
		m.log.Warn("fleet_hello_refused", "fleet", h.Fleet, "from", h.From, "to", h.To)
		return
	}
	c.SetReadDeadline(time.Time{})
	for {
		b, err := ReadFrame(r)
		if err != nil {
			return
		}
		m.opt.Receive(b)
	}
}

// speak sends a peer what is queued for it. A connection that the peer ended
// is noticed at once: voters that don't lead say nothing to each other between
// elections, and a vote asked for on a connection that is long dead is lost.
func (m *Transport) speak(name string, p peer) {
	hello, err := json.Marshal(Hello{m.opt.Fleet, m.opt.Self, name})
	if err != nil {
		panic(err) // three strings
	}
	var c net.Conn
	var ended chan struct{}
	hangUp := func() {
		if c != nil {
			m.drop(c)
			c, ended = nil, nil
		}
	}
	defer hangUp()
	pause := leastPause
	for {
		var b []byte
		select {
		case <-m.stop:
			return
		case <-p.stop:
			return
		case <-ended:
			hangUp()
			continue
		case b = <-p.queue:
		}
		if c == nil {
			c, err = net.DialTimeout("tcp", p.address, dialWithin)
			if err != nil {
				c = nil
				select { // the message is lost, and what comes meanwhile waits
				case <-m.stop:
					return
				case <-time.After(pause):
				}
				pause = min(2*pause, mostPause)
				continue
			}
			if !m.hold(c) {
				c.Close()
				return
			}
			pause, ended = leastPause, make(chan struct{})
			m.wg.Go(watch(c, ended))
			b = append(AppendFrame(nil, hello), AppendFrame(nil, b)...)
		} else {
			b = AppendFrame(nil, b)
		}
		c.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.Write(b); err != nil {
			hangUp()
			continue
		}
		m.sent.Add(1)
		m.bytes.Add(int64(len(b)))
	}
}

// watch gives what closes ended when the peer ends the connection: it says
// nothing back, so a read returns only then.
func watch(c net.Conn, ended chan struct{}) func() {
	return func() {
		io.Copy(io.Discard, c)
		close(ended)
	}
}
