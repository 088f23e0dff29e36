package dispatch

import "quincerail.example/quincerail/idempotency"

// Field is a named part of a payload.
type Field = idempotency.Field

// Payload is the content of a request or its result. The core does not interpret it.
type Payload = idempotency.Payload

// KeyState is the state of a key that the core sends to a peer and to the journal.
type KeyState = idempotency.KeyState

// Journal makes key states durable.
type Journal = idempotency.Journal

// keyAttempt returns the part of the attempt that the key table needs.
func (a *attempt) keyAttempt() idempotency.Attempt {
	return idempotency.Attempt{ID: a.ID, Key: a.Key, Class: a.Class, BodyHash: a.bodyHash, ArrivedAt: a.arrivedAt}
}

// keyStateWith returns the state of an entry, with Completed set as given.
func (c *Core) keyStateWith(e *idempotency.Entry, completed bool) KeyState {
	state := c.keyState(e)
	state.Completed = completed
	return state
}

// keyState returns the state of an entry for the peer and the journal.
func (c *Core) keyState(e *idempotency.Entry) KeyState {
	return e.State(c.clock.Unix(e.ExpiresAt()))
}
