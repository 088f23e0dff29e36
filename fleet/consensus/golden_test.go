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

// goldenVoters are the numbers of the voters that the golden logs are of.
var goldenVoters = []uint64{voterID("v1"), voterID("v2"), voterID("v3")}

func entry(term, index uint64, kind raftpb.EntryType, data string) *raftpb.Entry {
	return &raftpb.Entry{Type: kind.Enum(), Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(data)}
}

func hardState(term, vote, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

// goldenLog opens a log in a folder, has something done to it, and closes it.
func goldenLog(t *testing.T, dir string, voters []uint64, do func(*durableLog)) {
	t.Helper()
	s, rec, err := store.Open(store.Options{Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	l, err := openLog(s, dir, rec, voters)
	if err != nil {
		t.Fatal(err)
	}
	do(l)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

func save(t *testing.T, l *durableLog, rd raft.Ready) {
	t.Helper()
	if err := l.save(&rd); err != nil {
		t.Fatal(err)
	}
}

// holds checks what a log gives raft: its state, its snapshot and the entries
// after that.
func holds(t *testing.T, l *durableLog, hard *raftpb.HardState, snapshot *raftpb.Snapshot, entries ...*raftpb.Entry) {
	t.Helper()
	state, _, err := l.memory.InitialState()
	if err != nil || !proto.Equal(state, hard) {
		t.Errorf("state %v, %v, want %v", state, err, hard)
	}
	snap, err := l.memory.Snapshot()
	if err != nil || !proto.Equal(snap, snapshot) {
		t.Errorf("snapshot %v, %v, want %v", snap, err, snapshot)
	}
	last, err := l.memory.LastIndex()
	if want := snapshot.GetMetadata().GetIndex() + uint64(len(entries)); err != nil || last != want {
		t.Errorf("last index %d, %v, want %d", last, err, want)
		return
	}
	if len(entries) == 0 {
		return
	}
	got, err := l.memory.Entries(entries[0].GetIndex(), last+1, 1<<20)
	if err != nil || !slices.EqualFunc(got, entries, func(a, b *raftpb.Entry) bool { return proto.Equal(a, b) }) {
		t.Errorf("entries %v, %v, want %v", got, err, entries)
	}
}

// TestGoldenLog writes and reads a voter's log on disk: entries, some of them
// replaced by those of a later term, and a snapshot.
func TestGoldenLog(t *testing.T) {
	conf := &raftpb.ConfState{Voters: goldenVoters, AutoLeave: proto.Bool(false)}
	dir := t.TempDir()
	goldenLog(t, dir, goldenVoters, func(l *durableLog) {
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
	goldenLog(t, golden.CopyFolder(t, "log"), goldenVoters, func(l *durableLog) {
		snapshot := &raftpb.Snapshot{
			Data:     []byte("what the entries came to"),
			Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(3), Term: proto.Uint64(2)},
		}
		holds(t, l, hardState(3, voterID("v3"), 4), snapshot, entry(2, 4, raftpb.EntryConfChange, "a change"),
			entry(3, 5, raftpb.EntryNormal, ""), entry(3, 6, raftpb.EntryNormal, "last"))
	})
}

// TestGoldenLogOfOneThatJoined writes and reads the log of a voter that joined a
// group at work: it begins with a snapshot of another.
func TestGoldenLogOfOneThatJoined(t *testing.T) {
	snapshot := &raftpb.Snapshot{Data: []byte("what the entries came to"), Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(300),
		Term:  proto.Uint64(4), ConfState: &raftpb.ConfState{Voters: goldenVoters, Learners: []uint64{voterID("v4")}},
	}}
	dir := t.TempDir()
	goldenLog(t, dir, nil, func(l *durableLog) {
		save(t, l, raft.Ready{HardState: hardState(4, 0, 0)})
		save(t, l, raft.Ready{HardState: hardState(4, 0, 300), Snapshot: snapshot})
		save(t, l, raft.Ready{Entries: []*raftpb.Entry{entry(4, 301, raftpb.EntryNormal, "next")}})
	})
	golden.EqualFolder(t, "log-joined", dir)
	goldenLog(t, golden.CopyFolder(t, "log-joined"), nil, func(l *durableLog) {
		holds(t, l, hardState(4, 0, 300), snapshot, entry(4, 301, raftpb.EntryNormal, "next"))
	})
}

// TestGoldenSnapshot writes and reads a snapshot's data: the founders, the group
// and the machine's state.
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
		t.Errorf("voters %+v, want %+v", got, group)
	}
	if want := []string{"v1", "v2", "v3"}; !slices.Equal(reader.logFounders, want) || !slices.Equal(machine.list(), []string{"first", "last"}) {
		t.Errorf("founders %q, items %q", reader.logFounders, machine.list())
	}
}

// TestGoldenVoter writes and reads what an entry says of a voter that joins, and
// later gets its vote.
func TestGoldenVoter(t *testing.T) {
	golden.RoundTrip(t, "voter.json", Voter{Name: "v4", Address: "10.0.0.4:7000"}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "voter-learner.json", Voter{Name: "v4", Address: "10.0.0.4:7000", Learner: true}, json.Marshal, json.Unmarshal)
	golden.RoundTrip(t, "voter-removed.json", Voter{Name: "v4"}, json.Marshal, json.Unmarshal)
}

// TestGoldenMessages writes and reads messages between voters, as the raft library
// has them.
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
			t.Errorf("%s is read as %v, %v, want %v", name, got, err, m)
		}
	}
}
