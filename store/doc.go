// Package store is an embedded, append-only log of keys and values with an
// index in memory. It keeps what must outlive the process: the idempotency keys
// that ran and their results, and the raft log of the fleet's voters. It is a
// log-structured store in the manner of Bitcask (Sheehy and Smith, "Bitcask: A
// Log-Structured Hash Table for Fast Key/Value Data", 2010), with an expiry for
// each value, group commit, and a CRC-32C on the header and on the payload of
// each record.
//
// # Ownership
//
// A Store owns its directory: the segment files NNNNNNNN.log, of which the one
// with the highest number is the active segment and the others are sealed, and
// the temporary file of a compaction, NNNNNNNN.log.tmp. Only one Store may have
// a directory open for writing; Inspect may read it at any time. The package
// does no network I/O.
//
// # Life cycle of a record
//
//	queued     Put or Delete accepted it; it waits for the writer's goroutine
//	written    it stands at the end of the active segment
//	durable    the segment was synced, where the SyncPolicy asks for it; the
//	           index points at it and done was called without an error
//	superseded a later record of the same key replaced it in the index
//	expired    its value's time is over; Get does not return it any more
//	dropped    a compaction left it out of the file that it wrote
//
// A deletion is a record too. A deletion, and a value that replaced one with a
// later expiry, stay in the index (recordLocation.retainUntil) until everything
// that they hide has expired: a segment that holds an older value may outlive a
// crash in a compaction, and its value must not come back.
//
// # Goroutines and locks
//
// Open starts one goroutine, the writer (runWriter), which ends with Close. It
// alone writes: it takes all queued records as one group, appends them to the
// active segment, syncs it, updates the index, calls each record's done
// function, and seals the segment and compacts where that is due. The queue is
// guarded by queueMu, the index by indexMu. Put and Delete never wait for I/O.
// Get reads one record from disk under indexMu, and waits for a compaction in
// progress.
//
// # Durability
//
// With SyncAlways a record is durable through a power loss once its done
// function was called without an error; with SyncNever, through a crash of the
// process. Records become durable in the order in which they were accepted.
//
// After an I/O error of the writer the store is degraded: how much of the group is on
// disk is not known, and its writes are refused with ErrDegraded, as are those of the
// next 0.1 to 1 s. The next write after that has the writer cut off what was not
// acknowledged and start a new segment; the old file is not written or synced again,
// since after a sync that failed a further one proves nothing. Where that works the
// store is healthy again, without a restart.
//
// # Compaction
//
// When a segment is sealed and the sealed segments have more than twice the
// size of all live records, the writer compacts them:
//
//  1. It writes the records that must be retained to a temporary file and syncs
//     it. A crash before the next step leaves the sealed segments as they were;
//     recovery removes the temporary file.
//  2. It renames the temporary file over the last sealed segment, atomically,
//     and syncs the directory. A crash here leaves the older sealed segments in
//     front of the new file. The new file holds each key's latest record, if
//     that was in a sealed segment, unless it has expired along with all that
//     it hides, so replaying the segments in order gives the same values.
//  3. It removes the other sealed segments, oldest first. A crash in between
//     leaves the later ones, to which the argument of step 2 applies: a record
//     is removed no earlier than those that it hides.
//
// # Recovery
//
// Open replays the segments in order. It stops reading a segment at the first
// place that holds no complete record:
//
//   - At the end of the active segment, a truncated record, or zeros only, is a
//     write that never finished. Nobody was told that it was durable. It is cut
//     off and counted in Recovered.TruncatedBytes.
//   - Anything else, that is a record whose CRC does not match, or a truncated
//     record in a sealed segment, is a Loss. The rest of that segment is not
//     trusted and is cut off, so a loss is reported by one Open only. The caller
//     must treat keys that the store does not know as unknown, not as never
//     written, and must record that itself if it has to outlive a further crash.
package store
