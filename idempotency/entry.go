package idempotency

import (
	"slices"
	"time"
)

// Attempt is the part of an attempt that the table needs.
type Attempt struct {
	ID        string
	Key       string
	Class     string
	BodyHash  uint64 // of the request's body
	ArrivedAt time.Duration
}

// Entry is the state of a key in the table. It stays there at least as long as an attempt is
// registered with it.
type Entry struct {
	key          string
	class        string        // of the first attempt
	bodyHash     uint64        // of the body that all attempts carry
	owner        string        // id of the attempt that the others duplicate
	ranAttemptID string        // id of the attempt that has claimed the key; "" if none has
	expiresAt    time.Duration // end of the key's window
	completed    bool          // the owner has ended, or there has been none yet
	remote       bool          // the owner runs in a peer process
	result       *Payload      // of the run, if it succeeded
	resultBytes  int
	waiting      []string // ids of the duplicates that wait for the end of the owner
	openAttempts int      // number of attempts that are registered
}

// Key returns the idempotency key.
func (e *Entry) Key() string { return e.key }

// RanAttemptID returns the id of the attempt that has claimed the key, or "" if none has.
func (e *Entry) RanAttemptID() string { return e.ranAttemptID }

// ExpiresAt returns the end of the key's window.
func (e *Entry) ExpiresAt() time.Duration { return e.expiresAt }

// BodyHash returns the hash of the body that all attempts of the key carry.
func (e *Entry) BodyHash() uint64 { return e.bodyHash }

// Result returns the result of the run, or nil if it has not succeeded or the result was
// evicted.
func (e *Entry) Result() *Payload { return e.result }

// Completed reports whether the owner of the key has ended. It is also true if there has been
// no owner yet.
func (e *Entry) Completed() bool { return e.completed }

// RunsRemotely reports whether the key is running in a peer process.
func (e *Entry) RunsRemotely() bool { return e.remote }

// RanInWindow reports whether an attempt has claimed the key, and arrivedAt is before the end
// of the key's window.
func (e *Entry) RanInWindow(arrivedAt time.Duration) bool {
	return e.ranAttemptID != "" && arrivedAt < e.expiresAt
}

// AwaitOwner makes an attempt wait for the end of the owner: its id is then among those that
// Unregister or Apply return. It returns false if the owner has ended or is the attempt
// itself.
func (e *Entry) AwaitOwner(attemptID string) bool {
	if e.completed || e.owner == attemptID {
		return false
	}
	e.waiting = append(e.waiting, attemptID)
	return true
}

// State returns the entry's state for peers and the journal. expiresAt is the end of its
// window as Unix time.
func (e *Entry) State(expiresAt time.Time) KeyState {
	return KeyState{
		Key: e.key, Class: e.class, BodyHash: e.bodyHash, RanAttemptID: e.ranAttemptID,
		ExpiresAt: expiresAt, Completed: e.completed, Result: e.result,
	}
}

// unused reports whether an attempt that arrived at arrivedAt may use the key for another
// request: no attempt is registered, and arrivedAt is not within the window of a run.
func (e *Entry) unused(arrivedAt time.Duration) bool {
	return e.openAttempts == 0 && !e.RanInWindow(arrivedAt)
}

// removable reports whether no attempt is registered and the key has not run.
func (e *Entry) removable() bool { return e.openAttempts == 0 && e.ranAttemptID == "" }

// complete marks the owner as ended and returns the duplicates that waited for it.
func (e *Entry) complete() (waiting []string) {
	e.completed = true
	waiting, e.waiting = e.waiting, nil
	return waiting
}

// stopWaiting removes an attempt from the duplicates that wait.
func (e *Entry) stopWaiting(attemptID string) {
	if len(e.waiting) > 0 {
		e.waiting = slices.DeleteFunc(e.waiting, func(id string) bool { return id == attemptID })
	}
}
