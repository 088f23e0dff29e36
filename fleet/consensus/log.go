package consensus

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/store"
)

const (
	entrySlots      = 2048 // number of store keys for entries, reused cyclically; must exceed the length of the log
	entriesRetained = 64   // entries kept up to a snapshot's index, so that a voter slightly behind needs no snapshot
)

// Keys of the store.
const (
	stateKey       = "state"
	snapshotKey    = "snapshot"
	entryKeyFormat = "entry/%04d"
)

// lastIndexBytes is the length of the last entry's index, which precedes raft's
// hard state in the record at stateKey.
const lastIndexBytes = 8

// neverExpires is the expiry time of the log's records, which must not expire.
var neverExpires = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// durableLog stores a voter's raft log in a store: the latest snapshot, the
// entries, and the state record, which has the hard state and the index of the
// last valid entry. Entries have cyclically reused keys, so none needs to be
// deleted. The store writes records in order, so a crash leaves all records up to
// some point:
//
//   - Entries written after the last state record have indexes beyond its last
//     index. They are not valid, and no message about them was sent.
//   - Before entries replace others with the same indexes, a state record is
//     written with a last index below all of them. So an old entry never follows
//     a new one in the valid part of the log.
type durableLog struct {
	store     *store.Store
	dir       string              // directory of the store, for errors
	memory    *raft.MemoryStorage // copy of the log that the raft library reads
	hardState *raftpb.HardState
}

func entryKey(index uint64) string { return fmt.Sprintf(entryKeyFormat, index%entrySlots) }

// save writes the snapshot, entries and hard state of a Ready, and returns once
// they are durable.
func (l *durableLog) save(ready *raft.Ready) error {
	newSnapshot := !raft.IsEmptySnap(ready.Snapshot)
	if !newSnapshot && len(ready.Entries) == 0 && ready.HardState == nil {
		return nil
	}
	if ready.HardState != nil {
		l.hardState = ready.HardState
	}
	if newSnapshot {
		if err := l.saveSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if len(ready.Entries) > 0 {
		if err := l.saveEntries(ready.Entries); err != nil {
			return err
		}
	}
	return l.saveState()
}

// saveSnapshot replaces the log by a snapshot from another voter.
func (l *durableLog) saveSnapshot(snapshot *raftpb.Snapshot) error {
	if err := l.memory.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: installing snapshot %d: %w", snapshot.GetMetadata().GetIndex(), err)
	}
	return l.put(snapshotKey, nil, snapshot, nil)
}

// saveEntries replaces the log's entries from the index of the first new one.
func (l *durableLog) saveEntries(entries []*raftpb.Entry) error {
	lastIndex, err := l.lastIndex()
	if err != nil {
		return err
	}
	if firstIndex := entries[0].GetIndex(); firstIndex <= lastIndex {
		if err := l.putState(firstIndex-1, nil); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := l.put(entryKey(entry.GetIndex()), nil, entry, nil); err != nil {
			return err
		}
	}
	if err := l.memory.Append(entries); err != nil {
		return fmt.Errorf("consensus: appending entries from %d: %w", entries[0].GetIndex(), err)
	}
	return nil
}

// saveState writes the state record and waits until it and all records before it
// are durable.
func (l *durableLog) saveState() error {
	if err := l.memory.SetHardState(l.hardState); err != nil {
		return fmt.Errorf("consensus: setting the hard state: %w", err)
	}
	lastIndex, err := l.lastIndex()
	if err != nil {
		return err
	}
	written := make(chan error, 1)
	if err := l.putState(lastIndex, func(err error) { written <- err }); err != nil {
		return err
	}
	if err := <-written; err != nil {
		return fmt.Errorf("consensus: writing the log up to %d: %w", lastIndex, err)
	}
	return nil
}

// compact stores a snapshot of the group and the state machine as of an applied
// index. It removes the entries up to that index from memory, except the last
// entriesRetained.
func (l *durableLog) compact(index uint64, confState *raftpb.ConfState, data []byte) error {
	snapshot, err := l.memory.CreateSnapshot(index, confState, data)
	if err != nil {
		return fmt.Errorf("consensus: creating snapshot %d: %w", index, err)
	}
	if err := l.put(snapshotKey, nil, snapshot, nil); err != nil {
		return err
	}
	firstIndex, err := l.memory.FirstIndex()
	if err != nil {
		return fmt.Errorf("consensus: reading the log's first index: %w", err)
	}
	if index < firstIndex+entriesRetained {
		return nil
	}
	if err := l.memory.Compact(index - entriesRetained); err != nil {
		return fmt.Errorf("consensus: compacting up to %d: %w", index-entriesRetained, err)
	}
	return nil
}

func (l *durableLog) lastIndex() (uint64, error) {
	index, err := l.memory.LastIndex()
	if err != nil {
		return 0, fmt.Errorf("consensus: reading the log's last index: %w", err)
	}
	return index, nil
}

// putState queues a state record with lastIndex as the index of the last valid
// entry.
func (l *durableLog) putState(lastIndex uint64, done func(error)) error {
	return l.put(stateKey, binary.BigEndian.AppendUint64(nil, lastIndex), l.hardState, done)
}

// put queues a record; done may be nil. Callers wait for the outcome of the last
// record only, because the store rejects the writes after a failed one until it
// has repaired itself.
func (l *durableLog) put(key string, prefix []byte, message proto.Message, done func(error)) error {
	record, err := proto.MarshalOptions{}.MarshalAppend(prefix, message)
	if err != nil {
		return fmt.Errorf("consensus: encoding %s: %w", key, err)
	}
	if done == nil {
		done = func(error) {}
	}
	l.store.Put(key, record, neverExpires, done)
	return nil
}
