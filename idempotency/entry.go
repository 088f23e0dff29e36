package idempotency

import (
	"slices"
	"time"
)

// Attempt is what the table needs to know of an attempt.
type Attempt struct {
	ID        string
	Key       string
	Class     string
	BodyHash  uint64
	ArrivedAt time.Duration
}

// Entry is what the table knows of a key. An attempt's entry stays in the table from
// Register to Unregister.
type Entry struct {
	key          string
	class        string        // of the request's first attempt
	bodyHash     uint64        // of the body that all attempts of the request carry
	owner        string        // id of the attempt that the others are duplicates of
	ranAttemptID string        // id of the attempt that claimed the key; "" if none did
	expiresAt    time.Duration // end of the key's window
	completed    bool          // the owner has ended, or there has been none yet
	remote       bool          // the owner runs in a peer process
	result       *Payload      // of the run, if it succeeded
	resultBytes  int
	waiting      []string // ids of the duplicates that wait for the owner to end
	openAttempts int      // registered and not unregistered
}

// Key is the idempotency key.
func (e *Entry) Key() string { return e.key }

// RanAttemptID is the id of the attempt that claimed the key, or "" if none did.
func (e *Entry) RanAttemptID() string { return e.ranAttemptID }

// ExpiresAt is the end of the key's window.
func (e *Entry) ExpiresAt() time.Duration { return e.expiresAt }

// BodyHash is the hash of the body that all attempts of the key carry.
func (e *Entry) BodyHash() uint64 { return e.bodyHash }

// Result is the result of the run, or nil if it did not succeed or its result was
// evicted.
func (e *Entry) Result() *Payload { return e.result }

// Completed reports whether the owner of the key has ended. It is also true while there has
// been no owner.
func (e *Entry) Completed() bool { return e.completed }

// RunsRemotely reports whether the key runs in a peer process.
func (e *Entry) RunsRemotely() bool { return e.remote }

// RanInWindow reports whether an attempt has claimed the key, and one that arrived at
// arrivedAt came before the end of the key's window.
func (e *Entry) RanInWindow(arrivedAt time.Duration) bool {
	return e.ranAttemptID != "" && arrivedAt < e.expiresAt
}

// Await has an attempt wait for the owner to end; its id is then among those that
// Unregister or Apply return. It reports false if there is no other attempt to wait for.
func (e *Entry) Await(attemptID string) bool {
	if e.completed || e.owner == attemptID {
		return false
	}
	e.waiting = append(e.waiting, attemptID)
	return true
}

// State is the entry as peers and the journal get it, with the end of its window as Unix
// time.
func (e *Entry) State(expiresAt time.Time) KeyState {
	return KeyState{
		Key: e.key, Class: e.class, BodyHash: e.bodyHash, RanAttemptID: e.ranAttemptID,
		ExpiresAt: expiresAt, Completed: e.completed, Result: e.result,
	}
}

// unused reports whether an attempt that arrived at arrivedAt may use the key for another
// request: no attempt is open, and none has run in whose window it arrived.
func (e *Entry) unused(arrivedAt time.Duration) bool {
	return e.openAttempts == 0 && !e.RanInWindow(arrivedAt)
}

// removable reports whether nothing refers to the entry and the key has not run.
func (e *Entry) removable() bool { return e.openAttempts == 0 && e.ranAttemptID == "" }

// complete marks the owner as ended and returns the duplicates that waited for it.
func (e *Entry) complete() (waiting []string) {
	e.completed = true
	waiting, e.waiting = e.waiting, nil
	return waiting
}

// stopWaiting removes an attempt from those that wait.
func (e *Entry) stopWaiting(attemptID string) {
	if len(e.waiting) > 0 {
		e.waiting = slices.DeleteFunc(e.waiting, func(id string) bool { return id == attemptID })
	}
}
