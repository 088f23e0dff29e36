// Package handover connects two processes of one server while the new process (the
// successor) takes over from the old one (the predecessor) on the same listening socket. The
// successor gets the predecessor's idempotency keys before it accepts callers. Both processes
// then replicate every keyed run to each other until the predecessor has exited, so that no
// key runs twice.
//
// The processes connect over a Unix socket in the directory for temporary files, which they
// share. If the platform refuses Unix sockets, Connect finds no predecessor, Listen returns
// an error, and the process serves alone.
package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"quincerail.example/quincerail/transport"
)

const (
	connectTimeout       = 5 * time.Second // the platform allows a new process 6 s to become ready
	connectRetryInterval = 50 * time.Millisecond
	maxConnections       = 2   // the successor's, and one that is being rejected
	maxSocketPathBytes   = 100 // below the length of sockaddr_un.sun_path
)

// ErrKeysUnknown is returned by Connect if a predecessor has not replicated its keys before
// connectTimeout has passed or the context is done. Any key may have run there.
var ErrKeysUnknown = errors.New("predecessor did not replicate its keys in time")

// Endpoint is one process's end of the handover. The process first connects to a predecessor
// (Connect) and then accepts a successor (Listen). Successor may be called from any
// goroutine.
type Endpoint struct {
	keys      KeyReplicator
	log       *slog.Logger
	directory string
	socket    string // file name of the Unix socket in the directory
	listen    func(ctx context.Context, network, address string) (net.Listener, error)
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	successor *Peer // nil if none is connected
}

// NewEndpoint returns the endpoint of the server with the given name. Both processes must use
// the same name.
func NewEndpoint(keys KeyReplicator, name string, log *slog.Logger) *Endpoint {
	return &Endpoint{
		keys:      keys,
		log:       log,
		directory: os.TempDir(),
		socket:    fmt.Sprintf("quincerail-%s.sock", name),
		listen:    (&net.ListenConfig{}).Listen,
		dial:      (&net.Dialer{}).DialContext,
	}
}

// Connect connects to a predecessor and waits until the predecessor has replicated all of its
// keys. It returns nil if there is no predecessor, and ErrKeysUnknown if the predecessor does
// not replicate its keys in time.
func (e *Endpoint) Connect(ctx context.Context) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		conn, err := e.dialSocket(ctx)
		if err != nil && isFirst {
			return nil, nil // no process listens, or the platform refuses Unix sockets
		}
		if err == nil {
			if peer := e.connectPredecessor(ctx, conn); peer != nil {
				return peer, nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(connectRetryInterval):
		}
	}
	e.log.Warn("handover_failed", "error", ErrKeysUnknown.Error())
	return nil, ErrKeysUnknown
}

// connectPredecessor returns the predecessor at the other end of conn after all of its keys
// were replicated. It returns nil if the connection closes or ctx is done before that.
func (e *Endpoint) connectPredecessor(ctx context.Context, conn net.Conn) *Peer {
	peer := newPeer(e, transport.NewConn(conn), predecessor)
	go peer.serve()
	if !peer.awaitKeys(ctx) {
		return nil
	}
	return peer
}

// Listen opens the socket that a successor connects to. The caller must serve the returned
// server. The error wraps the system's error.
func (e *Endpoint) Listen(ctx context.Context) (*transport.Server, error) {
	listener, err := e.openSocket(ctx)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return transport.NewServer(listener, maxConnections, e.serveSuccessor, func() {}), nil
}

// Successor returns the successor if one is connected and has all keys of this process, else
// nil.
func (e *Endpoint) Successor() *Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor == nil || !e.successor.hasKeys() {
		return nil
	}
	return e.successor
}

// serveSuccessor serves the connection of a successor. It aborts the connection if another
// successor is connected; Connect then retries.
func (e *Endpoint) serveSuccessor(conn *transport.Conn) {
	peer := newPeer(e, conn, successor)
	if !e.setSuccessor(peer) {
		conn.Abort()
		return
	}
	peer.serve()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.successor = nil
}

// setSuccessor records the connected successor. It returns false if there already is one.
func (e *Endpoint) setSuccessor(peer *Peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor != nil {
		return false
	}
	e.successor = peer
	return true
}

// dialSocket dials the socket of a predecessor.
func (e *Endpoint) dialSocket(ctx context.Context) (net.Conn, error) {
	address, release := e.address(e.socket)
	defer release()
	return e.dial(ctx, "unix", address)
}

// openSocket listens on a socket whose name is unique to this process and then renames it,
// which atomically replaces the predecessor's socket.
func (e *Endpoint) openSocket(ctx context.Context) (net.Listener, error) {
	ownName := fmt.Sprintf("%s.%d", e.socket, os.Getpid())
	ownPath := filepath.Join(e.directory, ownName)
	_ = os.Remove(ownPath) // a file left by an earlier process with the same process ID
	address, release := e.address(ownName)
	defer release()
	listener, err := e.listen(ctx, "unix", address)
	if err != nil {
		return nil, err
	}
	if unix, ok := listener.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false) // on close, the path may already be the successor's
	}
	if err := os.Rename(ownPath, filepath.Join(e.directory, e.socket)); err != nil {
		_ = listener.Close() // the error of Rename is reported
		return nil, err
	}
	return listener, nil
}

// address returns the address of the named socket in the directory. The address is valid until
// release is called. If the path is too long for an address, the address goes through
// /proc/self/fd.
func (e *Endpoint) address(name string) (address string, release func()) {
	path := filepath.Join(e.directory, name)
	if len(path) <= maxSocketPathBytes {
		return path, func() {}
	}
	directory, err := os.Open(e.directory)
	if err != nil { // then listening or dialing fails too, and reports the error
		return path, func() {}
	}
	release = func() { _ = directory.Close() } // the error is ignored: nothing was read or written
	return fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), name), release
}
