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

// closeTimeout is how long Close waits for queued messages to be written.
const closeTimeout = 200 * time.Millisecond

// errUnexpectedMessage reports a message that a peer in this role may not send, or a second end
// of the last batch of keys.
var errUnexpectedMessage = errors.New("unexpected message from the peer")

// KeyReplicator stores the idempotency keys of this process; *dispatch.Core implements it.
type KeyReplicator interface {
	// ConnectPeer reports that the other process has connected. It returns an error if the
	// core has stopped.
	ConnectPeer(p dispatch.Peer, isPredecessor bool) error
	// PeerDisconnected reports that the connection to the peer has closed.
	PeerDisconnected(p dispatch.Peer)
	// ApplyKey applies the state of a key that the peer has replicated.
	ApplyKey(p dispatch.Peer, key dispatch.KeyState)
	// ApplyTrafficDisabled disables traffic if operators have disabled it in the peer, else
	// enables it.
	ApplyTrafficDisabled(p dispatch.Peer, on bool)
	// ReplicateKeys replicates the next batch of keys to a successor.
	ReplicateKeys(p dispatch.Peer)
	// ClaimRequested decides a successor's claim: whether the successor's attempt may run. It
	// replies with DecideClaim.
	ClaimRequested(p dispatch.Peer, key dispatch.KeyState)
	// ClaimDecided reports the predecessor's decision on a claim of this process.
	ClaimDecided(p dispatch.Peer, ranAttemptID string, granted bool)
}

// role says whether the other process is this process's predecessor or its successor.
type role int

const (
	predecessor role = iota // the older process, which decides claims
	successor               // the newer process, which takes over
)

// Peer is the other process. It implements dispatch.Peer, whose methods queue messages and do
// not block.
type Peer struct {
	endpoint     *Endpoint
	conn         *transport.Conn
	role         role
	replicated   chan struct{} // closed once the successor has all keys of the predecessor
	disconnected chan struct{} // closed once the connection has closed
}

func newPeer(e *Endpoint, conn *transport.Conn, r role) *Peer {
	return &Peer{
		endpoint:     e,
		conn:         conn,
		role:         r,
		replicated:   make(chan struct{}),
		disconnected: make(chan struct{}),
	}
}

// Disconnected returns a channel that is closed once the other process has disconnected.
func (p *Peer) Disconnected() <-chan struct{} { return p.disconnected }

// Close closes the connection after the queued messages are written. It waits at most
// closeTimeout for that.
func (p *Peer) Close() {
	p.conn.Close()
	select {
	case <-p.disconnected:
	case <-time.After(closeTimeout):
	}
}

// awaitKeys returns true once the predecessor has replicated all of its keys. It returns false
// if the connection closes before that. If ctx is done before that, it aborts the connection and
// returns false.
func (p *Peer) awaitKeys(ctx context.Context) bool {
	select {
	case <-p.replicated:
		return true
	case <-p.disconnected: // the predecessor has another successor, or has exited
	case <-ctx.Done():
		p.conn.Abort()
		<-p.disconnected
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

// markReplicated records that the successor has all keys. It returns false if that was
// recorded before. Only one goroutine may call it: in the successor the goroutine that serves
// the connection, in the predecessor the core's.
func (p *Peer) markReplicated() bool {
	if p.hasKeys() {
		return false
	}
	close(p.replicated)
	return true
}

// serve serves the connection until it closes.
func (p *Peer) serve() {
	defer close(p.disconnected)
	keys := p.endpoint.keys
	_ = keys.ConnectPeer(p, p.role == predecessor) // the error is ignored: a core that has stopped replicates nothing
	if p.role == predecessor {
		p.conn.Send(protocol.AppendNextBatch(nil))
	}
	err := p.conn.Serve(func(r *bufio.Reader) error {
		m, err := protocol.Read(r)
		if err != nil {
			return err
		}
		return p.receive(m)
	})
	p.endpoint.log.Info("handover_peer_disconnected", "is_predecessor", p.role == predecessor, "reason", fmt.Sprint(err))
	keys.PeerDisconnected(p)
}

// receive handles a message from the peer.
func (p *Peer) receive(m protocol.Message) error {
	switch m.Kind {
	case protocol.Key:
		p.endpoint.keys.ApplyKey(p, m.State)
		return nil
	case protocol.TrafficDisabled:
		p.endpoint.keys.ApplyTrafficDisabled(p, m.Flag)
		return nil
	}
	if p.role == predecessor {
		return p.receiveFromPredecessor(m)
	}
	return p.receiveFromSuccessor(m)
}

// receiveFromPredecessor handles a message that only a predecessor may send.
func (p *Peer) receiveFromPredecessor(m protocol.Message) error {
	switch m.Kind {
	case protocol.BatchEnd:
		isLast := m.Flag
		if !isLast {
			p.conn.Send(protocol.AppendNextBatch(nil))
			return nil
		}
		if p.markReplicated() {
			return nil
		}
	case protocol.Grant, protocol.Deny:
		p.endpoint.keys.ClaimDecided(p, m.RanAttemptID, m.Kind == protocol.Grant)
		return nil
	}
	return unexpectedMessage(m)
}

// receiveFromSuccessor handles a message that only a successor may send.
func (p *Peer) receiveFromSuccessor(m protocol.Message) error {
	switch m.Kind {
	case protocol.Claim:
		p.endpoint.keys.ClaimRequested(p, m.State)
		return nil
	case protocol.NextBatch:
		p.endpoint.keys.ReplicateKeys(p)
		return nil
	}
	return unexpectedMessage(m)
}

// unexpectedMessage returns an error that names the message and wraps lines.ErrMalformed.
func unexpectedMessage(m protocol.Message) error {
	return fmt.Errorf("%w: %s: %w", lines.ErrMalformed, m.Kind, errUnexpectedMessage)
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
	p.conn.Send(protocol.AppendBatchEnd(nil, isLast))
	if isLast {
		p.markReplicated()
	}
}

// SetTrafficDisabled implements dispatch.Peer.
func (p *Peer) SetTrafficDisabled(on bool) { p.conn.Send(protocol.AppendTrafficDisabled(nil, on)) }
