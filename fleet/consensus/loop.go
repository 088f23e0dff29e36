package consensus

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// run handles the node's events until ctx is done or its log fails.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	ticker := time.NewTicker(n.options.ElectionTimeout / ticksPerElection)
	defer ticker.Stop()
	for {
		if err := n.processReady(); err != nil { // a voter must not send messages about entries or votes that it could not save
			n.logger.Error(eventVoterStopped, "error", err.Error())
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.tick()
		case m := <-n.receiveQueue:
			n.step(m)
			for range len(n.receiveQueue) { // handle all queued messages before the next write
				n.step(<-n.receiveQueue)
			}
		case call := <-n.callQueue:
			call()
		}
	}
}

// tick advances raft's clock, proposes the commands that the state machine's Tick
// returns, and promotes learners.
func (n *Node) tick() {
	n.raft.Tick()
	leader := n.raft.BasicStatus().RaftState == raft.StateLeader
	n.propose(n.options.StateMachine.Tick(leader))
	n.promoteLearners()
}

// step passes a message to raft, which may reject it.
func (n *Node) step(m *raftpb.Message) {
	if err := n.raft.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.logger.Debug(eventStepRejected, "error", err.Error())
	}
}

// propose proposes commands for the log. Raft drops them if there is no leader;
// the state machine or the caller of RunInLoop must propose them again.
func (n *Node) propose(commands [][]byte) {
	for _, command := range commands {
		if err := n.raft.Propose(command); err != nil {
			n.logger.Debug(eventProposalDropped, "error", err.Error())
		}
	}
}

// processReady processes all of raft's pending output and takes a snapshot if
// entriesPerSnapshot entries were applied since the previous one.
func (n *Node) processReady() error {
	for n.raft.HasReady() {
		ready := n.raft.Ready()
		if err := n.handleReady(&ready); err != nil {
			return err
		}
		n.raft.Advance(ready)
		if n.appliedIndex < n.snapshotIndex+entriesPerSnapshot {
			continue
		}
		if err := n.takeSnapshot(); err != nil {
			return err
		}
	}
	return nil
}

// handleReady processes one Ready of raft. It saves entries and votes before it
// sends the messages that acknowledge them.
func (n *Node) handleReady(ready *raft.Ready) error {
	if err := n.log.save(ready); err != nil {
		return err
	}
	if err := n.sendMessages(ready.Messages); err != nil {
		return err
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	return n.applyEntries(ready.CommittedEntries)
}

// sendMessages passes messages for other voters to Options.Send.
func (n *Node) sendMessages(messages []*raftpb.Message) error {
	for _, m := range messages {
		encoded, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("consensus: encoding a message: %w", err)
		}
		n.options.Send(n.currentMembership()[m.GetTo()].Name, encoded)
		if m.GetType() == raftpb.MsgSnap { // reported as finished at once, because the peer's next response shows whether it arrived
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	return nil
}

// installSnapshot replaces the group and the state machine's state by those of a
// snapshot that another voter sent.
func (n *Node) installSnapshot(snapshot *raftpb.Snapshot) error {
	if err := n.restoreSnapshot(snapshot.GetData()); err != nil {
		return err
	}
	n.confState = snapshot.GetMetadata().GetConfState()
	n.appliedIndex = snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	return nil
}

// applyEntries applies committed entries. It skips entries without data, which
// each new leader appends.
func (n *Node) applyEntries(entries []*raftpb.Entry) error {
	for _, entry := range entries {
		n.appliedIndex = entry.GetIndex()
		switch {
		case entry.GetType() == raftpb.EntryConfChange:
			if err := n.applyConfChange(entry); err != nil {
				return err
			}
		case entry.GetType() == raftpb.EntryNormal && len(entry.GetData()) > 0:
			n.options.StateMachine.Apply(entry.GetData(), entry.GetTerm(), entry.GetIndex())
		}
	}
	return nil
}
