package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/store"
)

const (
	entrySlots         = 2048 // places for entries in the store, used in turn
	entriesPerSnapshot = 256  // entries applied between two snapshots
	entriesRetained    = 64   // entries before a snapshot that stay for voters a little behind
	stateKey           = "state"
	snapshotKey        = "snapshot"
	entryKeyFormat     = "entry/%04d"
	stateIndexBytes    = 8 // of the state: the last entry's index, ahead of raft's hard state
)

// neverExpires is when the log's records expire: after any use of them.
var neverExpires = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// ErrLogDamaged is given for a log that lost records. Its voter may have forgotten
// a vote or an entry that counted for a majority, so it must not vote again.
var ErrLogDamaged = errors.New("consensus: the log lost records")

// durableLog keeps a voter's raft log in a store: entries in slots that are used
// in turn, so that nothing needs deleting, a snapshot, and the hard state with
// the index of the last entry that counts. The store writes in order, so what a
// crash leaves is what was written up to some moment:
//
//   - entries that came after the last state written lie beyond its last index,
//     and don't count: nobody was told of them;
//   - before entries replace others of the same indexes, a state is written
//     that ends ahead of them, so that old ones never follow new ones.
type durableLog struct {
	store     *store.Store
	memory    *raft.MemoryStorage // what raft reads
	hardState *raftpb.HardState
}

// openLog recovers a voter's log, or begins one with the voters given; without
// any it begins empty, to be caught up by a group that it joins.
func openLog(s *store.Store, rec *store.Recovered, voters []uint64) (*durableLog, error) {
	if len(rec.Losses) > 0 {
		return nil, fmt.Errorf("%w: %v", ErrLogDamaged, rec.Losses)
	}
	l := &durableLog{store: s, memory: raft.NewMemoryStorage(), hardState: &raftpb.HardState{}}
	first := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &raftpb.ConfState{Voters: voters}}}
	state, known := rec.Values[stateKey]
	if !known && len(voters) == 0 {
		return l, nil
	}
	if !known { // whose log it is, is kept ahead of all else
		if err := l.put(snapshotKey, nil, first, nil); err != nil {
			return nil, err
		}
		return l, l.memory.ApplySnapshot(first)
	}
	if len(state.Bytes) < stateIndexBytes {
		return nil, fmt.Errorf("%w: its state has %d bytes", ErrLogDamaged, len(state.Bytes))
	}
	last := binary.BigEndian.Uint64(state.Bytes)
	if err := proto.Unmarshal(state.Bytes[stateIndexBytes:], l.hardState); err != nil {
		return nil, fmt.Errorf("consensus: state: %w", err)
	}
	snap, ok := rec.Values[snapshotKey]
	if !ok && len(voters) == 0 && last == 0 { // it joined, and has heard of a term only
		return l, l.memory.SetHardState(l.hardState)
	}
	if !ok {
		return nil, fmt.Errorf("%w: its snapshot", ErrLogDamaged)
	}
	if err := proto.Unmarshal(snap.Bytes, first); err != nil {
		return nil, fmt.Errorf("consensus: snapshot: %w", err)
	}
	if err := l.memory.ApplySnapshot(first); err != nil {
		return nil, fmt.Errorf("consensus: snapshot: %w", err)
	}
	var entries []*raftpb.Entry
	for i := first.GetMetadata().GetIndex() + 1; i <= last; i++ {
		e := &raftpb.Entry{}
		v, ok := rec.Values[entryKey(i)]
		if !ok || proto.Unmarshal(v.Bytes, e) != nil || e.GetIndex() != i {
			return nil, fmt.Errorf("%w: entry %d of %d", ErrLogDamaged, i, last)
		}
		entries = append(entries, e)
	}
	if err := l.memory.Append(entries); err != nil {
		return nil, fmt.Errorf("consensus: entries: %w", err)
	}
	return l, l.memory.SetHardState(l.hardState)
}

func entryKey(index uint64) string { return fmt.Sprintf(entryKeyFormat, index%entrySlots) }

// save makes durable what raft wants saved, and returns once it is.
func (l *durableLog) save(rd *raft.Ready) error {
	if raft.IsEmptySnap(rd.Snapshot) && len(rd.Entries) == 0 && rd.HardState == nil {
		return nil
	}
	if rd.HardState != nil {
		l.hardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := l.memory.ApplySnapshot(rd.Snapshot); err != nil {
			return fmt.Errorf("consensus: snapshot: %w", err)
		}
		if err := l.put(snapshotKey, nil, rd.Snapshot, nil); err != nil {
			return err
		}
	}
	if len(rd.Entries) > 0 {
		last, err := l.memory.LastIndex()
		if err != nil {
			return fmt.Errorf("consensus: log: %w", err)
		}
		if from := rd.Entries[0].GetIndex(); from <= last {
			if err := l.putState(from-1, nil); err != nil {
				return err
			}
		}
		for _, e := range rd.Entries {
			if err := l.put(entryKey(e.GetIndex()), nil, e, nil); err != nil {
				return err
			}
		}
		if err := l.memory.Append(rd.Entries); err != nil {
			return fmt.Errorf("consensus: entries: %w", err)
		}
	}
	if err := l.memory.SetHardState(l.hardState); err != nil {
		return fmt.Errorf("consensus: state: %w", err)
	}
	last, err := l.memory.LastIndex()
	if err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	done := make(chan error, 1)
	if err := l.putState(last, func(err error) { done <- err }); err != nil {
		return err
	}
	if err := <-done; err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	return nil
}

// compact lets go of entries up to an index that was applied; data is what
// they came to.
func (l *durableLog) compact(index uint64, conf *raftpb.ConfState, data []byte) error {
	snap, err := l.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	if err := l.put(snapshotKey, nil, snap, nil); err != nil {
		return err
	}
	first, err := l.memory.FirstIndex()
	if err != nil {
		return fmt.Errorf("consensus: log: %w", err)
	}
	if index < first+entriesRetained {
		return nil
	}
	if err := l.memory.Compact(index - entriesRetained); err != nil {
		return fmt.Errorf("consensus: compaction: %w", err)
	}
	return nil
}

func (l *durableLog) putState(last uint64, done func(error)) error {
	return l.put(stateKey, binary.BigEndian.AppendUint64(nil, last), l.hardState, done)
}

// put queues a record; the store stops at the first that fails, so only the
// last one's outcome needs to be waited for.
func (l *durableLog) put(key string, prefix []byte, m proto.Message, done func(error)) error {
	b, err := proto.MarshalOptions{}.MarshalAppend(prefix, m)
	if err != nil {
		return fmt.Errorf("consensus: %s: %w", key, err)
	}
	if done == nil {
		done = func(error) {}
	}
	l.store.Put(key, b, neverExpires, done)
	return nil
}
