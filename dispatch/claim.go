package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/guard"
)

// Run starts an attempt, or resumes it, if guard allows it. It claims the attempt's key in
// the table; what is still to be waited for before the backend begins the run follows in
// this order: the hold after a stall, the journal, the predecessor, a pool's slot.
func (h host) Run(id string) {
	a := h.attempts[id]
	if a == nil || !h.admitStart(a) {
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

// admitStart asks guard whether an attempt may be started. If it may not, the attempt is
// shed (its drain's grace is over), waits for the result of the attempt whose key has run,
// or is left as it is (it is answered or runs).
func (c *Core) admitStart(a *attempt) bool {
	err := guard.MayStart(c.startFacts(a))
	switch {
	case errors.Is(err, guard.ErrAfterGrace):
		c.options.Monitor.RecordDenial(guard.DrainStart, err, a.ID)
		c.denyStart(a)
	case errors.Is(err, guard.ErrKeyRan):
		c.options.Monitor.RecordDenial(guard.DuplicateRun, err, a.ID)
		c.awaitResult(a)
	}
	return err == nil
}

// holdAfterStall holds a start back for a time, as a notice to drain may have come during
// the stall and not be seen yet.
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
		state := c.keyState(a.entry)
		state.ArrivedAt = c.clock.Unix(a.arrivedAt)
		c.replication.peer.RequestClaim(state)
		return
	}
	c.replicateKey(a.entry, false)
	c.acquirePoolSlot(a)
}
