package consensus

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"quincerail.example/quincerail/store"
)

const (
	// Raft draws each election time-out from one to two ElectionTimeouts, in
	// ticks. With ten ticks, two of four voters often drew the same and split the
	// vote, which takes a further time-out.
	ticksPerElection  = 50
	ticksPerHeartbeat = 5

	receiveQueueLength  = 1024 // received messages that wait for the node's goroutine; more are dropped
	callQueueLength     = 16   // functions that wait for the node's goroutine
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64
)

// The log events of this package.
const (
	eventMessageRefused  = "fleet_message_refused"
	eventStepRejected    = "raft_step_rejected"
	eventProposalDropped = "fleet_proposal_dropped"
	eventVoterStopped    = "fleet_voter_stopped"
	eventVotersChanged   = "voters_changed"
	eventRaftLibrary     = "raft_library"
)

// StateMachine is what the log's commands are applied to. All methods are called
// by the node's goroutine, or by Start before there is one, and must not block.
type StateMachine interface {
	// Apply applies the committed command at a term and index of the log.
	Apply(data []byte, term, index uint64)
	// Tick is called ticksPerElection times in an election time-out, and returns
	// commands to propose. leader reports whether this voter leads the group.
	Tick(leader bool) [][]byte
	// Snapshot returns the state after all commands applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Options configure a node. Join, OnMembershipChange and Logger are optional.
type Options struct {
	Self string // name of this voter
	// Voters are the founders of the group, Self among them, by name and address;
	// the same at each. A voter that joins a running group names the voters that
	// the group has then.
	Voters map[string]string
	Join   bool // this voter joins a running group
	// OnMembershipChange receives the group at the start and after each change. It
	// is called by Start or the node's goroutine, and must not block.
	OnMembershipChange func(voters []Voter)
	ElectionTimeout    time.Duration // raft draws from one to two of it
	Dir                string        // of the log
	StateMachine       StateMachine
	Send               func(to string, message []byte) // must not block; may lose messages
	Logger             *slog.Logger                    // nil for slog.Default()
}

// founders returns the names of the configured voters, sorted.
func (o *Options) founders() []string { return slices.Sorted(maps.Keys(o.Voters)) }

// founderIDs returns the raft IDs of the founders, sorted; none for a voter that
// joins.
func (o *Options) founderIDs() []uint64 {
	if o.Join {
		return nil
	}
	var ids []uint64
	for name := range o.Voters {
		ids = append(ids, voterID(name))
	}
	slices.Sort(ids)
	return ids
}

// Node is a running voter.
type Node struct {
	options    Options
	logger     *slog.Logger
	store      *store.Store
	membership atomic.Pointer[membership]
	messages   chan *raftpb.Message // received from other voters
	calls      chan func()
	stop       context.CancelFunc
	done       chan struct{}

	// Used by Start, and after it by the node's goroutine alone.
	raft          *raft.RawNode
	log           *durableLog
	logFounders   []string // of the group that the log belongs to
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64
}

// Start recovers a voter's log and starts its goroutine. The error wraps
// ErrLogDamaged if the log lost records.
func Start(options Options) (*Node, error) {
	if _, found := options.Voters[options.Self]; !found && !options.Join {
		return nil, &NotVoterError{Self: options.Self, Voters: options.founders()}
	}
	founders, err := newMembership(options.Voters)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:  options,
		logger:   cmp.Or(options.Logger, slog.Default()),
		messages: make(chan *raftpb.Message, receiveQueueLength),
		calls:    make(chan func(), callQueueLength),
		done:     make(chan struct{}),
	}
	if !options.Join {
		n.logFounders = options.founders()
	}
	n.setMembership(founders)
	opened, recovered, err := store.Open(store.Options{Dir: options.Dir})
	if err != nil {
		return nil, fmt.Errorf("consensus: opening the log: %w", err)
	}
	n.store = opened
	if err := n.restore(recovered); err != nil {
		return nil, errors.Join(err, n.store.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.run(ctx)
	return n, nil
}

// restore recovers the log, and the group and state machine from its snapshot.
func (n *Node) restore(recovered *store.RecoveredState) error {
	var err error
	if n.log, err = openLog(n.store, n.options.Dir, recovered, n.options.founderIDs()); err != nil {
		return err
	}
	snapshot, err := n.log.memory.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: reading the snapshot: %w", err)
	}
	if err := n.restoreSnapshot(snapshot.GetData()); err != nil {
		return err
	}
	if !n.options.Join && !n.isOwnLog(snapshot) {
		return &ForeignLogError{Dir: n.options.Dir, Founders: n.options.founders()}
	}
	n.confState = snapshot.GetMetadata().GetConfState()
	n.appliedIndex = snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                voterID(n.options.Self),
		ElectionTick:      ticksPerElection,
		HeartbeatTick:     ticksPerHeartbeat,
		Storage:           n.log.memory,
		Applied:           n.appliedIndex,
		MaxSizePerMsg:     maxMessageBytes,
		MaxInflightMsgs:   maxInflightMessages,
		CheckQuorum:       true,
		PreVote:           true,
		StepDownOnRemoval: true,
		Logger:            raftLogger{n.logger},
	})
	if err != nil {
		return fmt.Errorf("consensus: starting raft: %w", err)
	}
	return nil
}

// isOwnLog reports whether the log belongs to a group of the configured
// founders. The initial snapshot has only their IDs.
func (n *Node) isOwnLog(snapshot *raftpb.Snapshot) bool {
	if len(snapshot.GetData()) == 0 {
		return slices.Equal(snapshot.GetMetadata().GetConfState().GetVoters(), n.options.founderIDs())
	}
	return slices.Equal(n.logFounders, n.options.founders())
}

// Receive accepts a message that another voter's Send was called with. It drops
// messages that are invalid, and any while the queue is full.
func (n *Node) Receive(message []byte) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil || !n.acceptsFrom(m) {
		n.logger.Warn(eventMessageRefused, "bytes", len(message))
		return
	}
	select {
	case n.messages <- m:
	default:
	}
}

// acceptsFrom reports whether a message comes from a member of the group, and is
// of a type that voters send to each other.
func (n *Node) acceptsFrom(m *raftpb.Message) bool {
	_, member := n.currentMembership()[m.GetFrom()]
	return member && !raft.IsLocalMsg(m.GetType())
}

// RunInLoop has the node's goroutine call f and propose the commands that it
// returns. It returns when that is done, or the node has stopped.
func (n *Node) RunInLoop(f func() (commands [][]byte)) {
	finished := make(chan struct{})
	call := func() {
		n.propose(f())
		close(finished)
	}
	select {
	case n.calls <- call:
	case <-n.done:
		return
	}
	select {
	case <-finished:
	case <-n.done:
	}
}

// TransferLeadership hands leadership to another voter, if this one leads.
func (n *Node) TransferLeadership() {
	n.RunInLoop(func() [][]byte {
		status := n.raft.Status()
		if status.RaftState != raft.StateLeader {
			return nil
		}
		if to := mostCurrentPeer(&status); to != raft.None {
			n.raft.TransferLeader(to)
		}
		return nil
	})
}

// mostCurrentPeer returns the reachable peer that has most of the leader's log,
// raft.None if none is reachable.
func mostCurrentPeer(status *raft.Status) uint64 {
	var best, bestMatch uint64
	for id, progress := range status.Progress {
		if id != status.ID && progress.RecentActive && progress.Match >= bestMatch {
			best, bestMatch = id, progress.Match
		}
	}
	return best
}

// Stop stops the voter and closes its log.
func (n *Node) Stop() error {
	n.stop()
	<-n.done
	if err := n.store.Close(); err != nil {
		return fmt.Errorf("consensus: closing the log: %w", err)
	}
	return nil
}

// Done returns a channel that is closed when the voter has stopped: by Stop, or
// because its log failed.
func (n *Node) Done() <-chan struct{} { return n.done }
