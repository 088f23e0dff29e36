package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"quincerail.example/quincerail/dispatch"
	protocol "quincerail.example/quincerail/protocol/handover"
	"quincerail.example/quincerail/protocol/lines"
	"quincerail.example/quincerail/transport"
)

// closeTimeout is how long Close waits for what is queued to be written.
const closeTimeout = 200 * time.Millisecond

// errOutOfTurn reports a message that only the process in the other role may send.
var errOutOfTurn = errors.New("not for this side to say")

// KeyReplicator holds the idempotency keys of this process; *dispatch.Core is one.
type KeyReplicator interface {
	// ConnectPeer connects the other process. The error reports that the core has stopped.
	ConnectPeer(p dispatch.Peer, isPredecessor bool) error
	// PeerDisconnected reports that the connection to the peer has ended.
	PeerDisconnected(p dispatch.Peer)
	// ApplyKey applies the state of a key that the peer has replicated.
	ApplyKey(p dispatch.Peer, key dispatch.KeyState)
	// ApplyTrafficDisabled applies what operators have set in the peer.
	ApplyTrafficDisabled(p dispatch.Peer, on bool)
	// ReplicateKeys replicates the next batch of keys to a successor.
	ReplicateKeys(p dispatch.Peer)
	// ClaimRequested has a successor's claim decided: whether its attempt may run.
	ClaimRequested(p dispatch.Peer, key dispatch.KeyState)
	// ClaimDecided reports the predecessor's decision on a claim of this process.
	ClaimDecided(p dispatch.Peer, ranAttemptID string, granted bool)
}

// role is what the other process is to this one.
type role int

const (
	predecessor role = iota // it was there first, and decides who may run a key
	successor
)

// Peer is the other process. It implements dispatch.Peer, whose methods only queue.
type Peer struct {
	endpoint   *Endpoint
	conn       *transport.Conn
	role       role
	replicated chan struct{} // closed once the successor has all keys of the predecessor
	ended      chan struct{} // closed with the connection
}

func newPeer(e *Endpoint, conn *transport.Conn, r role) *Peer {
	return &Peer{
		endpoint:   e,
		conn:       conn,
		role:       r,
		replicated: make(chan struct{}),
		ended:      make(chan struct{}),
	}
}

// Disconnected returns a channel that is closed once the other process has disconnected.
func (p *Peer) Disconnected() <-chan struct{} { return p.ended }

// Close ends the connection once what is queued is written, and waits for that for at most
// closeTimeout.
func (p *Peer) Close() {
	p.conn.Close()
	select {
	case <-p.ended:
	case <-time.After(closeTimeout):
	}
}

// awaitKeys waits until all keys of a predecessor are known, and reports whether they are. It
// aborts the connection if ctx ends before that.
func (p *Peer) awaitKeys(ctx context.Context) bool {
	select {
	case <-p.replicated:
		return true
	case <-p.ended: // the predecessor has another successor, or has ended
	case <-ctx.Done():
		p.conn.Abort()
		<-p.ended
	}
	return false
}

// hasKeys reports whether the successor has all keys.
func (p *Peer) hasKeys() bool {
	select {
	case <-p.replicated:
		return true
	default:
		return false
	}
}

// markReplicated records that the successor has all keys, and reports whether this is new.
// Only one goroutine may call it: the connection's at the successor, the core's at the
// predecessor.
func (p *Peer) markReplicated() bool {
	if p.hasKeys() {
		return false
	}
	close(p.replicated)
	return true
}

// serve serves the connection until it ends.
func (p *Peer) serve() {
	defer close(p.ended)
	keys := p.endpoint.keys
	_ = keys.ConnectPeer(p, p.role == predecessor) // a core that has stopped replicates nothing
	if p.role == predecessor {
		p.conn.Send(protocol.AppendNext(nil))
	}
	err := p.conn.Serve(func(r *bufio.Reader) error {
		m, err := protocol.Read(r)
		if err != nil {
			return err
		}
		return p.receive(m)
	})
	p.endpoint.log.Info("peer_gone", "elder", p.role == predecessor, "reason", fmt.Sprint(err))
	keys.PeerDisconnected(p)
}

// receive takes a message that either side may send.
func (p *Peer) receive(m protocol.Message) error {
	switch m.Kind {
	case protocol.Key:
		p.endpoint.keys.ApplyKey(p, m.State)
		return nil
	case protocol.TrafficDisabled:
		p.endpoint.keys.ApplyTrafficDisabled(p, m.On)
		return nil
	}
	if p.role == predecessor {
		return p.receiveFromPredecessor(m)
	}
	return p.receiveFromSuccessor(m)
}

func (p *Peer) receiveFromPredecessor(m protocol.Message) error {
	switch m.Kind {
	case protocol.Part:
		isLast := m.On
		if !isLast {
			p.conn.Send(protocol.AppendNext(nil))
			return nil
		}
		if p.markReplicated() {
			return nil
		}
	case protocol.Grant, protocol.Deny:
		p.endpoint.keys.ClaimDecided(p, m.RanAttemptID, m.Kind == protocol.Grant)
		return nil
	}
	return outOfTurn(m)
}

func (p *Peer) receiveFromSuccessor(m protocol.Message) error {
	switch m.Kind {
	case protocol.Claim:
		p.endpoint.keys.ClaimRequested(p, m.State)
		return nil
	case protocol.Next:
		p.endpoint.keys.ReplicateKeys(p)
		return nil
	}
	return outOfTurn(m)
}

func outOfTurn(m protocol.Message) error {
	return fmt.Errorf("%w: %s: %w", lines.ErrMalformed, m.Kind, errOutOfTurn)
}

// ReplicateKey implements dispatch.Peer.
func (p *Peer) ReplicateKey(k dispatch.KeyState) { p.conn.Send(protocol.AppendKey(nil, k)) }

// RequestClaim implements dispatch.Peer.
func (p *Peer) RequestClaim(k dispatch.KeyState) { p.conn.Send(protocol.AppendClaim(nil, k)) }

// DecideClaim implements dispatch.Peer.
func (p *Peer) DecideClaim(ranAttemptID string, granted bool) {
	p.conn.Send(protocol.AppendClaimReply(nil, ranAttemptID, granted))
}

// EndKeyBatch implements dispatch.Peer.
func (p *Peer) EndKeyBatch(isLast bool) {
	p.conn.Send(protocol.AppendPart(nil, isLast))
	if isLast {
		p.markReplicated()
	}
}

// SetTrafficDisabled implements dispatch.Peer.
func (p *Peer) SetTrafficDisabled(on bool) { p.conn.Send(protocol.AppendTrafficDisabled(nil, on)) }
