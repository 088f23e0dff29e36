// Package journal keeps the states of idempotency keys on disk, so that a process
// which starts after a crash knows which requests ran and does not run them
// again. A Journal implements idempotency.Journal over a store.Store.
//
// # Ownership
//
// A Journal owns its directory, which is that of its store, and the forms of the
// records in it:
//
//   - "key/" and the key: the key's idempotency.KeyState in JSON, which expires at
//     the end of the key's window;
//   - "doubt": an empty value, which expires when keys that the journal does not
//     know stop being in doubt.
//
// # States of a key
//
// A key's claim is recorded before the run begins, which waits until the claim is
// durable; the end of the run, with its result, is recorded without waiting (a
// write-ahead log of claims). A process that opens the journal finds a key in one
// of these states:
//
//	not run    no record, or one without RanAttemptID: it may run
//	completed  the run ended: duplicates get its result, or fail without one
//	in doubt   the run was claimed and its end is not recorded: it may have had
//	           its effect, so it must not run again in its window, and its
//	           duplicates fail
//
// # Losses
//
// If the store lost records, nothing is known of the keys in them. Open then
// puts every key that the journal does not know in doubt for the longest window,
// Recovered.InDoubtUntil, and records that before it returns. The store reports
// a loss once; the record makes the doubt outlive a further crash.
//
// # Goroutines
//
// A Journal starts none; its store has one, which calls the done functions of
// Record.
package journal
