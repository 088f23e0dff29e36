package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/guard"
)

// Run starts an attempt, unless its key has run here: then it gets that result.
func (h host) Run(id string) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	switch err := guard.MayStart(h.startFacts(a)); {
	case errors.Is(err, guard.ErrAfterGrace):
		h.options.Monitor.Denied(guard.DrainStart, err, id)
		h.denyStart(a)
		return
	case errors.Is(err, guard.ErrKeyRan):
		h.options.Monitor.Denied(guard.DuplicateRun, err, id)
		h.awaitResult(a)
		return
	case err != nil:
		return
	}
	if a.state == statePaused { // its key's claim still holds
		a.resumed = true
		h.acquirePoolSlot(a)
		return
	}
	if a.entry != nil {
		h.keys.Claim(a.entry, a.keyAttempt(), a.classSettings.KeyWindow)
	}
	if hold := h.drain.stallHoldUntil - h.now; hold > 0 {
		h.holdAfterStall(a, hold)
		return
	}
	h.recordClaim(a)
}

// holdAfterStall holds a start back.
func (c *Core) holdAfterStall(a *attempt, hold time.Duration) {
	c.transition(a, stateHeldAfterStall)
	time.AfterFunc(hold, func() { c.notify(stallHoldEnded{a}) })
}

type stallHoldEnded struct{ attempt *attempt }

func (e stallHoldEnded) apply(c *Core) {
	a := e.attempt
	switch {
	case a.state != stateHeldAfterStall || c.attempts[a.ID] != a:
	case a.answered: // its caller gave up during the hold
		c.completeNotStarted(a)
	default:
		c.recordClaim(a)
	}
}

// recordClaim makes the claim of a started attempt's key durable, where there is a
// journal, and goes on when it is.
func (c *Core) recordClaim(a *attempt) {
	if a.entry == nil || c.options.Journal == nil {
		c.claimFromPredecessor(a)
		return
	}
	c.transition(a, stateAwaitingJournal)
	c.options.Journal.Record(c.keyState(a.entry), func(err error) { c.notify(claimRecorded{a, err}) })
}

// claimRecorded reports that a claim is durable, or can't be made durable. Then the run
// must not begin, as a restart would not know of it.
type claimRecorded struct {
	attempt *attempt
	err     error
}

func (e claimRecorded) apply(c *Core) {
	a := e.attempt
	switch {
	case a.state != stateAwaitingJournal || c.attempts[a.ID] != a:
	case e.err != nil:
		c.log.Warn("journal_refused", "key", a.Key, "error", e.err.Error())
		c.shedNotStarted(a)
	case a.answered: // its caller gave up meanwhile
		c.completeNotStarted(a)
	default:
		c.claimFromPredecessor(a)
	}
}

// claimFromPredecessor asks the predecessor, where there is one, whether a started
// attempt may run: settleClaim goes on when it has decided. A successor is told of the
// claim.
func (c *Core) claimFromPredecessor(a *attempt) {
	if a.entry == nil {
		c.acquirePoolSlot(a)
		return
	}
	if c.replication.peer != nil && c.replication.peerIsPredecessor {
		c.transition(a, stateAwaitingPeer)
		k := c.keyState(a.entry)
		k.ArrivedAt = c.clock.Unix(a.arrivedAt)
		c.replication.peer.RequestClaim(k)
		return
	}
	c.replicateKey(a.entry, false)
	c.acquirePoolSlot(a)
}
