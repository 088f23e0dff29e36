package consensus

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/internal/golden"
	"quincerail.example/quincerail/store"
)

// goldenVoters are the raft IDs of the founders in the golden logs.
var goldenVoters = []uint64{voterID("v1"), voterID("v2"), voterID("v3")}

func entry(term, index uint64, kind raftpb.EntryType, data string) *raftpb.Entry {
	return &raftpb.Entry{Type: kind.Enum(), Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(data)}
}

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

// withLog opens the log in a directory, calls use with it, and closes its store.
func withLog(t *testing.T, dir string, founderIDs []uint64, use func(*durableLog)) {
	t.Helper()
	logStore, recovered, err := store.Open(store.Options{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	l, err := openLog(logStore, dir, recovered, founderIDs)
	if err != nil {
		t.Fatal(err)
	}
	use(l)
	if err := logStore.Close(); err != nil {
		t.Fatal(err)
	}
}

func save(t *testing.T, l *durableLog, ready raft.Ready) {
	t.Helper()
	if err := l.save(&ready); err != nil {
		t.Fatal(err)
	}
}

// checkLog compares the hard state, the snapshot and the entries after the
// snapshot that a log returns to raft with the wanted ones.
func checkLog(t *testing.T, l *durableLog, wantState *raftpb.HardState, wantSnapshot *raftpb.Snapshot, wantEntries ...*raftpb.Entry) {
	t.Helper()
	state, _, err := l.memory.InitialState()
	if err != nil || !proto.Equal(state, wantState) {
		t.Errorf("InitialState() = %v, %v, want the hard state %v", state, err, wantState)
	}
	snapshot, err := l.memory.Snapshot()
	if err != nil || !proto.Equal(snapshot, wantSnapshot) {
		t.Errorf("Snapshot() = %v, %v, want %v", snapshot, err, wantSnapshot)
	}
	lastIndex, err := l.memory.LastIndex()
	if want := wantSnapshot.GetMetadata().GetIndex() + uint64(len(wantEntries)); err != nil || lastIndex != want {
		t.Errorf("LastIndex() = %d, %v, want %d", lastIndex, err, want)
		return
	}
	if len(wantEntries) == 0 {
		return
	}
	entries, err := l.memory.Entries(wantEntries[0].GetIndex(), lastIndex+1, 1<<20)
	if err != nil || !slices.EqualFunc(entries, wantEntries, func(a, b *raftpb.Entry) bool { return proto.Equal(a, b) }) {
		t.Errorf("Entries(%d, %d) = %v, %v, want %v", wantEntries[0].GetIndex(), lastIndex+1, entries, err, wantEntries)
	}
}

// TestGoldenLog writes and reads a founder's log on disk: entries, some of them
// replaced by entries of a later term, and a snapshot.
func TestGoldenLog(t *testing.T) {
	conf := &raftpb.ConfState{Voters: goldenVoters, AutoLeave: proto.Bool(false)}
	dir := t.TempDir()
	withLog(t, dir, goldenVoters, func(l *durableLog) {
		save(t, l, raft.Ready{HardState: hardState(2, voterID("v2"), 1), Entries: []*raftpb.Entry{
			entry(2, 2, raftpb.EntryNormal, ""),
			entry(2, 3, raftpb.EntryNormal, "first"), entry(2, 4, raftpb.EntryConfChange, "a change"), entry(2, 5, raftpb.EntryNormal, "lost"),
		}})
		save(t, l, raft.Ready{HardState: hardState(2, voterID("v2"), 4)})
		if err := l.compact(3, conf, []byte("what the entries came to")); err != nil {
			t.Fatal(err)
		}
		save(t, l, raft.Ready{HardState: hardState(3, voterID("v3"), 4), Entries: []*raftpb.Entry{
			entry(3, 5, raftpb.EntryNormal, ""),
			entry(3, 6, raftpb.EntryNormal, "last"),
		}})
	})
	golden.EqualFolder(t, "log", dir)
	withLog(t, golden.CopyFolder(t, "log"), goldenVoters, func(l *durableLog) {
		snapshot := &raftpb.Snapshot{
			Data:     []byte("what the entries came to"),
			Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(3), Term: proto.Uint64(2)},
		}
		checkLog(t, l, hardState(3, voterID("v3"), 4), snapshot, entry(2, 4, raftpb.EntryConfChange, "a change"),
			entry(3, 5, raftpb.EntryNormal, ""), entry(3, 6, raftpb.EntryNormal, "last"))
	})
}

// TestGoldenLogOfJoinedVoter writes and reads the log of a voter that joined a
// running group. The log begins with a snapshot from another voter.
func TestGoldenLogOfJoinedVoter(t *testing.T) {
	snapshot := &raftpb.Snapshot{Data: []byte("what the entries came to"), Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(300),
		Term:  proto.Uint64(4), ConfState: &raftpb.ConfState{Voters: goldenVoters, Learners: []uint64{voterID("v4")}},
	}}
	dir := t.TempDir()
	withLog(t, dir, nil, func(l *durableLog) {
		save(t, l, raft.Ready{HardState: hardState(4, 0, 0)})
		save(t, l, raft.Ready{HardState: hardState(4, 0, 300), Snapshot: snapshot})
		save(t, l, raft.Ready{Entries: []*raftpb.Entry{entry(4, 301, raftpb.EntryNormal, "next")}})
	})
	golden.EqualFolder(t, "log-joined", dir)
	withLog(t, golden.CopyFolder(t, "log-joined"), nil, func(l *durableLog) {
		checkLog(t, l, hardState(4, 0, 300), snapshot, entry(4, 301, raftpb.EntryNormal, "next"))
	})
}

// TestGoldenSnapshot encodes and decodes a snapshot's data: the founders, the
// group and the state machine's state.
func TestGoldenSnapshot(t *testing.T) {
	group := []Voter{{Name: "v1", Address: "10.0.0.1:7000"}, {Name: "v2", Address: "10.0.0.2:7000"}, {Name: "v4", Address: "10.0.0.4:7000", Learner: true}}
	writer := &Node{options: Options{StateMachine: &listMachine{items: []string{"first", "last"}}}, logFounders: []string{"v1", "v2", "v3"}}
	m := membership{}
	for _, v := range group {
		m[voterID(v.Name)] = v
	}
	writer.setMembership(m)
	data, err := writer.encodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "snapshot.json", data)

	machine := &listMachine{}
	reader := &Node{options: Options{StateMachine: machine}}
	if err := reader.restoreSnapshot(golden.Bytes(t, "snapshot.json")); err != nil {
		t.Fatal(err)
	}
	if got := reader.Voters(); !reflect.DeepEqual(got, group) {
		t.Errorf("Voters() = %+v, want %+v", got, group)
	}
	if want := []string{"v1", "v2", "v3"}; !slices.Equal(reader.logFounders, want) || !slices.Equal(machine.list(), []string{"first", "last"}) {
		t.Errorf("the restored founders are %q and the items %q, want %q and [first last]", reader.logFounders, machine.list(), want)
	}
}

// TestGoldenVoter encodes and decodes the voter in a membership change: a promoted
// voter, a learner that is added, and a voter that is removed.
func TestGoldenVoter(t *testing.T) {
	golden.RoundTrip(t, "voter.json", Voter{Name: "v4", Address: "10.0.0.4:7000"}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "voter-learner.json", Voter{Name: "v4", Address: "10.0.0.4:7000", Learner: true}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "voter-removed.json", Voter{Name: "v4"}, json.Marshal, json.Unmarshal)
}

// TestGoldenMessages encodes and decodes messages between voters in the raft
// library's encoding.
func TestGoldenMessages(t *testing.T) {
	message := func(kind raftpb.MessageType, change func(*raftpb.Message)) *raftpb.Message {
		m := &raftpb.Message{Type: kind.Enum(), To: proto.Uint64(voterID("v2")), From: proto.Uint64(voterID("v1")), Term: proto.Uint64(3)}
		change(m)
		return m
	}
	change := &raftpb.ConfChange{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(voterID("v4")), Context: golden.Bytes(t, "voter-learner.json")}
	for name, m := range map[string]proto.Message{
		"message-vote.pb": message(raftpb.MsgPreVote, func(m *raftpb.Message) { m.LogTerm, m.Index = proto.Uint64(2), proto.Uint64(9) }),
		"message-entries.pb": message(raftpb.MsgApp, func(m *raftpb.Message) {
			m.LogTerm, m.Index, m.Commit = proto.Uint64(2), proto.Uint64(9), proto.Uint64(8)
			m.Entries = []*raftpb.Entry{entry(3, 10, raftpb.EntryNormal, "a command")}
		}),
		"message-refused.pb": message(raftpb.MsgAppResp, func(m *raftpb.Message) {
			m.Index, m.Reject, m.RejectHint = proto.Uint64(9), proto.Bool(true), proto.Uint64(4)
		}),
		"message-snapshot.pb": message(raftpb.MsgSnap, func(m *raftpb.Message) {
			m.Snapshot = &raftpb.Snapshot{Data: golden.Bytes(t, "snapshot.json"), Metadata: &raftpb.SnapshotMetadata{
				Index: proto.Uint64(9),
				Term:  proto.Uint64(2), ConfState: &raftpb.ConfState{Voters: goldenVoters, Learners: []uint64{voterID("v4")}},
			}}
		}),
		"change-of-voters.pb": change,
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, name, b)
		got := m.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(golden.Bytes(t, name), got); err != nil || !proto.Equal(got, m) {
			t.Errorf("proto.Unmarshal of %s = %v, %v, want %v", name, got, err, m)
		}
	}
}
