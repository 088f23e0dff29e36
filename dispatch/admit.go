package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// admit registers an attempt under its key, and reports it to the module. The module may
// start, shed or fail it at any time from here on.
func (c *Core) admit(a *attempt) {
	duplicateOf := ""
	if a.Key != "" {
		a.bodyHash = hashBody(a.Payload.Body)
		if !c.keys.Matches(a.keyAttempt(), c.mayShareKeys) { // the key's result is not for this caller
			c.respond(a, Outcome{Kind: Rejected})
			return
		}
		a.entry, duplicateOf = c.keys.Register(a.keyAttempt())
	}
	r := decision.Request{
		ID: a.ID, Class: a.classIndex, Tenant: a.tenantIndex, CacheKey: a.CacheKey, ReservedKB: a.ReservedKB, Rank: a.Rank, Caller: a.Caller,
		Write: a.classSettings.Idempotency != decision.Idempotent, ReadLag: c.now - a.readAfter, DuplicateOf: duplicateOf,
	}
	if a.deadline != a.readAfter+a.classSettings.Deadline { // the module counts the class's from readAfter
		r.Deadline = a.deadline
	}
	c.transition(a, stateQueued)
	c.module.RequestReceived(c.now, r)
}

// hashBody returns a hash that is the same in every process, and that callers can't find
// another body for.
func hashBody(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.BigEndian.Uint64(sum[:])
}

// Shed has a request answered as shed, at once.
func (h host) Shed(id string, retryAfter time.Duration, noRetryElsewhere bool) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	if err := guard.MayShed(a.shedFacts()); err != nil { // it may have had its effect
		h.options.Monitor.Denied(guard.ShedAfterRun, err, id)
		h.respond(a, h.failure(a))
		return
	}
	h.respond(a, Outcome{Kind: Shed, RetryAfter: retryAfter, NoRetryElsewhere: noRetryElsewhere})
}

// Fail has a request answered with an error, at once.
func (h host) Fail(id string) {
	if a := h.attempts[id]; a != nil {
		h.respond(a, h.failure(a))
	}
}

// ServeCached has a duplicate answered with the result of the attempt that has its key,
// once that has ended.
func (h host) ServeCached(id string) {
	if a := h.attempts[id]; a != nil {
		h.awaitResult(a)
	}
}

// awaitResult has an attempt wait for the one that has its key, or answers it if that has
// ended.
func (c *Core) awaitResult(a *attempt) {
	if a.answered || a.entry != nil && a.entry.Await(a.ID) {
		return
	}
	c.deferEvent(duplicateSettled{a, a.entry})
}

// CacheResult makes an attempt the owner of its key.
func (h host) CacheResult(id string, _ time.Duration) {
	if a := h.attempts[id]; a != nil && a.entry != nil {
		h.keys.TakeOwnership(a.entry, a.keyAttempt())
	}
}

// EvictResult does nothing: the entry of an attempt that never ran goes with the attempt.
func (h host) EvictResult(string) {}
