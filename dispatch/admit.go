package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/guard"
)

// admit registers an attempt with its key and reports it to the module, which may start,
// shed or fail it at any time from then on.
func (c *Core) admit(a *attempt) {
	duplicateOf := ""
	if a.Key != "" {
		a.bodyHash = hashBody(a.Payload.Body)
		if !c.keys.Matches(a.keyAttempt(), c.mayShareKeys) { // another request has the key
			c.respond(a, Outcome{Kind: Rejected})
			return
		}
		a.entry, duplicateOf = c.keys.Register(a.keyAttempt())
	}
	r := decision.Request{
		ID: a.ID, Class: a.classIndex, Tenant: a.tenantIndex, CacheKey: a.CacheKey, ReservedKB: a.ReservedKB, Rank: a.Rank, Caller: a.Caller,
		Write: a.classSettings.Idempotency != decision.Idempotent, ReadLag: c.now - a.readAfter, DuplicateOf: duplicateOf,
	}
	if a.deadline != a.readAfter+a.classSettings.Deadline { // the module counts the class's deadline from readAfter
		r.Deadline = a.deadline
	}
	c.transition(a, stateQueued)
	c.module.RequestReceived(c.now, r)
}

// hashBody returns a hash of a body. The hash is the same in every process, and
// cryptographic: a caller can't find another body with the same hash.
func hashBody(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.BigEndian.Uint64(sum[:])
}

// Shed answers a request as shed, or as failed if guard denies that.
func (h host) Shed(id string, retryAfter time.Duration, noRetryElsewhere bool) {
	a := h.attempts[id]
	if a == nil {
		return
	}
	if err := guard.MayShed(a.shedFacts()); err != nil { // the request may have had its effect
		h.options.Monitor.RecordDenial(guard.ShedAfterRun, err, id)
		h.respond(a, h.failureOutcome(a))
		return
	}
	h.respond(a, Outcome{Kind: Shed, RetryAfter: retryAfter, NoRetryElsewhere: noRetryElsewhere})
}

// Fail answers a request as failed.
func (h host) Fail(id string) {
	if a := h.attempts[id]; a != nil {
		h.respond(a, h.failureOutcome(a))
	}
}

// ServeCached answers a duplicate with the result of the attempt that owns its key, once
// that attempt has ended.
func (h host) ServeCached(id string) {
	if a := h.attempts[id]; a != nil {
		h.awaitResult(a)
	}
}

// awaitResult makes an attempt wait for the owner of its key, or answers it if the owner has
// ended or the attempt has no key.
func (c *Core) awaitResult(a *attempt) {
	if a.answered || a.entry != nil && a.entry.AwaitOwner(a.ID) {
		return
	}
	c.deferEvent(duplicateResolved{a, a.entry})
}

// CacheResult makes an attempt the owner of its key.
func (h host) CacheResult(id string, _ time.Duration) {
	if a := h.attempts[id]; a != nil && a.entry != nil {
		h.keys.TakeOwnership(a.entry, a.keyAttempt())
	}
}

// EvictResult does nothing: the key table removes the entry of a key that never ran together
// with its last attempt.
func (h host) EvictResult(string) {}
