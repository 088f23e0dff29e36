// Package handover connects the two processes of one server while a new one takes over
// from the old on the same listening socket. The new process gets the keys of the old
// one (its predecessor) before it lets callers in, and both replicate every keyed run to
// each other until the predecessor has ended, so that no key runs twice.
//
// The processes meet at a Unix socket in the directory for temporary files, which they
// share. Where the platform refuses Unix sockets, Connect finds no predecessor, Listen
// returns an error, and the process serves alone.
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
	connectTimeout       = 5 * time.Second // the platform allows a new process 6 s to get ready
	connectRetryInterval = 50 * time.Millisecond
	maxConnections       = 2   // the successor's, and one that is being refused
	maxSocketPathBytes   = 100 // below the system's limit of sockaddr_un.sun_path
)

// ErrKeysUnknown is returned by Connect if there is a predecessor that has not replicated its
// keys by connectTimeout or the end of the context: any key may have run there.
var ErrKeysUnknown = errors.New("the process before did not tell its keys in time")

// Endpoint is one process's end of the handover. It connects to a predecessor first
// (Connect) and waits for a successor afterwards (Listen). Successor may be called from any
// goroutine.
type Endpoint struct {
	keys      KeyReplicator
	log       *slog.Logger
	directory string
	socket    string // file name of the Unix socket in the directory
	listen    func(ctx context.Context, network, address string) (net.Listener, error)
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	successor *Peer // nil while none is connected
}

// NewEndpoint returns the endpoint of the server with a name, which both processes must
// have.
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

// Connect looks for a predecessor and waits until all of its keys are known. It returns
// nil if there is none, and ErrKeysUnknown if there is one that does not replicate its
// keys in time.
func (e *Endpoint) Connect(ctx context.Context) (*Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		conn, err := e.dialSocket(ctx)
		if err != nil && isFirst {
			return nil, nil // nobody listens, or the platform refuses Unix sockets
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

// connectPredecessor returns the predecessor at the other end of a connection once all of its
// keys are known, nil if the connection ends before that.
func (e *Endpoint) connectPredecessor(ctx context.Context, conn net.Conn) *Peer {
	peer := newPeer(e, transport.NewConn(conn), predecessor)
	go peer.serve()
	if !peer.awaitKeys(ctx) {
		return nil
	}
	return peer
}

// Listen opens the socket that a successor connects to. The caller serves the server that
// it returns. The error is that of the system.
func (e *Endpoint) Listen(ctx context.Context) (*transport.Server, error) {
	listener, err := e.openSocket(ctx)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return transport.NewServer(listener, maxConnections, e.serveSuccessor, func() {}), nil
}

// Successor returns the process that takes over from this one and has all of its keys; nil
// if there is none.
func (e *Endpoint) Successor() *Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor == nil || !e.successor.hasKeys() {
		return nil
	}
	return e.successor
}

// serveSuccessor serves the connection of a successor. While one is connected, the connection
// of another is aborted: it tries again (see Connect).
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

func (e *Endpoint) setSuccessor(peer *Peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor != nil {
		return false
	}
	e.successor = peer
	return true
}

func (e *Endpoint) dialSocket(ctx context.Context) (net.Conn, error) {
	address, release := e.address(e.socket)
	defer release()
	return e.dial(ctx, "unix", address)
}

// openSocket listens under a name of this process's own and then renames the socket, which
// replaces the predecessor's atomically.
func (e *Endpoint) openSocket(ctx context.Context) (net.Listener, error) {
	ownName := fmt.Sprintf("%s.%d", e.socket, os.Getpid())
	ownPath := filepath.Join(e.directory, ownName)
	_ = os.Remove(ownPath) // left by an earlier process with the same process ID
	address, release := e.address(ownName)
	defer release()
	listener, err := e.listen(ctx, "unix", address)
	if err != nil {
		return nil, err
	}
	if unix, ok := listener.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false) // by then the name may be the successor's
	}
	if err := os.Rename(ownPath, filepath.Join(e.directory, e.socket)); err != nil {
		_ = listener.Close() // the reason is known
		return nil, err
	}
	return listener, nil
}

// address returns the address of a socket in the directory, which is valid until release is
// called. A path that is too long for an address is shortened by /proc/self/fd.
func (e *Endpoint) address(name string) (address string, release func()) {
	path := filepath.Join(e.directory, name)
	if len(path) <= maxSocketPathBytes {
		return path, func() {}
	}
	directory, err := os.Open(e.directory)
	if err != nil { // then there can't be a socket in it either
		return path, func() {}
	}
	release = func() { _ = directory.Close() } // it was only opened for its descriptor
	return fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), name), release
}
