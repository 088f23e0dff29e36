package dispatch

import (
	"time"

	"quincerail.example/quincerail/idempotency"
)

// keyBatchSize is how many keys are replicated at a time to a successor that has just
// connected.
const keyBatchSize = 32

// Peer is another process of the same app server, at work beside this one while
// it takes over: a key that runs in one must not run in the other. The predecessor
// decides who may run a key. Its methods must not block; their order is kept.
type Peer interface {
	ReplicateKey(state KeyState)                   // the state of a key has changed
	RequestClaim(state KeyState)                   // to the predecessor: may this attempt run?
	DecideClaim(ranAttemptID string, granted bool) // the predecessor's decision
	EndKeyBatch(last bool)                         // a batch of the predecessor's keys is replicated
	SetTrafficDisabled(on bool)                    // operators have callers sent away, or not any more
}

// replicationState is what is known of keys beyond this process.
type replicationState struct {
	peer              Peer                 // nil where this process is alone
	peerIsPredecessor bool                 // else it is the successor
	pendingKeys       []*idempotency.Entry // still to be replicated to a successor; nil before the first batch
	inDoubtUntil      time.Duration        // until then, a key that the table does not know may have run
}

// ConnectPeer connects a peer; predecessor reports whether it was there first. There is
// at most one at a time: a further one is ignored.
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

// ReplicateKeys replicates the next batch of keys to a successor that has just connected.
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

// ApplyKey applies the state of a key that a peer replicated.
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
	c.settleDuplicates(entry, waiting)
}

// ClaimRequested decides whether a successor may run an attempt: not if its key has run
// here, and the attempt arrived within the window.
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

// ClaimDecided reports the predecessor's decision on a claim.
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
		c.settleClaim(a, e.granted)
	}
}

// settleClaim goes on with a start that waited for its claim.
func (c *Core) settleClaim(a *attempt, granted bool) {
	switch {
	case granted && !a.answered:
		c.acquirePoolSlot(a)
	case granted: // its caller gave up meanwhile
		c.completeNotStarted(a)
	default: // another attempt has the key: this one gets its result
		c.keys.ReleaseClaim(a.entry, a.ID)
		c.transition(a, stateQueued)
		c.awaitResult(a)
		c.removeIfDone(a)
	}
}

// PeerDisconnected reports that the connection to a peer has ended. What it replicated
// counts; what still ran there has no result that can be served here.
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
		e.settleAwaitedClaim(c, a)
	}
}

// settleAwaitedClaim goes on with a start that waited for a claim when the peer
// disconnected. One whose claim is not durable yet goes on waiting for that, unless the
// peer replicated a run of its key.
func (e peerDisconnected) settleAwaitedClaim(c *Core, a *attempt) {
	if !a.state.awaitsClaim() {
		return
	}
	hasKey := a.entry.RanAttemptID() == a.ID
	if a.state == stateAwaitingJournal && hasKey {
		return
	}
	c.settleClaim(a, hasKey)
}

// ApplyTrafficDisabled applies what operators have set in a peer.
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

// replicateKey replicates to the peer, if there is one, a key that runs here or has run.
func (c *Core) replicateKey(e *idempotency.Entry, completed bool) {
	if c.replication.peer != nil {
		c.replication.peer.ReplicateKey(c.keyStateWith(e, completed))
	}
}

// MarkUnknownKeysInDoubt has the core take keys that it does not know for ones that may
// have run, until a time: their attempts fail, and are never run. It is for a process that
// could not learn what its predecessor ran.
func (c *Core) MarkUnknownKeysInDoubt(until time.Time) error {
	return c.enqueue(unknownKeysInDoubt{until})
}

type unknownKeysInDoubt struct{ until time.Time }

func (e unknownKeysInDoubt) apply(c *Core) {
	c.replication.inDoubtUntil = max(c.replication.inDoubtUntil, c.clock.FromTime(e.until))
}
