// Package journal stores the states of idempotency keys on disk. A process that
// starts after a crash uses them to avoid running a request a second time. A
// Journal implements idempotency.Journal with a store.Store.
//
// # Ownership
//
// A Journal owns its directory, which is the directory of its store, and the format
// of the store's records:
//
//   - "key/" followed by a key, which may hold any bytes: the idempotency.KeyState of the
//     key in JSON. The record expires at the end of the key's window.
//   - "doubt": an empty value. Keys without a record are in doubt until it expires.
//
// # States of a key
//
// The journal is a write-ahead log of claims. A run starts only when the claim of
// its key is durable. The end of the run and its result are recorded without
// waiting. A process that opens the journal finds each key in one of these states:
//
//	not run    no record, or one without RanAttemptID: the request may run
//	completed  the run ended: duplicates get its result, or fail if there is none
//	in doubt   the key was claimed but no end of the run is recorded: the run may
//	           have had its effect, so the request must not run again within the
//	           key's window, and its duplicates fail
//
// # Losses
//
// If the store lost records, the states of the keys in them are unknown. Open then
// puts all keys without a record in doubt for the longest window, until
// RecoveredState.InDoubtUntil. It makes the "doubt" record durable before it
// returns, because the store reports a loss only once and the doubt must survive
// another crash.
//
// # Goroutines
//
// A Journal starts no goroutine. Its store has one, which calls the done functions
// of Record. If the store rejects a record without writing it, the caller's goroutine
// calls done.
package journal
