package rafttransport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	sendQueueLength = 256 // for one peer
	dialTimeout     = time.Second
	writeTimeout    = time.Second
	helloTimeout    = 2 * time.Second
	minBackoff      = 20 * time.Millisecond // between two attempts to connect
	maxBackoff      = 500 * time.Millisecond
	maxInboundConns = 64 // connections
)

// Hello is the first frame of a connection.
type Hello struct {
	Fleet string `json:"fleet"` // voters of different fleets don't talk to each other
	From  string `json:"from"`
	To    string `json:"to"`
}

// Options are what a transport is made of. All but Logger are required.
type Options struct {
	Fleet   string
	Self    string
	Listen  string
	Peers   map[string]string    // addresses of the other voters by name; SetPeers replaces them
	Receive func(message []byte) // called from several goroutines at once
	Logger  *slog.Logger         // nil for slog.Default()
}

// Transport is one voter's connections with all others. Its methods are safe for
// concurrent use.
type Transport struct {
	options  Options
	log      *slog.Logger
	listener net.Listener
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu    sync.Mutex
	peers map[string]peer
	conns map[net.Conn]bool

	sentMessages atomic.Int64
	sentBytes    atomic.Int64
}

// peer is another voter.
type peer struct {
	address string
	queue   chan []byte
	removed chan struct{} // closed when it is a peer no more
}

// Listen opens a voter's own address, and begins to receive.
func Listen(options Options) (*Transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("rafttransport: %w", err)
	}
	t := &Transport{
		options: options, log: options.Logger, listener: listener, ctx: ctx, cancel: cancel,
		peers: map[string]peer{}, conns: map[net.Conn]bool{},
	}
	if t.log == nil {
		t.log = slog.Default()
	}
	t.SetPeers(options.Peers)
	t.tasks.Go(t.accept)
	return t, nil
}

// SetPeers replaces the peers, addresses by name. Nothing more is sent to a voter
// that is none of them, and its next connection is refused.
func (t *Transport) SetPeers(addresses map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	for name, p := range t.peers {
		if addresses[name] != p.address {
			close(p.removed)
			delete(t.peers, name)
		}
	}
	for name, address := range addresses {
		if _, known := t.peers[name]; known || name == t.options.Self {
			continue
		}
		p := peer{address, make(chan []byte, sendQueueLength), make(chan struct{})}
		t.peers[name] = p
		t.tasks.Go(newSender(t, name, p).run)
	}
}

// Addr is where the transport listens.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// Sent gives how many messages and bytes were written to peers.
func (t *Transport) Sent() (messages, bytes int64) {
	return t.sentMessages.Load(), t.sentBytes.Load()
}

// Send queues a message for a peer. It never blocks: the message is dropped where
// the queue is full, or the name is no peer's.
func (t *Transport) Send(to string, message []byte) {
	t.mu.Lock()
	queue := t.peers[to].queue // nil, and never ready, for a name that is no peer's
	t.mu.Unlock()
	select {
	case queue <- message:
	default:
	}
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.cancel()
	t.closeQuietly(t.listener)
	t.mu.Lock()
	for conn := range t.conns {
		t.closeQuietly(conn)
	}
	t.mu.Unlock()
	t.tasks.Wait()
}

// track has Close end a connection. It returns false where the transport is closed
// or has too many connections.
func (t *Transport) trackConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || len(t.conns) >= maxInboundConns+len(t.peers) {
		return false
	}
	t.conns[conn] = true
	return true
}

// release closes a tracked connection.
func (t *Transport) closeConn(conn net.Conn) {
	t.closeQuietly(conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// closeQuietly closes a socket whose peer may have ended it already.
func (t *Transport) closeQuietly(socket interface{ Close() error }) {
	if err := socket.Close(); err != nil {
		t.log.Debug("fleet_connection_close", "error", err.Error())
	}
}
