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
	entrySlots      = 2048 // keys for entries in the store, used in turn; more than the log ever holds
	entriesRetained = 64   // entries before a snapshot that stay, for voters that are a little behind
)

// The keys of the store.
const (
	stateKey       = "state"
	snapshotKey    = "snapshot"
	entryKeyFormat = "entry/%04d"
)

// lastIndexBytes is the length of the last entry's index, which stands before
// raft's hard state in the record of the state.
const lastIndexBytes = 8

// neverExpires is the expiry of the log's records.
var neverExpires = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// durableLog keeps a voter's raft log in a store: entries in slots that are used
// in turn, so that none needs to be deleted, a snapshot, and the hard state with
// the index of the last valid entry. The store writes in order, so a crash
// leaves what was written up to some moment:
//
//   - Entries written after the last state lie beyond its last index. They are
//     not valid; no message about them was sent.
//   - Before entries replace others of the same indexes, a state is written that
//     ends before them, so that no old entry ever follows a new one.
type durableLog struct {
	store     *store.Store
	dir       string              // of the store, for errors
	memory    *raft.MemoryStorage // the log as the raft library reads it
	hardState *raftpb.HardState
}

func entryKey(index uint64) string { return fmt.Sprintf(entryKeyFormat, index%entrySlots) }

// save makes durable what raft wants saved, and returns once it is.
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

// saveSnapshot replaces the log by a snapshot of another voter.
func (l *durableLog) saveSnapshot(snapshot *raftpb.Snapshot) error {
	if err := l.memory.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: installing snapshot %d: %w", snapshot.GetMetadata().GetIndex(), err)
	}
	return l.put(snapshotKey, nil, snapshot, nil)
}

// saveEntries appends entries to the log, in place of those from their first
// index on.
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

// saveState writes the state and waits until it and all records before it are
// durable.
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

// compact replaces the entries up to an applied index by a snapshot, whose data
// is the state of the group and its state machine there.
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
		return fmt.Errorf("consensus: first index: %w", err)
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
		return 0, fmt.Errorf("consensus: last index: %w", err)
	}
	return index, nil
}

// putState queues the record of the state, by which the entries up to an index
// are valid.
func (l *durableLog) putState(lastIndex uint64, done func(error)) error {
	return l.put(stateKey, binary.BigEndian.AppendUint64(nil, lastIndex), l.hardState, done)
}

// put queues a record. After a failed write the store fails all later ones, so
// only the last record's outcome needs to be waited for; done may be nil.
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
