// Package consensus has a small group of voters agree on a log of commands, on
// go.etcd.io/raft/v3 (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014, with pre-vote and check-quorum). The library
// decides; this package gives it a clock, a log on store, and the messages of a
// transport.
package consensus

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/store"
)

const (
	// Raft draws each time-out from one to two elections, in ticks of its clock.
	// With ten ticks, two of four voters often drew the same and split the vote,
	// which takes a further time-out.
	ticksPerElection  = 50
	ticksPerHeartbeat = 5

	receiveQueueLength  = 1024 // messages from other voters that wait to be taken in; more are dropped
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64
)

// StateMachine is what the log is for. All methods are called by the node's
// goroutine, one at a time, and must not block.
type StateMachine interface {
	// Apply takes in the command at a place of the log.
	Apply(data []byte, term, index uint64)
	// Tick is called many times an election time-out, and gives commands to
	// propose. leader tells whether this voter leads.
	Tick(leader bool) [][]byte
	// Snapshot gives the state that all applied commands came to.
	Snapshot() ([]byte, error)
	// Restore takes over a snapshot of another voter, or of an earlier process.
	Restore(data []byte) error
}

// Options are what a node is made of. All but Logger are required.
type Options struct {
	Self string
	// Voters are the founders of the group, name to address, Self among them; the
	// same at each. Who joins a group that is at work names those it consists of
	// then, and begins with an empty log.
	Voters map[string]string
	Join   bool
	// OnMembershipChange is told of the group at the start and whenever it changes, by the
	// node's goroutine or Start; it must not block. May be nil.
	OnMembershipChange func(voters []Voter)
	ElectionTimeout    time.Duration // without word from a leader, until a voter stands; raft draws from one to two of it
	Dir                string        // of the log
	StateMachine       StateMachine
	Send               func(to string, message []byte) // must not block; may lose messages
	Logger             *slog.Logger                    // nil for slog.Default()
}

// Node is a voter at work.
type Node struct {
	options       Options
	logger        *slog.Logger
	membership    atomic.Pointer[membership]
	logFounders   []string // the founders of the log
	confState     *raftpb.ConfState
	store         *store.Store
	log           *durableLog
	raft          *raft.RawNode
	appliedIndex  uint64
	snapshotIndex uint64
	messages      chan *raftpb.Message
	calls         chan func()
	done          chan struct{}
	stop          context.CancelFunc
}

// voterID is a voter's number in raft, from its name.
func voterID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Start recovers a voter's log and begins to take part. The error wraps
// ErrDamaged where the log lost records.
func Start(opt Options) (*Node, error) {
	n := &Node{options: opt, logger: opt.Logger, confState: &raftpb.ConfState{},
		messages: make(chan *raftpb.Message, receiveQueueLength), calls: make(chan func(), 16), done: make(chan struct{})}
	if n.logger == nil {
		n.logger = slog.Default()
	}
	if _, ok := opt.Voters[opt.Self]; !ok && !opt.Join {
		return nil, fmt.Errorf("consensus: %s is not among the voters %v", opt.Self, n.founders())
	}
	first := membership{}
	for name, address := range opt.Voters {
		if other, ok := first[voterID(name)]; ok {
			return nil, fmt.Errorf("consensus: voters %s and %s have the same number", name, other.Name)
		}
		first[voterID(name)] = Voter{Name: name, Address: address}
		n.confState.Voters = append(n.confState.Voters, voterID(name))
	}
	slices.Sort(n.confState.Voters)
	if opt.Join {
		n.confState.Voters = nil
	} else {
		n.logFounders = n.founders()
	}
	n.setMembership(first)
	s, rec, err := store.Open(store.Options{Dir: opt.Dir})
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	n.store = s
	if err := n.restore(rec); err != nil {
		s.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.run(ctx)
	return n, nil
}

func (n *Node) restore(rec *store.Recovered) error {
	var err error
	if n.log, err = openLog(n.store, rec, n.confState.Voters); err != nil {
		return err
	}
	snap, err := n.log.memory.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	n.appliedIndex = snap.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	if err := n.restoreSnapshot(snap.GetData()); err != nil {
		return err
	}
	founders := slices.Equal(n.logFounders, n.founders())
	if len(snap.GetData()) == 0 { // no snapshot was made yet
		founders = slices.Equal(snap.GetMetadata().GetConfState().GetVoters(), n.confState.Voters)
	}
	if !founders && !n.options.Join {
		return fmt.Errorf("consensus: the log in %s is that of other voters than %v", n.options.Dir, n.founders())
	}
	n.confState = snap.GetMetadata().GetConfState()
	n.raft, err = raft.NewRawNode(&raft.Config{ID: voterID(n.options.Self), ElectionTick: ticksPerElection, HeartbeatTick: ticksPerHeartbeat,
		Storage: n.log.memory, Applied: n.appliedIndex, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, Logger: raftLogger{n.logger}})
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// Receive takes a message of another voter, which Send gave it. It drops what
// makes no sense, and what there is no room for.
func (n *Node) Receive(message []byte) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil || n.currentMembership()[m.GetFrom()].Name == "" || raft.IsLocalMsg(m.GetType()) {
		n.logger.Warn("fleet_message_refused", "bytes", len(message))
		return
	}
	select {
	case n.messages <- m:
	default:
	}
}

// RunInLoop has f called by the node's goroutine, and returns when that is done, or
// the node has stopped. What f gives is proposed.
func (n *Node) RunInLoop(f func() [][]byte) {
	did := make(chan struct{})
	select {
	case n.calls <- func() { n.propose(f()); close(did) }:
	case <-n.done:
		return
	}
	select {
	case <-did:
	case <-n.done:
	}
}

// TransferLeadership hands leadership to another voter, if this one has it.
func (n *Node) TransferLeadership() {
	n.RunInLoop(func() [][]byte {
		if s := n.raft.Status(); s.RaftState == raft.StateLeader {
			best, match := uint64(0), uint64(0)
			for to, p := range s.Progress {
				if to != s.ID && p.RecentActive && p.Match >= match {
					best, match = to, p.Match
				}
			}
			if best != 0 {
				n.raft.TransferLeader(best)
			}
		}
		return nil
	})
}

// Stop ends the voter and closes its log.
func (n *Node) Stop() error {
	n.stop()
	<-n.done
	if err := n.store.Close(); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// Done is closed when the voter has stopped, of its own where its log failed.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	ticker := time.NewTicker(n.options.ElectionTimeout / ticksPerElection)
	defer ticker.Stop()
	for {
		if err := n.processReady(); err != nil { // it must not say what it could not keep
			n.logger.Error("fleet_voter_stopped", "error", err.Error())
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.raft.Tick()
			n.propose(n.options.StateMachine.Tick(n.raft.BasicStatus().RaftState == raft.StateLeader))
			n.promoteLearners()
		case m := <-n.messages:
			n.step(m)
			for range len(n.messages) { // all that has come is taken in before the next write
				n.step(<-n.messages)
			}
		case f := <-n.calls:
			f()
		}
	}
}

// step takes in a message; raft refuses some, and that is no matter.
func (n *Node) step(m *raftpb.Message) {
	if err := n.raft.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.logger.Debug("fleet_message", "error", err.Error())
	}
}

// propose has commands added to the log, if there is a leader; their senders
// send them again if not.
func (n *Node) propose(commands [][]byte) {
	for _, c := range commands {
		if err := n.raft.Propose(c); err != nil {
			n.logger.Debug("fleet_proposal", "error", err.Error())
		}
	}
}

// processReady does what raft wants done: what it wants kept is kept before anybody
// is told of it.
func (n *Node) processReady() error {
	for n.raft.HasReady() {
		rd := n.raft.Ready()
		if err := n.log.save(&rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			b, err := proto.Marshal(m)
			if err != nil {
				return fmt.Errorf("consensus: message: %w", err)
			}
			n.options.Send(n.currentMembership()[m.GetTo()].Name, b)
			if m.GetType() == raftpb.MsgSnap { // whether it arrived, the next answer tells
				n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.restoreSnapshot(rd.Snapshot.GetData()); err != nil {
				return err
			}
			n.confState = rd.Snapshot.GetMetadata().GetConfState()
			n.appliedIndex = rd.Snapshot.GetMetadata().GetIndex()
			n.snapshotIndex = n.appliedIndex
		}
		for _, e := range rd.CommittedEntries {
			n.appliedIndex = e.GetIndex()
			if e.GetType() == raftpb.EntryConfChange {
				if err := n.applyConfChange(e); err != nil {
					return err
				}
			} else if e.GetType() == raftpb.EntryNormal && len(e.GetData()) > 0 {
				n.options.StateMachine.Apply(e.GetData(), e.GetTerm(), e.GetIndex())
			}
		}
		n.raft.Advance(rd)
		if n.appliedIndex >= n.snapshotIndex+entriesPerSnapshot {
			if err := n.takeSnapshot(); err != nil {
				return err
			}
		}
	}
	return nil
}

// takeSnapshot keeps what all that was applied came to.
func (n *Node) takeSnapshot() error {
	data, err := n.encodeSnapshot()
	if err != nil {
		return err
	}
	if err := n.log.compact(n.appliedIndex, n.confState, data); err != nil {
		return err
	}
	n.snapshotIndex = n.appliedIndex
	return nil
}
