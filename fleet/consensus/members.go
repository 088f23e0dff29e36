package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Voter is one of the group, as the log has it.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"`           // where the others reach it
	Learner bool   `json:"learner,omitempty"` // it copies the log, and has no vote until it has caught up
}

// maxLearnerLag is how many entries behind the leader's last a learner may be when it
// is given its vote.
const maxLearnerLag = 32

// membership is the group: who is in it, and since when nobody who was not. A map
// that is published is never written into.
type membership map[uint64]Voter

// snapshotEnvelope is what a snapshot holds beside the machine's state.
type snapshotEnvelope struct {
	Founders []string `json:"founders"` // of the log: another group's is refused
	Members  []Voter  `json:"members"`
	State    []byte   `json:"state"`
}

func (n *Node) currentMembership() membership { return *n.membership.Load() }

// setMembership has the group be so, and tells whoever reaches its voters.
func (n *Node) setMembership(m membership) {
	n.membership.Store(&m)
	if n.options.OnMembershipChange != nil {
		n.options.OnMembershipChange(n.Voters())
	}
}

// Voters gives the group as this voter knows it, in the order of names.
func (n *Node) Voters() []Voter {
	all := slices.Collect(maps.Values(n.currentMembership()))
	slices.SortFunc(all, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// founders are the names of Options.Voters, in order.
func (n *Node) founders() []string { return slices.Sorted(maps.Keys(n.options.Voters)) }

// encodeSnapshot makes a snapshot's data of the machine's state.
func (n *Node) encodeSnapshot() ([]byte, error) {
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	b, err := json.Marshal(snapshotEnvelope{n.logFounders, n.Voters(), state})
	if err != nil {
		return nil, fmt.Errorf("consensus: snapshot: %w", err)
	}
	return b, nil
}

// restoreSnapshot takes over a snapshot's data. That of a log's beginning has none: the
// group is its founders.
func (n *Node) restoreSnapshot(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var k snapshotEnvelope
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	m := membership{}
	for _, v := range k.Members {
		m[voterID(v.Name)] = v
	}
	n.logFounders = k.Founders
	n.setMembership(m)
	if err := n.options.StateMachine.Restore(k.State); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// AddVoter has a voter added to the group, as a learner first: the leader gives it
// its vote when it has caught up. It is proposed once, and may be lost; Voters
// tells when it is done. The group changes by one at a time (Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, chapter 4).
func (n *Node) AddVoter(name, address string) error {
	for _, v := range n.currentMembership() {
		if voterID(v.Name) == voterID(name) && v.Name != name {
			return fmt.Errorf("consensus: voters %s and %s have the same number", name, v.Name)
		}
	}
	return n.proposeMembershipChange(raftpb.ConfChangeAddLearnerNode, Voter{Name: name, Address: address, Learner: true})
}

// RemoveVoter has a voter leave the group for good. Likewise proposed once. The last
// voter can't be removed.
func (n *Node) RemoveVoter(name string) error {
	return n.proposeMembershipChange(raftpb.ConfChangeRemoveNode, Voter{Name: name})
}

func (n *Node) proposeMembershipChange(kind raftpb.ConfChangeType, v Voter) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	n.RunInLoop(func() [][]byte {
		n.proposeConfChange(kind, v.Name, text)
		return nil
	})
	return nil
}

// proposeConfChange is called by the node's goroutine.
func (n *Node) proposeConfChange(kind raftpb.ConfChangeType, name string, text []byte) {
	c := &raftpb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(voterID(name)), Context: text}
	if err := n.raft.ProposeConfChange(c); err != nil {
		n.logger.Debug("fleet_proposal", "error", err.Error())
	}
}

// promoteLearners gives learners that have caught up their vote, where this voter leads.
func (n *Node) promoteLearners() {
	if len(n.confState.GetLearners()) == 0 || n.raft.BasicStatus().RaftState != raft.StateLeader {
		return
	}
	last, err := n.log.memory.LastIndex()
	if err != nil {
		return // asked again at the next tick
	}
	progress := n.raft.Status().Progress
	for _, at := range n.confState.GetLearners() {
		v, known := n.currentMembership()[at]
		if p := progress[at]; !known || !p.RecentActive || p.Match == 0 || p.Match+maxLearnerLag < last { // 0: it never answered
			continue
		}
		v.Learner = false
		if text, err := json.Marshal(v); err == nil {
			n.proposeConfChange(raftpb.ConfChangeAddNode, v.Name, text)
		}
	}
}

// applyConfChange takes in an entry that changes the group, at the place that was applied.
func (n *Node) applyConfChange(e *raftpb.Entry) error {
	c := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), c); err != nil {
		return fmt.Errorf("consensus: change of voters: %w", err)
	}
	var v Voter
	if len(c.GetContext()) > 0 {
		if err := json.Unmarshal(c.GetContext(), &v); err != nil {
			return fmt.Errorf("consensus: change of voters: %w", err)
		}
	}
	at, next := c.GetNodeId(), maps.Clone(n.currentMembership())
	_, known := next[at]
	voters := n.confState.GetVoters()
	switch {
	case c.GetType() == raftpb.ConfChangeRemoveNode && known && !(len(voters) == 1 && voters[0] == at):
		delete(next, at)
	case c.GetType() == raftpb.ConfChangeAddLearnerNode && !known, c.GetType() == raftpb.ConfChangeAddNode && known:
		next[at] = v
	default: // nothing to do, as all who apply it see
		c.NodeId = proto.Uint64(raft.None)
	}
	n.confState = n.raft.ApplyConfChange(c)
	if c.GetNodeId() == raft.None {
		return nil
	}
	n.logger.Info("voters", "change", c.GetType().String(), "of", v.Name, "entry", e.GetIndex())
	n.setMembership(next)
	return n.takeSnapshot() // who joins is caught up with one that it is a part of
}
