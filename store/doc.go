// Package store is an embedded key-value store: an append-only log on disk with
// an index in memory. It holds data that must outlive the process: the states and
// results of idempotency keys, and the raft log of the fleet's voters. Its design
// follows Bitcask (Sheehy and Smith, "Bitcask: A Log-Structured Hash Table for
// Fast Key/Value Data", 2010) and adds an expiry for each value, group commit, and
// a CRC-32C on the header and on the payload of each record.
//
// # Ownership
//
// A Store owns its directory, which holds the segment files NNNNNNNN.log and,
// during a compaction, the temporary file NNNNNNNN.log.tmp. The segment with the
// highest number is the active segment; the others are sealed. Only one Store may
// have a directory open for writing; Inspect may read it at any time. The package
// does no network I/O.
//
// # Life cycle of a record
//
//	queued     Put or Delete accepted the record; it waits for the writer goroutine
//	written    the record is at the end of the active segment
//	durable    the segment was synced if the SyncPolicy requires it; the index
//	           points at the record and done was called without an error
//	superseded a later record of the same key replaced it in the index
//	expired    the value's expiry time has passed; Get no longer returns it
//	dropped    a compaction did not copy the record to the new segment
//
// A deletion is also a record. A deletion, and a value that replaced one with a
// later expiry, stay in the index (recordLocation.retainUntil) until all older
// values that they hide have expired: after a crash during a compaction, a segment
// with such an older value may still exist, and recovery must not restore it.
//
// # Goroutines and locks
//
// Open starts one goroutine, the writer (runWriter), which Close stops. Only the
// writer changes files: it takes all queued records as one group, appends them to
// the active segment, syncs it, updates the index and calls each record's done
// function. It then seals the segment and compacts if either is due. queueMu
// guards the queue, indexMu the index. The writer holds indexMu during a
// compaction. Put never waits for I/O. Delete waits for indexMu. Get reads one
// record from disk under indexMu.
//
// # Durability
//
// Once a record's done function was called without an error, the record survives a
// power loss with SyncAlways, and a crash of the process with SyncNever. Records
// become durable in the order in which they were accepted.
//
// After an I/O error in the writer the store is degraded. It is unknown how much of
// the group reached the disk, so the whole group fails with ErrDegraded, and so do
// further writes for 0.1 to 1 s. On the next write after that, the writer truncates
// the active segment to its acknowledged records and starts a new segment. It never
// writes or syncs the old file again, because a sync that succeeds after one that
// failed proves nothing. If the repair succeeds, the store is healthy again without
// a restart.
//
// # Compaction
//
// After sealing a segment, the writer compacts the sealed segments if their total
// size, counted as SegmentBytes each, exceeds twice the size of all live records:
//
//  1. It writes the records that must be retained to a temporary file and syncs
//     it. After a crash before step 2 the sealed segments are unchanged; recovery
//     removes the temporary file.
//  2. It atomically renames the temporary file over the last sealed segment and
//     syncs the directory. After a crash here the older sealed segments are still
//     present and precede the new file. The new file holds the latest record of
//     each key if that record was in a sealed segment, except records that have
//     expired together with everything that they hide. Replaying the segments in
//     order therefore gives the same values.
//  3. It removes the other sealed segments, oldest first. After a crash in between
//     the later ones remain. The argument of step 2 still holds, because no record
//     is removed before the records that it hides.
//
// # Recovery
//
// Open replays the segments in order. It stops reading a segment at the first
// offset without a complete record:
//
//   - A truncated record, or only zero bytes, at the end of the active segment is
//     an unfinished write. It was never acknowledged. Open truncates the segment
//     there and counts the bytes in RecoveredState.TruncatedBytes.
//   - Anything else, such as a record whose CRC does not match or a truncated
//     record in a sealed segment, is a Loss. Open does not trust the rest of that
//     segment and truncates it there, so only one Open reports the loss. After a
//     loss, the caller must treat a key without a record as unknown, not as never
//     written. If that must survive another crash, the caller must record it.
package store
