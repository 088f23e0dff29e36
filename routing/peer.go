package routing

import (
	"time"
)

// snapshotPart is how many keys are told at a time to a peer that has just come.
const snapshotPart = 32

// KeyState is what one process of an app server tells another of a key. Its JSON
// is stored in the key journal: the tags are part of that format.
type KeyState struct {
	Key    string    `json:"Key"`
	Class  string    `json:"Class"` // of the first try
	Body   uint64    `json:"Body"`  // hash of what all tries of the request bring
	Ran    string    `json:"Ran"`   // id of the try that was run; "" where none was
	Door   time.Time `json:"Door"`
	Till   time.Time `json:"Till"`   // end of its window
	Over   bool      `json:"Over"`   // the run has ended
	Result *Payload  `json:"Result"` // if it went well
}

// Peer is another process of the same app server, at work beside this one while
// it takes over: a key that runs in one must not run in the other. The elder says
// who may run a key. Its methods must not block; their order is kept.
type Peer interface {
	Tell(k KeyState)                 // what has become of a key
	Claim(k KeyState)                // to the elder: may this try run?
	Settle(ran string, granted bool) // the elder's word on that
	Part(last bool)                  // a part of the elder's keys has been told
	Away(on bool)                    // operators have callers sent away, or not any more
}

// Meet takes in a peer; elder tells whether it was there first. Only one is had
// at a time.
func (c *Core) Meet(p Peer, elder bool) error {
	return c.post(func() {
		if c.peer == nil {
			c.peer, c.elder = p, elder
		}
	})
}

// TellKeys tells the next part of the keys to a peer that has just come.
func (c *Core) TellKeys(p Peer) {
	c.post(func() {
		if c.peer != p {
			return
		}
		if c.untold == nil {
			c.untold = make([]*entry, 0, len(c.keys.entries))
			for _, e := range c.keys.entries {
				c.untold = append(c.untold, e)
			}
		}
		n := min(snapshotPart, len(c.untold))
		for _, e := range c.untold[:n] {
			if e.ran != "" && c.keys.entries[e.key] == e {
				p.Tell(c.state(e))
			}
		}
		c.untold = c.untold[n:]
		if len(c.untold) == 0 {
			p.Away(c.away)
		}
		p.Part(len(c.untold) == 0)
	})
}

// Learn takes in what a peer tells of a key.
func (c *Core) Learn(p Peer, k KeyState) {
	c.post(func() {
		if c.peer == p {
			c.learn(k)
		}
	})
}

func (c *Core) learn(k KeyState) {
	e, joined := c.keys.learn(k, c.clock.At(k.Till))
	if e.ran != "" {
		c.journal(e, e.over)
	}
	for _, r := range joined {
		c.followUps = append(c.followUps, func() { c.settleRepeat(r, e) })
	}
}

// Claimed takes in that a younger peer wants to run a try.
func (c *Core) Claimed(p Peer, k KeyState) {
	c.post(func() {
		if c.peer != p {
			return
		}
		e := c.keys.entries[k.Key]
		granted := e == nil || !e.ranFor(c.clock.At(k.Door))
		if granted {
			c.learn(k)
		} else {
			p.Tell(c.state(e))
		}
		p.Settle(k.Ran, granted)
	})
}

// Settled takes in the elder's word on a claim.
func (c *Core) Settled(p Peer, ran string, granted bool) {
	c.post(func() {
		if a := c.attempts[ran]; c.peer == p && a != nil && a.claiming {
			c.settleClaim(a, granted)
		}
	})
}

func (c *Core) settleClaim(a *attempt, granted bool) {
	a.claiming = false
	switch {
	case granted && !a.answered:
		c.send(a)
	case granted: // given up meanwhile: it is not begun
		c.completed(a.ID, Unborn, 0, Payload{})
	default:
		c.keys.unclaim(a)
		a.begun = false
		host{c}.Reuse(a.ID)
		c.release(a)
	}
}

// Parted takes in that a peer has gone. What it told counts; what still ran there
// has no result that anybody will hear of.
func (c *Core) Parted(p Peer) {
	c.post(func() {
		if c.peer != p {
			return
		}
		c.peer, c.untold = nil, nil
		for _, e := range c.keys.entries {
			if e.remote {
				k := c.state(e)
				k.Over = true
				c.learn(k)
			}
		}
		for _, a := range c.attempts {
			if a.claiming {
				c.settleClaim(a, a.entry.ran == a.ID)
			}
		}
	})
}

// Follow takes in what operators have said to a peer.
func (c *Core) Follow(p Peer, away bool) {
	c.post(func() {
		if c.peer == p {
			c.setAway(away)
		}
	})
}

// HandOver takes in that a younger peer takes the requests to come: all that is
// open here goes on, and is answered a margin before the process is stopped. The
// channel is closed once nothing is open.
func (c *Core) HandOver(stopAt time.Time) <-chan struct{} {
	settled := make(chan struct{})
	c.post(func() {
		c.log.Info("handover", "open", len(c.attempts))
		c.stopAt, c.settled = c.clock.At(stopAt.Add(-stopMargin)), settled
	})
	return settled
}

// tellPeer tells the peer, if there is one, of a key that runs here or has run.
func (c *Core) tellPeer(e *entry, over bool) {
	if c.peer != nil {
		k := c.state(e)
		k.Over = over
		c.peer.Tell(k)
	}
}

// Doubt has the core take keys that it does not know for ones that may have run, until
// a time: tries of them fail, and are never run. It is for a process that could not learn
// what another one ran.
func (c *Core) Doubt(until time.Time) error {
	return c.post(func() { c.inDoubtUntil = max(c.inDoubtUntil, c.clock.At(until)) })
}
