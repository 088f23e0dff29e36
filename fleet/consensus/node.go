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
	// ticksPerElection is the number of ticks in Options.ElectionTimeout. Raft draws
	// each election timeout at random, in ticks, from one to two times
	// Options.ElectionTimeout. With ten ticks, two of four voters often drew the
	// same timeout and split the vote, which takes another election timeout.
	ticksPerElection  = 50
	ticksPerHeartbeat = 5

	receiveQueueLength  = 1024 // received messages that wait for the node's goroutine; more are dropped
	callQueueLength     = 16   // functions that wait for the node's goroutine
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 64 // unacknowledged append messages to one voter
)

// Log events of this package.
const (
	eventMessageRefused  = "fleet_message_refused"
	eventStepRejected    = "raft_step_rejected"
	eventProposalDropped = "fleet_proposal_dropped"
	eventVoterStopped    = "fleet_voter_stopped"
	eventVotersChanged   = "voters_changed"
	eventRaftLibrary     = "raft_library"
)

// StateMachine applies the log's committed commands. All methods are called by
// the node's goroutine, or by Start before it starts that goroutine. They must
// not block.
type StateMachine interface {
	// Apply applies the committed command at a term and index of the log.
	Apply(data []byte, term, index uint64)
	// Tick is called ticksPerElection times per Options.ElectionTimeout and returns
	// commands to propose. leader reports whether this voter leads the group.
	Tick(leader bool) [][]byte
	// Snapshot returns an encoding of the state after all commands applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore(data []byte) error
}

// Options configure a node. Join, OnMembershipChange and Logger are optional.
type Options struct {
	Self string // name of this voter
	// Voters maps the names of the group's founders, including Self, to their
	// addresses. It must be the same at each founder. A voter that joins a running
	// group sets it to the current voters of that group.
	Voters map[string]string
	Join   bool // this voter joins a running group
	// OnMembershipChange receives the group at the start and after each change. It
	// is called by Start or the node's goroutine, and must not block.
	OnMembershipChange func(voters []Voter)
	ElectionTimeout    time.Duration // raft draws election timeouts from one to two times this
	Dir                string        // directory of the log
	StateMachine       StateMachine
	Send               func(to string, message []byte) // must not block; may lose messages
	Logger             *slog.Logger                    // nil for slog.Default()
}

// founders returns the sorted names of the configured voters.
func (o *Options) founders() []string { return slices.Sorted(maps.Keys(o.Voters)) }

// founderIDs returns the sorted raft IDs of the founders, or none for a voter
// that joins a group.
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

// Node is a voter of a group: its log, its raft state and its goroutine. Start returns
// a running one.
type Node struct {
	options      Options
	logger       *slog.Logger
	store        *store.Store
	membership   atomic.Pointer[membership]
	receiveQueue chan *raftpb.Message // messages from other voters
	callQueue    chan func()
	stop         context.CancelFunc
	done         chan struct{}

	// Used only by Start and, once it has returned, by the node's goroutine.
	raft          *raft.RawNode
	log           *durableLog
	logFounders   []string // founders of the group that the log belongs to
	confState     *raftpb.ConfState
	appliedIndex  uint64
	snapshotIndex uint64 // index of the latest snapshot
}

// Start recovers a voter's log and starts the node's goroutine. The error wraps
// ErrLogDamaged if records of the log are missing.
func Start(options Options) (*Node, error) {
	if _, found := options.Voters[options.Self]; !found && !options.Join {
		return nil, &NotVoterError{Self: options.Self, Voters: options.founders()}
	}
	founders, err := newMembership(options.Voters)
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:      options,
		logger:       cmp.Or(options.Logger, slog.Default()),
		receiveQueue: make(chan *raftpb.Message, receiveQueueLength),
		callQueue:    make(chan func(), callQueueLength),
		done:         make(chan struct{}),
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
	if err := n.recoverFromLog(recovered); err != nil {
		return nil, errors.Join(err, n.store.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.run(ctx)
	return n, nil
}

// recoverFromLog recovers the log, restores the group and the state machine from
// its snapshot, and creates the raft node.
func (n *Node) recoverFromLog(recovered *store.RecoveredState) error {
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
	if !n.options.Join && !n.hasConfiguredFounders(snapshot) {
		return &FoundersMismatchError{Dir: n.options.Dir, Founders: n.options.founders()}
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

// hasConfiguredFounders reports whether the founders of the log's group are the
// configured ones. It compares raft IDs if the log's only snapshot is the initial
// one, which has no names.
func (n *Node) hasConfiguredFounders(snapshot *raftpb.Snapshot) bool {
	if len(snapshot.GetData()) == 0 {
		return slices.Equal(snapshot.GetMetadata().GetConfState().GetVoters(), n.options.founderIDs())
	}
	return slices.Equal(n.logFounders, n.options.founders())
}

// Receive queues a message that another voter passed to its Options.Send. It
// drops the message if it is invalid or the queue is full.
func (n *Node) Receive(message []byte) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil || !n.acceptsFrom(m) {
		n.logger.Warn(eventMessageRefused, "bytes", len(message))
		return
	}
	select {
	case n.receiveQueue <- m:
	default:
	}
}

// acceptsFrom reports whether a message comes from a member of the group and has
// a type that voters send to each other.
func (n *Node) acceptsFrom(m *raftpb.Message) bool {
	_, member := n.currentMembership()[m.GetFrom()]
	return member && !raft.IsLocalMsg(m.GetType())
}

// RunInLoop calls f on the node's goroutine and proposes the commands that f
// returns. RunInLoop returns after the proposal, or when the node has stopped.
func (n *Node) RunInLoop(f func() (commands [][]byte)) {
	finished := make(chan struct{})
	call := func() {
		n.propose(f())
		close(finished)
	}
	select {
	case n.callQueue <- call:
	case <-n.done:
		return
	}
	select {
	case <-finished:
	case <-n.done:
	}
}

// TransferLeadership starts a transfer of leadership to the most up-to-date
// reachable peer. It does nothing if this voter does not lead.
func (n *Node) TransferLeadership() {
	n.RunInLoop(func() [][]byte {
		status := n.raft.Status()
		if status.RaftState != raft.StateLeader {
			return nil
		}
		if to := mostUpToDatePeer(&status); to != raft.None {
			n.raft.TransferLeader(to)
		}
		return nil
	})
}

// mostUpToDatePeer returns the ID of the reachable peer with the highest matching
// log index, or raft.None if no peer is reachable.
func mostUpToDatePeer(status *raft.Status) uint64 {
	var best, bestMatch uint64
	for id, progress := range status.Progress {
		if id != status.ID && progress.RecentActive && progress.Match >= bestMatch {
			best, bestMatch = id, progress.Match
		}
	}
	return best
}

// Stop stops the node's goroutine, waits for it, and closes the log.
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
