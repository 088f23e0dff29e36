package dispatch

import (
	"time"

	"quincerail.example/quincerail/idempotency"
)

// keyBatchSize is the number of keys per batch in the initial replication to a successor.
const keyBatchSize = 32

// Peer is the other process of the same app server during an upgrade. A key that runs in one
// process must not run in the other; the predecessor decides which one may run a key. The
// methods must not block, and must deliver their messages in the order of the calls.
type Peer interface {
	// ReplicateKey sends the state of a key that has changed.
	ReplicateKey(state KeyState)
	// RequestClaim asks the predecessor whether the attempt state.RanAttemptID may run.
	RequestClaim(state KeyState)
	// DecideClaim sends the predecessor's answer to RequestClaim.
	DecideClaim(ranAttemptID string, granted bool)
	// EndKeyBatch ends a batch of the initial replication of the predecessor's keys.
	EndKeyBatch(last bool)
	// SetTrafficDisabled sends whether operators have disabled traffic.
	SetTrafficDisabled(disabled bool)
}

// replicationState is the state of the replication of keys with a peer.
type replicationState struct {
	peer              Peer                 // nil if there is none
	peerIsPredecessor bool                 // false if the peer is the successor
	pendingKeys       []*idempotency.Entry // not yet replicated to the successor; nil before the first batch
	inDoubtUntil      time.Duration        // until then, a key that the table does not know may have run
}

// ConnectPeer connects a peer, which is the predecessor or the successor of this process. The
// call has no effect if a peer is already connected.
func (c *Core) ConnectPeer(p Peer, predecessor bool) error {
	return c.enqueue(peerConnected{p, predecessor})
}

type peerConnected struct {
	peer        Peer
	predecessor bool
}

func (e peerConnected) apply(c *Core) {
	if c.replication.peer == nil {
		c.replication.peer, c.replication.peerIsPredecessor = e.peer, e.predecessor
	}
}

// ReplicateKeys sends the next batch of the initial replication to a successor.
func (c *Core) ReplicateKeys(p Peer) { c.notify(keyBatchRequested{p}) }

type keyBatchRequested struct{ peer Peer }

func (e keyBatchRequested) apply(c *Core) {
	r := &c.replication
	if r.peer != e.peer {
		return
	}
	if r.pendingKeys == nil {
		r.pendingKeys = c.keys.Entries()
	}
	n := min(keyBatchSize, len(r.pendingKeys))
	for _, entry := range r.pendingKeys[:n] {
		if entry.RanAttemptID() != "" && c.keys.Lookup(entry.Key()) == entry {
			r.peer.ReplicateKey(c.keyState(entry))
		}
	}
	r.pendingKeys = r.pendingKeys[n:]
	if len(r.pendingKeys) == 0 {
		r.peer.SetTrafficDisabled(c.health.trafficDisabled)
	}
	r.peer.EndKeyBatch(len(r.pendingKeys) == 0)
}

// ApplyKey applies the state of a key that a peer has replicated.
func (c *Core) ApplyKey(p Peer, state KeyState) { c.notify(keyReplicated{p, state}) }

type keyReplicated struct {
	peer  Peer
	state KeyState
}

func (e keyReplicated) apply(c *Core) {
	if c.replication.peer == e.peer {
		c.applyKey(e.state)
	}
}

func (c *Core) applyKey(state KeyState) {
	entry, waiting := c.keys.Apply(state, c.clock.FromTime(state.ExpiresAt))
	if entry.RanAttemptID() != "" {
		c.recordKey(entry, entry.Completed())
	}
	c.resolveDuplicates(entry, waiting)
}

// ClaimRequested decides whether the attempt of a successor may run, and sends it the
// decision. The claim is denied if another attempt has claimed the key and this one arrived
// within the window of that claim.
func (c *Core) ClaimRequested(p Peer, state KeyState) { c.notify(claimRequested{p, state}) }

type claimRequested struct {
	peer  Peer
	state KeyState
}

func (e claimRequested) apply(c *Core) {
	if c.replication.peer != e.peer {
		return
	}
	entry := c.keys.Lookup(e.state.Key)
	granted := entry == nil || !entry.RanInWindow(c.clock.FromTime(e.state.ArrivedAt))
	if granted {
		c.applyKey(e.state)
	} else {
		e.peer.ReplicateKey(c.keyState(entry))
	}
	e.peer.DecideClaim(e.state.RanAttemptID, granted)
}

// ClaimDecided reports the predecessor's decision on the claim of an attempt.
func (c *Core) ClaimDecided(p Peer, ranAttemptID string, granted bool) {
	c.notify(claimDecided{p, ranAttemptID, granted})
}

type claimDecided struct {
	peer         Peer
	ranAttemptID string
	granted      bool
}

func (e claimDecided) apply(c *Core) {
	if a := c.attempts[e.ranAttemptID]; c.replication.peer == e.peer && a != nil && a.state.awaitsClaim() {
		c.resolveClaim(a, e.granted)
	}
}

// resolveClaim ends an attempt's wait for its claim. With the claim, the start continues,
// unless the attempt is already answered. Without it, the attempt waits for the result of the
// attempt that has the claim.
func (c *Core) resolveClaim(a *attempt, granted bool) {
	switch {
	case granted && !a.answered:
		c.acquirePoolSlot(a)
	case granted: // its caller cancelled it or disconnected meanwhile
		c.completeNotStarted(a)
	default: // another attempt has the claim: this one waits for its result
		c.keys.ReleaseClaim(a.entry, a.ID)
		c.transition(a, stateQueued)
		c.awaitResult(a)
		c.removeIfDone(a)
	}
}

// PeerDisconnected reports that the connection to a peer has ended. The key states that it
// has replicated stay in force. A key that was running there counts as completed without a
// result.
func (c *Core) PeerDisconnected(p Peer) { c.notify(peerDisconnected{p}) }

type peerDisconnected struct{ peer Peer }

func (e peerDisconnected) apply(c *Core) {
	if c.replication.peer != e.peer {
		return
	}
	c.replication.peer, c.replication.pendingKeys = nil, nil
	for _, entry := range c.keys.Entries() {
		if entry.RunsRemotely() {
			c.applyKey(c.keyStateWith(entry, true))
		}
	}
	for _, a := range c.attempts {
		e.resolveAwaitedClaim(c, a)
	}
}

// resolveAwaitedClaim resolves a claim that an attempt waited for when the peer disconnected.
// If the peer has replicated another attempt's run of the key, the attempt isn't started and
// waits for that run's result. Otherwise the start continues, or waits on until the journal
// has made the claim durable.
func (e peerDisconnected) resolveAwaitedClaim(c *Core, a *attempt) {
	if !a.state.awaitsClaim() {
		return
	}
	hasKey := a.entry.RanAttemptID() == a.ID
	if a.state == stateAwaitingJournal && hasKey {
		return
	}
	c.resolveClaim(a, hasKey)
}

// ApplyTrafficDisabled disables or enables traffic here, as operators have in the peer's process.
func (c *Core) ApplyTrafficDisabled(p Peer, disabled bool) {
	c.notify(trafficDisabledReplicated{p, disabled})
}

type trafficDisabledReplicated struct {
	peer     Peer
	disabled bool
}

func (e trafficDisabledReplicated) apply(c *Core) {
	if c.replication.peer == e.peer {
		c.setTrafficDisabled(e.disabled)
	}
}

// replicateKey sends the state of a key to the peer, if there is one.
func (c *Core) replicateKey(e *idempotency.Entry, completed bool) {
	if c.replication.peer != nil {
		c.replication.peer.ReplicateKey(c.keyStateWith(e, completed))
	}
}

// MarkUnknownKeysInDoubt makes attempts of keys that the table does not know fail without a
// run, until a time. It is for a process that could not get its predecessor's keys: an unknown
// key may have run there.
func (c *Core) MarkUnknownKeysInDoubt(until time.Time) error {
	return c.enqueue(unknownKeysInDoubt{until})
}

type unknownKeysInDoubt struct{ until time.Time }

func (e unknownKeysInDoubt) apply(c *Core) {
	c.replication.inDoubtUntil = max(c.replication.inDoubtUntil, c.clock.FromTime(e.until))
}
