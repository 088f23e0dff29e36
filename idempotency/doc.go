// Package idempotency implements the table of idempotency keys. All attempts of a request carry
// the same key. The table ensures that only one of them runs within the key's window, and that
// the others get its result.
//
// # Lifecycle of a key
//
// An attempt is registered when it arrives. [Table.Register] returns the id of the attempt that
// it duplicates, if there is one. The first attempt of a key owns the key: its duplicates wait
// for it, whether it runs or not ([Entry.AwaitOwner]). Before an attempt runs, it
// claims the key ([Table.Claim]), which sets the key's window, counted from the arrival of
// that attempt. An attempt that is proven not to have run releases its claim
// ([Table.ReleaseClaim]). The result of a successful run is stored ([Table.StoreResult]). An
// attempt that has ended is unregistered ([Table.Unregister]); if it owned the key, this
// returns the duplicates that wait for it, and they get its result.
//
//	state      meaning
//	not run    no attempt has claimed the key: the next one may
//	claimed    an attempt runs, in this process or in a peer: others wait for it
//	completed  the run has ended: duplicates get its result, or fail if there is none
//
// [Entry.Completed] reports whether the owner has ended, not whether the key has run: an entry
// whose owner was shed is completed, and the key has not run.
//
// [Table.Expire] removes an entry once no attempt refers to it and its window is over, also for
// attempts that arrived within the window and may be registered later (AllowLateness).
//
// # Bounds
//
// The table's size is bounded in bytes. The oldest results are evicted first; duplicates of
// their runs then fail. The record that a key has run is never evicted, because it prevents a
// second run. If these records alone exceed the bound, the table is full ([Table.Full]), and
// attempts of new keys must not be registered.
//
// # How a second run is prevented
//
//   - In one process: [Table.Register] returns the earlier attempt, and guard.MayStart denies
//     the start of an attempt if [Entry.RanInWindow] is true.
//   - After a restart: the claim is durable in the journal before the run starts. Package
//     journal describes how lost records and runs without a recorded end are handled.
//   - During an upgrade with two processes: the successor requests each claim from the
//     predecessor, which grants it only if the key has not run there (dispatch/replication.go).
//
// # Replication
//
// A [KeyState] is the state of a key in the form in which it is sent to another process and
// stored by a [Journal] as JSON. [Entry.State] returns it; [Table.Apply] applies a received one.
//
// # Goroutines and time
//
// A Table and its entries must be used by one goroutine. They read no clock. Times are on the
// timeline of the process (package clock), except in a KeyState.
package idempotency
