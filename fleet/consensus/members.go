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

// caughtUp is how many entries behind the leader's last a learner may be when it
// is given its vote.
const caughtUp = 32

// members is the group: who is in it, and since when nobody who was not. A map
// that is published is never written into.
type members map[uint64]Voter

// kept is what a snapshot holds beside the machine's state.
type kept struct {
	Founders []string `json:"founders"` // of the log: another group's is refused
	Members  []Voter  `json:"members"`
	State    []byte   `json:"state"`
}

func (n *Node) group() members { return *n.members.Load() }

// publish has the group be so, and tells whoever reaches its voters.
func (n *Node) publish(m members) {
	n.members.Store(&m)
	if n.opt.Changed != nil {
		n.opt.Changed(n.Voters())
	}
}

// Voters gives the group as this voter knows it, in the order of names.
func (n *Node) Voters() []Voter {
	all := slices.Collect(maps.Values(n.group()))
	slices.SortFunc(all, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// founders are the names of Options.Voters, in order.
func (n *Node) founders() []string { return slices.Sorted(maps.Keys(n.opt.Voters)) }

// pack makes a snapshot's data of the machine's state.
func (n *Node) pack() ([]byte, error) {
	state, err := n.opt.Machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	b, err := json.Marshal(kept{n.origin, n.Voters(), state})
	if err != nil {
		return nil, fmt.Errorf("consensus: snapshot: %w", err)
	}
	return b, nil
}

// unpack takes over a snapshot's data. That of a log's beginning has none: the
// group is its founders.
func (n *Node) unpack(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var k kept
	if err := json.Unmarshal(data, &k); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	m := members{}
	for _, v := range k.Members {
		m[id(v.Name)] = v
	}
	n.origin = k.Founders
	n.publish(m)
	if err := n.opt.Machine.Restore(k.State); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// Add has a voter added to the group, as a learner first: the leader gives it
// its vote when it has caught up. It is proposed once, and may be lost; Voters
// tells when it is done. The group changes by one at a time (Ongaro,
// "Consensus: Bridging Theory and Practice", 2014, chapter 4).
func (n *Node) Add(name, address string) error {
	for _, v := range n.group() {
		if id(v.Name) == id(name) && v.Name != name {
			return fmt.Errorf("consensus: voters %s and %s have the same number", name, v.Name)
		}
	}
	return n.change(raftpb.ConfChangeAddLearnerNode, Voter{Name: name, Address: address, Learner: true})
}

// Remove has a voter leave the group for good. Likewise proposed once. The last
// voter can't be removed.
func (n *Node) Remove(name string) error {
	return n.change(raftpb.ConfChangeRemoveNode, Voter{Name: name})
}

func (n *Node) change(kind raftpb.ConfChangeType, v Voter) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	n.Do(func() [][]byte {
		n.proposeChange(kind, v.Name, text)
		return nil
	})
	return nil
}

// proposeChange is called by the node's goroutine.
func (n *Node) proposeChange(kind raftpb.ConfChangeType, name string, text []byte) {
	c := &raftpb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(id(name)), Context: text}
	if err := n.raft.ProposeConfChange(c); err != nil {
		n.log.Debug("fleet_proposal", "error", err.Error())
	}
}

// promote gives learners that have caught up their vote, where this voter leads.
func (n *Node) promote() {
	if len(n.conf.GetLearners()) == 0 || n.raft.BasicStatus().RaftState != raft.StateLeader {
		return
	}
	last, err := n.disk.mem.LastIndex()
	if err != nil {
		return // asked again at the next tick
	}
	progress := n.raft.Status().Progress
	for _, at := range n.conf.GetLearners() {
		v, known := n.group()[at]
		if p := progress[at]; !known || !p.RecentActive || p.Match == 0 || p.Match+caughtUp < last { // 0: it never answered
			continue
		}
		v.Learner = false
		if text, err := json.Marshal(v); err == nil {
			n.proposeChange(raftpb.ConfChangeAddNode, v.Name, text)
		}
	}
}

// changed takes in an entry that changes the group, at the place that was applied.
func (n *Node) changed(e *raftpb.Entry) error {
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
	at, next := c.GetNodeId(), maps.Clone(n.group())
	_, known := next[at]
	voters := n.conf.GetVoters()
	switch {
	case c.GetType() == raftpb.ConfChangeRemoveNode && known && !(len(voters) == 1 && voters[0] == at):
		delete(next, at)
	case c.GetType() == raftpb.ConfChangeAddLearnerNode && !known, c.GetType() == raftpb.ConfChangeAddNode && known:
		next[at] = v
	default: // nothing to do, as all who apply it see
		c.NodeId = proto.Uint64(raft.None)
	}
	n.conf = n.raft.ApplyConfChange(c)
	if c.GetNodeId() == raft.None {
		return nil
	}
	n.log.Info("voters", "change", c.GetType().String(), "of", v.Name, "entry", e.GetIndex())
	n.publish(next)
	return n.snapshot() // who joins is caught up with one that it is a part of
}
