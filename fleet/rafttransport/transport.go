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
	sendQueueLength = 256 // messages queued for one peer; more are dropped
	dialTimeout     = time.Second
	writeTimeout    = time.Second
	helloTimeout    = 2 * time.Second       // from accepting a connection until its Hello was read
	minBackoff      = 20 * time.Millisecond // between two attempts to connect
	maxBackoff      = 500 * time.Millisecond
	maxInboundConns = 64 // in addition to one outbound connection per peer
)

// Hello is the first frame of a connection.
type Hello struct {
	Fleet string `json:"fleet"` // name of the fleet; voters reject connections from other fleets
	From  string `json:"from"`  // name of the sending voter
	To    string `json:"to"`    // name of the receiving voter
}

// Options configure a transport. All but Logger are required.
type Options struct {
	Fleet   string               // name of the fleet, the same at all its voters
	Self    string               // name of this voter
	Listen  string               // address to listen on
	Peers   map[string]string    // addresses of the other voters by name; SetPeers replaces them
	Receive func(message []byte) // called from several goroutines concurrently
	Logger  *slog.Logger         // nil for slog.Default()
}

// Transport sends messages to a voter's peers and receives messages from them. Its
// methods are safe for concurrent use.
type Transport struct {
	options  Options
	log      *slog.Logger
	listener net.Listener
	ctx      context.Context // cancelled by Close
	cancel   context.CancelFunc
	tasks    sync.WaitGroup // all goroutines

	mu    sync.Mutex
	peers map[string]peer   // by name
	conns map[net.Conn]bool // open connections, which Close closes

	awaitingHello map[net.Conn]time.Time // accepted connections without a Hello, and since when
	connClosed    chan struct{}          // receives an element when a connection has closed

	sentMessages atomic.Int64
	sentBytes    atomic.Int64
}

// peer is the address and the send queue of another voter.
type peer struct {
	address string
	queue   chan []byte
	removed chan struct{} // closed when SetPeers removes the peer
}

// Listen listens on Options.Listen and starts the transport's goroutines.
func Listen(options Options) (*Transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("rafttransport: opening the listener: %w", err)
	}
	t := &Transport{
		options: options, log: options.Logger, listener: listener, ctx: ctx, cancel: cancel,
		peers: map[string]peer{}, conns: map[net.Conn]bool{},
		awaitingHello: map[net.Conn]time.Time{}, connClosed: make(chan struct{}, 1),
	}
	if t.log == nil {
		t.log = slog.Default()
	}
	t.SetPeers(options.Peers)
	t.tasks.Go(t.accept)
	return t, nil
}

// SetPeers replaces the peers by those in a map from names to addresses. The
// transport sends nothing more to a removed peer, and rejects new connections from
// it. It does nothing after Close.
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

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// Sent returns the numbers of messages and bytes written to peers.
func (t *Transport) Sent() (messages, bytes int64) {
	return t.sentMessages.Load(), t.sentBytes.Load()
}

// Send queues a message for a peer. It never blocks: it drops the message if the
// queue is full or no peer has the name.
func (t *Transport) Send(to string, message []byte) {
	t.mu.Lock()
	queue := t.peers[to].queue // nil, and never ready, if no peer has the name
	t.mu.Unlock()
	select {
	case queue <- message:
	default:
	}
}

// Close closes the listener and all connections, and waits for all goroutines.
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

// trackConn registers a connection for Close to close. It returns false if the
// transport is closed or has too many connections.
func (t *Transport) trackConn(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || len(t.conns) >= maxInboundConns+len(t.peers) {
		return false
	}
	t.conns[conn] = true
	return true
}

// closeConn closes and unregisters a connection that trackConn registered.
func (t *Transport) closeConn(conn net.Conn) {
	t.closeQuietly(conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
	delete(t.awaitingHello, conn)
	select {
	case t.connClosed <- struct{}{}:
	default:
	}
}

// closeQuietly closes a connection or listener and logs an error at level debug
// only, because the socket may be closed already.
func (t *Transport) closeQuietly(socket interface{ Close() error }) {
	if err := socket.Close(); err != nil {
		t.log.Debug("fleet_connection_close", "error", err.Error())
	}
}
