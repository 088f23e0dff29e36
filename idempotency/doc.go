// Package idempotency keeps the table of idempotency keys: it makes sure that of all
// attempts of one request, which carry the same key, only one runs within the key's
// window, and that the others get its result.
//
// # Life of a key
//
// An attempt that arrives is registered ([Table.Register]); the table names the earlier
// attempt that it duplicates, if there is one. The first attempt of a key owns it: its
// duplicates wait for it, whether it runs or not. An attempt that is to run claims the
// key ([Table.Claim]), which starts the key's window, counted from the arrival of that
// attempt. An attempt that is proven not to have begun releases its claim
// ([Table.ReleaseClaim]). The result of a run that succeeded is stored
// ([Table.StoreResult]). An attempt of which nothing more is to come leaves the table
// ([Table.Unregister]); if it owned the key, the duplicates that wait for it
// ([Entry.Await]) are returned, and its result is theirs.
//
//	not run    no attempt has claimed the key: the next one may
//	claimed    an attempt runs, in this process or in a peer: others wait for it
//	completed  the run ended: duplicates get its result, or fail without one
//
// [Entry.Completed] tells of the owner, not of a run: an entry whose owner was shed is
// completed and not run.
//
// An entry is removed by [Table.Expire] once no attempt refers to it and its window is
// over for every attempt that may still be read.
//
// # Bounds
//
// The table's size is bounded in bytes. Results are evicted first, the oldest first;
// their duplicates then fail. What says that a key has run is never evicted, since it
// is what keeps the key from running again. When even these fill the bound, the table
// is full ([Table.Full]) and attempts of new keys have to be rejected.
//
// # What keeps a key from running twice
//
//   - In one process: [Table.Register] names the earlier attempt, and guard.MayStart denies
//     the start of an attempt for which [Entry.RanInWindow] holds.
//   - Over a restart: the claim is durable in the journal before the run begins; package
//     journal says what becomes of records that are lost or have no end.
//   - During an upgrade with two processes: the successor asks the predecessor for each
//     claim, which grants it only if the key has not run there (dispatch/replication.go).
//
// # Replication
//
// A [KeyState] is the form in which another process, or a [Journal] on disk, gets to
// know a key ([Entry.State]); [Table.Apply] takes one over. Its JSON is stored.
//
// # Goroutines and time
//
// A Table and its entries belong to one goroutine and read no clock. Times are on the
// timeline of the caller's process, except in a KeyState.
package idempotency
