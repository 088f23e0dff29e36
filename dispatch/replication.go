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
	ReplicateKey(k KeyState)                       // the state of a key has changed
	RequestClaim(k KeyState)                       // to the predecessor: may this attempt run?
	DecideClaim(ranAttemptID string, granted bool) // the predecessor's decision
	EndKeyBatch(last bool)                         // a batch of the predecessor's keys is replicated
	SetTrafficDisabled(on bool)                    // operators have callers sent away, or not any more
}

// ConnectPeer connects a peer; predecessor reports whether it was there first. There is
// at most one at a time: a further one is ignored.
func (c *Core) ConnectPeer(p Peer, predecessor bool) error {
	return c.enqueue(func() {
		if c.peer == nil {
			c.peer, c.predecessor = p, predecessor
		}
	})
}

// ReplicateKeys replicates the next batch of keys to a successor that has just connected.
func (c *Core) ReplicateKeys(p Peer) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		if c.pendingKeys == nil {
			c.pendingKeys = c.keys.Entries()
		}
		n := min(keyBatchSize, len(c.pendingKeys))
		for _, e := range c.pendingKeys[:n] {
			if e.RanAttemptID() != "" && c.keys.Lookup(e.Key()) == e {
				p.ReplicateKey(c.keyState(e))
			}
		}
		c.pendingKeys = c.pendingKeys[n:]
		if len(c.pendingKeys) == 0 {
			p.SetTrafficDisabled(c.trafficDisabled)
		}
		p.EndKeyBatch(len(c.pendingKeys) == 0)
	})
}

// ApplyKey applies the state of a key that a peer replicated.
func (c *Core) ApplyKey(p Peer, k KeyState) {
	c.enqueue(func() {
		if c.peer == p {
			c.applyKey(k)
		}
	})
}

func (c *Core) applyKey(k KeyState) {
	e, waiting := c.keys.Apply(k, c.clock.At(k.ExpiresAt))
	if e.RanAttemptID() != "" {
		c.journal(e, e.Completed())
	}
	c.settleDuplicates(e, waiting)
}

// ClaimRequested decides whether a successor may run an attempt: not if its key has run
// here, and the attempt arrived within the window.
func (c *Core) ClaimRequested(p Peer, k KeyState) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		e := c.keys.Lookup(k.Key)
		granted := e == nil || !e.RanInWindow(c.clock.At(k.ArrivedAt))
		if granted {
			c.applyKey(k)
		} else {
			p.ReplicateKey(c.keyState(e))
		}
		p.DecideClaim(k.RanAttemptID, granted)
	})
}

// ClaimDecided takes in the predecessor's decision on a claim.
func (c *Core) ClaimDecided(p Peer, ranAttemptID string, granted bool) {
	c.enqueue(func() {
		if a := c.attempts[ranAttemptID]; c.peer == p && a != nil && a.state.awaitsClaim() {
			c.settleClaim(a, granted)
		}
	})
}

func (c *Core) settleClaim(a *attempt, granted bool) {
	switch {
	case granted && !a.answered:
		c.startOrWaitForSlot(a)
	case granted: // cancelled meanwhile: it is not begun
		c.completeRun(a.ID, RunNotStarted, 0, Payload{})
	default:
		c.keys.ReleaseClaim(a.entry, a.ID)
		c.transition(a, stateQueued)
		host{c}.ServeCached(a.ID)
		c.removeIfDone(a)
	}
}

// PeerDisconnected takes in that the connection to a peer has ended. What it replicated
// counts; what still ran there has no result that can be served here.
func (c *Core) PeerDisconnected(p Peer) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		c.peer, c.pendingKeys = nil, nil
		for _, e := range c.keys.Entries() {
			if e.RunsRemotely() {
				k := c.keyState(e)
				k.Completed = true
				c.applyKey(k)
			}
		}
		for _, a := range c.attempts {
			if a.state.awaitsClaim() {
				c.settleClaim(a, a.entry.RanAttemptID() == a.ID)
			}
		}
	})
}

// ApplyTrafficDisabled applies what operators have set in a peer.
func (c *Core) ApplyTrafficDisabled(p Peer, disabled bool) {
	c.enqueue(func() {
		if c.peer == p {
			c.setTrafficDisabled(disabled)
		}
	})
}

// HandOver takes in that a successor takes the requests to come: all that is
// open here goes on, and is answered a margin before the process is stopped. The
// channel is closed once nothing is open.
func (c *Core) HandOver(stopAt time.Time) <-chan struct{} {
	idle := make(chan struct{})
	c.enqueue(func() {
		c.log.Info("handover", "open", len(c.attempts))
		c.stopAt, c.idle = c.clock.At(stopAt.Add(-stopMargin)), idle
	})
	return idle
}

// replicateKey reports to the peer, if there is one, a key that runs here or has run.
func (c *Core) replicateKey(e *idempotency.Entry, completed bool) {
	if c.peer != nil {
		k := c.keyState(e)
		k.Completed = completed
		c.peer.ReplicateKey(k)
	}
}

// MarkUnknownKeysInDoubt has the core take keys that it does not know for ones that may
// have run, until a time: their attempts fail, and are never run. It is for a process that
// could not learn what its predecessor ran.
func (c *Core) MarkUnknownKeysInDoubt(until time.Time) error {
	return c.enqueue(func() { c.inDoubtUntil = max(c.inDoubtUntil, c.clock.At(until)) })
}
