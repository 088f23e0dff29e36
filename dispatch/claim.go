package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/guard"
)

// Run starts an attempt, or resumes a paused one, if guard allows it. It claims the attempt's
// key in the table. Before the backend starts the run, the attempt then waits for the end of
// the hold after a stall, the journal, the predecessor and a pool's slot, in this order.
func (h host) Run(id string) {
	a := h.attempts[id]
	if a == nil || !h.admitStart(a) {
		return
	}
	if a.state == statePaused { // it still has the claim of its key
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

// admitStart asks guard whether an attempt may be started. If the grace of a drain is over,
// it sheds the attempt instead; if the key has run, it makes the attempt wait for the result
// of that run. An attempt that is answered or running stays as it is.
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

// holdAfterStall delays a start, because a drain notice that was sent during the stall may
// not have been received yet.
func (c *Core) holdAfterStall(a *attempt, hold time.Duration) {
	c.transition(a, stateHeldAfterStall)
	time.AfterFunc(hold, func() { c.report(stallHoldEnded{a}) })
}

type stallHoldEnded struct{ attempt *attempt }

func (e stallHoldEnded) apply(c *Core) {
	a := e.attempt
	switch {
	case a.state != stateHeldAfterStall || c.attempts[a.ID] != a:
	case a.answered: // its caller cancelled it or disconnected during the hold
		c.completeNotStarted(a)
	default:
		c.recordClaim(a)
	}
}

// recordClaim makes the claim of a started attempt durable. The start continues in
// claimFromPredecessor: once the journal has reported the claim as durable, or at once if there
// is no journal or the attempt has no key.
func (c *Core) recordClaim(a *attempt) {
	if a.entry == nil || c.options.Journal == nil {
		c.claimFromPredecessor(a)
		return
	}
	c.transition(a, stateAwaitingJournal)
	c.options.Journal.Record(c.keyState(a.entry), func(err error) { c.report(claimRecorded{a, err}) })
}

// claimRecorded reports that a claim is durable, or that it can't be made durable (err). In
// that case the attempt is shed, because the key could run again after a restart.
type claimRecorded struct {
	attempt *attempt
	err     error
}

func (e claimRecorded) apply(c *Core) {
	a := e.attempt
	switch {
	case a.state != stateAwaitingJournal || c.attempts[a.ID] != a:
	case e.err != nil:
		c.log.Warn("journal_claim_failed", "key", a.Key, "error", e.err.Error())
		c.shedNotStarted(a)
	case a.answered: // its caller cancelled it or disconnected meanwhile
		c.completeNotStarted(a)
	default:
		c.claimFromPredecessor(a)
	}
}

// claimFromPredecessor requests the claim of a started attempt from the predecessor, if there
// is one; resolveClaim continues the start after its decision. Otherwise the start continues
// at once, and the claim is replicated to a successor, if there is one.
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
