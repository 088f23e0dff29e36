package dispatch

import "quincerail.example/quincerail/idempotency"

// Field is a named part of a payload.
type Field = idempotency.Field

// Payload is what a request brings, or its result. The core only passes it on.
type Payload = idempotency.Payload

// KeyState is what the core reports of a key to a peer and to the journal.
type KeyState = idempotency.KeyState

// Journal keeps states of keys durably.
type Journal = idempotency.Journal

// keyAttempt is the attempt as the key table knows it.
func (a *attempt) keyAttempt() idempotency.Attempt {
	return idempotency.Attempt{ID: a.ID, Key: a.Key, Class: a.Class, BodyHash: a.bodyHash, ArrivedAt: a.arrivedAt}
}

// keyStateWith is keyState with another value of Completed.
func (c *Core) keyStateWith(e *idempotency.Entry, completed bool) KeyState {
	state := c.keyState(e)
	state.Completed = completed
	return state
}

// keyState is an entry as the peer and the journal get it.
func (c *Core) keyState(e *idempotency.Entry) KeyState {
	return e.State(c.clock.Unix(e.ExpiresAt()))
}
