package dispatch

import (
	"time"
)

// snapshotPart is how many keys are told at a time to a peer that has just come.
const snapshotPart = 32

// KeyState is what one process of an app server tells another of a key. Its JSON
// is stored in the key journal: the tags are part of that format.
type KeyState struct {
	Key          string    `json:"Key"`
	Class        string    `json:"Class"` // of the first try
	BodyHash     uint64    `json:"Body"`  // hash of what all tries of the request bring
	RanAttemptID string    `json:"Ran"`   // id of the try that was run; "" where none was
	ArrivedAt    time.Time `json:"Door"`
	ExpiresAt    time.Time `json:"Till"`   // end of its window
	Completed    bool      `json:"Over"`   // the run has ended
	Result       *Payload  `json:"Result"` // if it went well
}

// Peer is another process of the same app server, at work beside this one while
// it takes over: a key that runs in one must not run in the other. The elder says
// who may run a key. Its methods must not block; their order is kept.
type Peer interface {
	ReplicateKey(k KeyState)              // what has become of a key
	RequestClaim(k KeyState)              // to the elder: may this try run?
	DecideClaim(ran string, granted bool) // the elder's word on that
	EndKeyBatch(last bool)                // a part of the elder's keys has been told
	SetTrafficDisabled(on bool)           // operators have callers sent away, or not any more
}

// ConnectPeer takes in a peer; elder tells whether it was there first. Only one is had
// at a time.
func (c *Core) ConnectPeer(p Peer, elder bool) error {
	return c.enqueue(func() {
		if c.peer == nil {
			c.peer, c.predecessor = p, elder
		}
	})
}

// ReplicateKeys tells the next part of the keys to a peer that has just come.
func (c *Core) ReplicateKeys(p Peer) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		if c.pendingKeys == nil {
			c.pendingKeys = make([]*entry, 0, len(c.keys.entries))
			for _, e := range c.keys.entries {
				c.pendingKeys = append(c.pendingKeys, e)
			}
		}
		n := min(snapshotPart, len(c.pendingKeys))
		for _, e := range c.pendingKeys[:n] {
			if e.ran != "" && c.keys.entries[e.key] == e {
				p.ReplicateKey(c.state(e))
			}
		}
		c.pendingKeys = c.pendingKeys[n:]
		if len(c.pendingKeys) == 0 {
			p.SetTrafficDisabled(c.trafficDisabled)
		}
		p.EndKeyBatch(len(c.pendingKeys) == 0)
	})
}

// ApplyKey takes in what a peer tells of a key.
func (c *Core) ApplyKey(p Peer, k KeyState) {
	c.enqueue(func() {
		if c.peer == p {
			c.applyKey(k)
		}
	})
}

func (c *Core) applyKey(k KeyState) {
	e, joined := c.keys.learn(k, c.clock.At(k.ExpiresAt))
	if e.ran != "" {
		c.journal(e, e.over)
	}
	for _, r := range joined {
		c.deferredEvents = append(c.deferredEvents, func() { c.settleDuplicate(r, e) })
	}
}

// ClaimRequested takes in that a younger peer wants to run a try.
func (c *Core) ClaimRequested(p Peer, k KeyState) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		e := c.keys.entries[k.Key]
		granted := e == nil || !e.ranFor(c.clock.At(k.ArrivedAt))
		if granted {
			c.applyKey(k)
		} else {
			p.ReplicateKey(c.state(e))
		}
		p.DecideClaim(k.RanAttemptID, granted)
	})
}

// ClaimDecided takes in the elder's word on a claim.
func (c *Core) ClaimDecided(p Peer, ran string, granted bool) {
	c.enqueue(func() {
		if a := c.attempts[ran]; c.peer == p && a != nil && a.state.awaitsClaim() {
			c.settleClaim(a, granted)
		}
	})
}

func (c *Core) settleClaim(a *attempt, granted bool) {
	switch {
	case granted && !a.answered:
		c.startOrWaitForSlot(a)
	case granted: // given up meanwhile: it is not begun
		c.completeRun(a.ID, RunNotStarted, 0, Payload{})
	default:
		c.keys.unclaim(a)
		c.transition(a, stateQueued)
		host{c}.ServeCached(a.ID)
		c.removeIfDone(a)
	}
}

// PeerDisconnected takes in that a peer has gone. What it told counts; what still ran there
// has no result that anybody will hear of.
func (c *Core) PeerDisconnected(p Peer) {
	c.enqueue(func() {
		if c.peer != p {
			return
		}
		c.peer, c.pendingKeys = nil, nil
		for _, e := range c.keys.entries {
			if e.remote {
				k := c.state(e)
				k.Completed = true
				c.applyKey(k)
			}
		}
		for _, a := range c.attempts {
			if a.state.awaitsClaim() {
				c.settleClaim(a, a.entry.ran == a.ID)
			}
		}
	})
}

// ApplyTrafficDisabled takes in what operators have said to a peer.
func (c *Core) ApplyTrafficDisabled(p Peer, away bool) {
	c.enqueue(func() {
		if c.peer == p {
			c.setTrafficDisabled(away)
		}
	})
}

// HandOver takes in that a younger peer takes the requests to come: all that is
// open here goes on, and is answered a margin before the process is stopped. The
// channel is closed once nothing is open.
func (c *Core) HandOver(stopAt time.Time) <-chan struct{} {
	settled := make(chan struct{})
	c.enqueue(func() {
		c.log.Info("handover", "open", len(c.attempts))
		c.stopAt, c.idle = c.clock.At(stopAt.Add(-stopMargin)), settled
	})
	return settled
}

// tellPeer tells the peer, if there is one, of a key that runs here or has run.
func (c *Core) tellPeer(e *entry, over bool) {
	if c.peer != nil {
		k := c.state(e)
		k.Completed = over
		c.peer.ReplicateKey(k)
	}
}

// MarkUnknownKeysInDoubt has the core take keys that it does not know for ones that may have run, until
// a time: tries of them fail, and are never run. It is for a process that could not learn
// what another one ran.
func (c *Core) MarkUnknownKeysInDoubt(until time.Time) error {
	return c.enqueue(func() { c.inDoubtUntil = max(c.inDoubtUntil, c.clock.At(until)) })
}
