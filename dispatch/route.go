package dispatch

import (
	"errors"
	"time"

	"quincerail.example/quincerail/guard"
)

// Route: where the work of a request is to be done, if it is to be done at all.

// Run has a request run, unless its key has run here: then it gets that result.
func (h host) Run(id string) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	switch err := guard.MayStart(h.startFacts(a)); {
	case errors.Is(err, guard.ErrAfterGrace):
		h.options.Monitor.Denied(guard.DrainStart, err, id)
		h.transition(a, stateStartDenied)
		h.deferredEvents = append(h.deferredEvents, func() { h.shedUnstarted(a) })
		return
	case errors.Is(err, guard.ErrKeyRan):
		h.options.Monitor.Denied(guard.DuplicateRun, err, id)
		h.ServeCached(id)
		return
	case err != nil:
		return
	}
	if a.state == statePaused { // its key is claimed, by itself
		a.resumed = true
		h.startOrWaitForSlot(a)
		return
	}
	if a.entry != nil {
		h.keys.Claim(a.entry, a.keyAttempt(), a.classSettings.KeyWindow)
	}
	if hold := h.stallHoldUntil - h.now; hold > 0 {
		h.transition(a, stateHeldAfterStall)
		time.AfterFunc(hold, func() { h.enqueue(func() { h.endStallHold(a) }) })
		return
	}
	h.recordClaim(a)
}

// endStallHold goes on with a run that was held back after a stall.
func (c *Core) endStallHold(a *attempt) {
	if a.state != stateHeldAfterStall || c.attempts[a.ID] != a {
		return
	}
	if a.answered { // given up meanwhile
		c.completeRun(a.ID, RunNotStarted, 0, Payload{})
		return
	}
	host{c}.recordClaim(a)
}

// recordClaim makes the claim of a run's key durable, where there is a journal, and begins it.
func (h host) recordClaim(a *attempt) {
	if a.entry != nil && h.options.Journal != nil { // it begins once its claim is durable
		h.transition(a, stateAwaitingJournal)
		k := h.keyState(a.entry)
		h.options.Journal.Record(k, func(err error) { h.enqueue(func() { h.claimRecorded(a, err) }) })
		return
	}
	h.requestPeerClaim(a)
}

// claimRecorded takes in that a claim is durable, or can't be: then the run must not
// begin, as a restart would not know of it, and it is turned away, as it never ran.
func (c *Core) claimRecorded(a *attempt, err error) {
	if a.state != stateAwaitingJournal || c.attempts[a.ID] != a {
		return
	}
	switch {
	case err != nil:
		c.log.Warn("journal_refused", "key", a.Key, "error", err.Error())
		c.keys.ReleaseClaim(a.entry, a.ID)
		c.respond(a, Outcome{Kind: Shed, RetryAfter: c.settings.MaxRetryAfter})
		c.completeRun(a.ID, RunNotStarted, 0, Payload{})
	case a.answered: // given up meanwhile
		c.completeRun(a.ID, RunNotStarted, 0, Payload{})
	default:
		host{c}.requestPeerClaim(a)
	}
}

// requestPeerClaim begins a run whose key, if it has one, is claimed here.
func (h host) requestPeerClaim(a *attempt) {
	if a.entry != nil && h.peer != nil && h.predecessor {
		h.transition(a, stateAwaitingPeer)
		k := h.keyState(a.entry)
		k.ArrivedAt = h.clock.Unix(a.arrivedAt)
		h.peer.RequestClaim(k)
		return
	}
	if a.entry != nil {
		h.replicateKey(a.entry, false)
	}
	h.startOrWaitForSlot(a)
}

// Cancel has a run stopped.
func (h host) Cancel(id string) {
	a := h.attempts[id]
	switch {
	case a == nil || !a.state.started() || a.state.awaitsClaim() || a.state == stateHeldAfterStall:
	case a.state == stateAwaitingPoolSlot: // it waits in its pool's line: it never began
		h.pools.Cancel(a.classIndex, id)
		h.deferredEvents = append(h.deferredEvents, func() { h.completeRun(id, RunNotStarted, 0, Payload{}) })
	default:
		if a.state == stateRunning {
			h.transition(a, stateCancelling)
		}
		a.backend.Cancel(id)
	}
}

// ServeCached has a repeat wait for the result of the try that it repeats. What comes
// of it is an event of its own, as the module is in the midst of a batch.
func (h host) ServeCached(id string) {
	a := h.attempts[id]
	if a == nil || a.answered {
		return
	}
	if a.entry != nil && a.entry.Await(a.ID) {
		return
	}
	h.deferredEvents = append(h.deferredEvents, func() { h.settleDuplicate(a, a.entry) })
}

// CacheResult enters a request in the table of keys.
func (h host) CacheResult(id string, _ time.Duration) {
	if a := h.attempts[id]; a != nil && a.entry != nil {
		h.keys.Retain(a.entry, a.keyAttempt())
	}
}

// EvictResult needs nothing: the entry of a try that never ran goes with the try.
func (h host) EvictResult(string) {}
