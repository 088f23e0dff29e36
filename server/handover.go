package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/handover"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/transport"
)

const (
	meetWithin    = 5 * time.Second       // the platform waits 6 s for a new process
	meetAgain     = 50 * time.Millisecond // between two tries
	meetConns     = 2                     // the successor, and one that is told to come again
	maxSocketPath = 100                   // the system takes a few bytes more
	flushIn       = 200 * time.Millisecond
)

// handoverDoor is where the processes of one app server meet while a new one takes
// over from the old: a socket in the folder for temporary files, which they share.
type handoverDoor struct {
	core         *dispatch.Core
	log          *slog.Logger
	folder, name string
	// Where the platform refuses Unix sockets (ENOSYS, EACCES, or a socket that
	// nobody comes to), the door stays shut and the process serves alone.
	listen func(network, address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	mu        sync.Mutex
	successor *peer
}

// peer is the other process.
type peer struct {
	conn  *transport.Conn
	met   chan struct{} // closed once all keys are known
	ended chan struct{} // closed with the connection
}

func newHandoverDoor(core *dispatch.Core, name string, log *slog.Logger) *handoverDoor {
	return &handoverDoor{
		core: core, log: log, folder: os.TempDir(), name: fmt.Sprintf("quincerail-%s.sock", name),
		listen: net.Listen, dial: (&net.Dialer{}).DialContext,
	}
}

// address gives the address of a socket in the folder, which holds until release.
// A path that is too long for a socket goes by the folder's descriptor.
func (h *handoverDoor) address(name string) (address string, release func()) {
	path := filepath.Join(h.folder, name)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	folder, err := os.Open(h.folder)
	if err != nil { // then the socket can't be had either
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), name), func() { folder.Close() }
}

func newPeer(nc net.Conn) *peer {
	return &peer{conn: transport.NewConn(nc), met: make(chan struct{}), ended: make(chan struct{})}
}

// errKeysUnknown is for a process whose predecessor is there, but did not tell its keys.
var errKeysUnknown = errors.New("the process before did not tell its keys in time")

// meet looks for a process to take over from, nil if there is none, and waits
// until all of its keys are known. Where there is one that does not tell them in time,
// the error is errKeysUnknown.
func (h *handoverDoor) meet(ctx context.Context) (*peer, error) {
	ctx, cancel := context.WithTimeout(ctx, meetWithin)
	defer cancel()
	for tried := false; ctx.Err() == nil; tried = true {
		address, release := h.address(h.name)
		nc, err := h.dial(ctx, "unix", address)
		release()
		if err == nil {
			p := newPeer(nc)
			go h.serve(p, true)
			select {
			case <-p.met:
				return p, nil
			case <-p.ended: // it hands over to another, or ends
			case <-ctx.Done():
				p.conn.Abort()
				<-p.ended
			}
		} else if !tried {
			return nil, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(meetAgain):
		}
	}
	h.log.Warn("handover_failed", "error", errKeysUnknown.Error())
	return nil, errKeysUnknown
}

// open has the next process find this one.
func (h *handoverDoor) open() (*transport.Server, error) {
	own := fmt.Sprintf("%s.%d", h.name, os.Getpid())
	os.Remove(filepath.Join(h.folder, own))
	address, release := h.address(own)
	defer release()
	l, err := h.listen("unix", address)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if u, ok := l.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false) // by then the name may be another's
	}
	if err := os.Rename(filepath.Join(h.folder, own), filepath.Join(h.folder, h.name)); err != nil {
		l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return transport.NewServer(l, meetConns, h.welcome, func() {}), nil
}

// welcome works the connection of a process that takes over from this one.
func (h *handoverDoor) welcome(c *transport.Conn) {
	p := &peer{conn: c, met: make(chan struct{}), ended: make(chan struct{})}
	h.mu.Lock()
	taken := h.successor != nil
	if !taken {
		h.successor = p
	}
	h.mu.Unlock()
	if taken { // it comes again when the one before it is alone
		c.Abort()
		return
	}
	h.serve(p, false)
	h.mu.Lock()
	h.successor = nil
	h.mu.Unlock()
}

// takenOver gives the process that is ready to take the requests to come, nil if
// there is none.
func (h *handoverDoor) takenOver() *peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.successor; p != nil {
		select {
		case <-p.met:
			return p
		default:
		}
	}
	return nil
}

var errOutOfTurn = errors.New("not for this side to say")

// serve works the connection to a peer until it ends.
func (h *handoverDoor) serve(p *peer, elder bool) {
	defer close(p.ended)
	h.core.ConnectPeer(p, elder)
	if elder {
		p.conn.Send(handover.AppendNext(nil))
	}
	met := false
	err := p.conn.Serve(func(r *bufio.Reader) error {
		m, err := handover.Read(r)
		if err != nil {
			return err
		}
		switch {
		case m.Kind == handover.Key:
			h.core.ApplyKey(p, m.State)
		case m.Kind == handover.Claim && !elder:
			h.core.ClaimRequested(p, m.State)
		case m.Kind == handover.Next && !elder:
			h.core.ReplicateKeys(p)
		case m.Kind == handover.TrafficDisabled:
			h.core.ApplyTrafficDisabled(p, m.On)
		case m.Kind == handover.Part && elder && !m.On:
			p.conn.Send(handover.AppendNext(nil))
		case m.Kind == handover.Part && elder && !met:
			met = true
			close(p.met)
		case (m.Kind == handover.Grant || m.Kind == handover.Deny) && elder:
			h.core.ClaimDecided(p, m.RanAttemptID, m.Kind == handover.Grant)
		default:
			return fmt.Errorf("%w: %s: %w", lines.ErrMalformed, m.Kind, errOutOfTurn)
		}
		return nil
	})
	h.log.Info("peer_gone", "elder", elder, "reason", fmt.Sprint(err))
	h.core.PeerDisconnected(p)
}

// ReplicateKey implements dispatch.Peer.
func (p *peer) ReplicateKey(k dispatch.KeyState) { p.conn.Send(handover.AppendKey(nil, k)) }

// RequestClaim implements dispatch.Peer.
func (p *peer) RequestClaim(k dispatch.KeyState) { p.conn.Send(handover.AppendClaim(nil, k)) }

// DecideClaim implements dispatch.Peer.
func (p *peer) DecideClaim(ran string, granted bool) {
	p.conn.Send(handover.AppendClaimReply(nil, ran, granted))
}

// EndKeyBatch implements dispatch.Peer.
func (p *peer) EndKeyBatch(last bool) {
	p.conn.Send(handover.AppendPart(nil, last))
	if last {
		select {
		case <-p.met:
		default:
			close(p.met) // only the core's goroutine gets here
		}
	}
}

// SetTrafficDisabled implements dispatch.Peer.
func (p *peer) SetTrafficDisabled(on bool) { p.conn.Send(handover.AppendTrafficDisabled(nil, on)) }

// leave ends the connection once all is said.
func (p *peer) leave() {
	p.conn.Close()
	select {
	case <-p.ended:
	case <-time.After(flushIn):
	}
}
