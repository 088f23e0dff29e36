package consensus

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/store"
)

// Index and term of the initial snapshot. All founders write the same initial
// snapshot to their new logs.
const (
	initialSnapshotIndex = 1
	initialSnapshotTerm  = 1
)

// openLog recovers a voter's log, or creates one for the founders of a group. A
// voter that joins a group passes no founders: its new log is empty, and the
// leader sends it a snapshot. The error wraps ErrLogDamaged if records are
// missing.
func openLog(s *store.Store, dir string, recovered *store.RecoveredState, founderIDs []uint64) (*durableLog, error) {
	l := &durableLog{store: s, dir: dir, memory: raft.NewMemoryStorage(), hardState: &raftpb.HardState{}}
	if len(recovered.Losses) > 0 {
		return nil, l.damagedError("%v", recovered.Losses)
	}
	joining := len(founderIDs) == 0
	state, stateFound := recovered.Values[stateKey]
	if !stateFound {
		if joining {
			return l, nil
		}
		return l, l.create(founderIDs)
	}
	lastIndex, err := l.recoverState(state.Bytes)
	if err != nil {
		return nil, err
	}
	snapshot, snapshotFound := recovered.Values[snapshotKey]
	switch {
	case snapshotFound:
		if err := l.recoverEntries(recovered, snapshot.Bytes, lastIndex); err != nil {
			return nil, err
		}
	case !joining || lastIndex > 0:
		return nil, l.damagedError("the snapshot is missing")
	}
	// A joining voter may have saved a term before it received a snapshot.
	return l, l.memory.SetHardState(l.hardState)
}

func (l *durableLog) damagedError(format string, args ...any) error {
	return &LogDamagedError{Dir: l.dir, Reason: fmt.Sprintf(format, args...)}
}

// create creates the log of a new group.
func (l *durableLog) create(founderIDs []uint64) error {
	snapshot := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
		Index:     proto.Uint64(initialSnapshotIndex),
		Term:      proto.Uint64(initialSnapshotTerm),
		ConfState: &raftpb.ConfState{Voters: founderIDs},
	}}
	if err := l.put(snapshotKey, nil, snapshot, nil); err != nil {
		return err
	}
	return l.memory.ApplySnapshot(snapshot)
}

// recoverState decodes the state record into l.hardState and returns the index of
// the last valid entry.
func (l *durableLog) recoverState(record []byte) (lastIndex uint64, err error) {
	if len(record) < lastIndexBytes {
		return 0, l.damagedError("the state record has %d bytes, want at least %d", len(record), lastIndexBytes)
	}
	if err := proto.Unmarshal(record[lastIndexBytes:], l.hardState); err != nil {
		return 0, fmt.Errorf("consensus: decoding the state record: %w", err)
	}
	return binary.BigEndian.Uint64(record), nil
}

// recoverEntries loads the snapshot and the entries after it up to the last valid
// one into l.memory.
func (l *durableLog) recoverEntries(recovered *store.RecoveredState, snapshotRecord []byte, lastIndex uint64) error {
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(snapshotRecord, snapshot); err != nil {
		return fmt.Errorf("consensus: decoding the snapshot: %w", err)
	}
	if err := l.memory.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: recovering the snapshot: %w", err)
	}
	var entries []*raftpb.Entry
	for index := snapshot.GetMetadata().GetIndex() + 1; index <= lastIndex; index++ {
		entry := &raftpb.Entry{}
		record, found := recovered.Values[entryKey(index)]
		if !found || proto.Unmarshal(record.Bytes, entry) != nil || entry.GetIndex() != index {
			return l.damagedError("entry %d is missing; the last index is %d", index, lastIndex)
		}
		entries = append(entries, entry)
	}
	if err := l.memory.Append(entries); err != nil {
		return fmt.Errorf("consensus: recovering entries up to %d: %w", lastIndex, err)
	}
	return nil
}
