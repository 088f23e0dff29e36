package consensus

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Voter is a member of the group, as entries of the log define it.
type Voter struct {
	Name    string `json:"name"`
	Address string `json:"address"`           // address for the other voters' connections
	Learner bool   `json:"learner,omitempty"` // receives the log and has no vote yet
}

// maxLearnerLag is the largest number of entries that a learner may be behind the
// leader's last entry when it is promoted to a voter.
const maxLearnerLag = 32

// membership maps raft IDs to the members of the group. A node's current
// membership is replaced, never modified.
type membership map[uint64]Voter

// voterID returns a voter's raft ID, which is a hash of its name.
func voterID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails (hash.Hash)
	return h.Sum64()
}

// newMembership returns the group of the voters in a map from names to addresses.
func newMembership(addresses map[string]string) (membership, error) {
	m := membership{}
	for name, address := range addresses {
		if err := m.checkIDConflict(name); err != nil {
			return nil, err
		}
		m[voterID(name)] = Voter{Name: name, Address: address}
	}
	return m, nil
}

// checkIDConflict returns a *VoterIDConflictError if a member with another name
// has the same raft ID.
func (m membership) checkIDConflict(name string) error {
	if other, found := m[voterID(name)]; found && other.Name != name {
		return &VoterIDConflictError{First: name, Second: other.Name, ID: voterID(name)}
	}
	return nil
}

// currentMembership returns the group as of the latest applied entry.
func (n *Node) currentMembership() membership { return *n.membership.Load() }

// setMembership replaces the group and passes it to OnMembershipChange.
func (n *Node) setMembership(m membership) {
	n.membership.Store(&m)
	if n.options.OnMembershipChange != nil {
		n.options.OnMembershipChange(n.Voters())
	}
}

// Voters returns the group as this voter knows it, sorted by name.
func (n *Node) Voters() []Voter {
	voters := slices.Collect(maps.Values(n.currentMembership()))
	slices.SortFunc(voters, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	return voters
}

// AddVoter proposes to add a voter to the group as a learner. The leader promotes
// the learner to a voter when it has caught up. The proposal may be lost, so
// callers must repeat it until Voters has the voter.
func (n *Node) AddVoter(name, address string) error {
	if err := n.currentMembership().checkIDConflict(name); err != nil {
		return err
	}
	return n.proposeMembershipChange(raftpb.ConfChangeAddLearnerNode, Voter{Name: name, Address: address, Learner: true})
}

// RemoveVoter proposes to remove a voter from the group permanently. The proposal
// may be lost, so callers must repeat it until Voters lacks the voter. The last
// voter is never removed.
func (n *Node) RemoveVoter(name string) error {
	return n.proposeMembershipChange(raftpb.ConfChangeRemoveNode, Voter{Name: name})
}

// proposeMembershipChange proposes to add or remove one voter. Any goroutine may
// call it.
func (n *Node) proposeMembershipChange(kind raftpb.ConfChangeType, voter Voter) error {
	encodedVoter, err := json.Marshal(voter)
	if err != nil {
		return fmt.Errorf("consensus: encoding voter %s: %w", voter.Name, err)
	}
	n.RunInLoop(func() [][]byte {
		n.proposeConfChange(kind, voter.Name, encodedVoter)
		return nil
	})
	return nil
}

// proposeConfChange proposes to add, promote or remove the named voter, whose JSON
// is encodedVoter. Only the node's goroutine may call it.
func (n *Node) proposeConfChange(kind raftpb.ConfChangeType, name string, encodedVoter []byte) {
	change := &raftpb.ConfChange{Type: kind.Enum(), NodeId: proto.Uint64(voterID(name)), Context: encodedVoter}
	if err := n.raft.ProposeConfChange(change); err != nil {
		n.logger.Debug(eventProposalDropped, "error", err.Error())
	}
}

// promoteLearners proposes to promote the learners that have caught up, if this
// voter leads. It ignores errors, because the next tick tries again.
func (n *Node) promoteLearners() {
	learners := n.confState.GetLearners()
	if len(learners) == 0 || n.raft.BasicStatus().RaftState != raft.StateLeader {
		return
	}
	lastIndex, err := n.log.lastIndex()
	if err != nil {
		return
	}
	progress := n.raft.Status().Progress
	for _, id := range learners {
		p := progress[id]
		hasReplied := p.RecentActive && p.Match > 0
		voter, found := n.currentMembership()[id]
		if !found || !hasReplied || p.Match+maxLearnerLag < lastIndex {
			continue
		}
		voter.Learner = false
		if encodedVoter, err := json.Marshal(voter); err == nil {
			n.proposeConfChange(raftpb.ConfChangeAddNode, voter.Name, encodedVoter)
		}
	}
}

// applyConfChange applies a committed entry that changes the group. An invalid
// change has no effect: it is passed to raft with the node ID raft.None.
func (n *Node) applyConfChange(entry *raftpb.Entry) error {
	change, voter, err := decodeConfChange(entry)
	if err != nil {
		return err
	}
	next, valid := n.membershipAfter(change, voter)
	if !valid { // all voters decide the same, as they have the same log
		change.NodeId = proto.Uint64(raft.None)
	}
	n.confState = n.raft.ApplyConfChange(change)
	if !valid {
		return nil
	}
	n.logger.Info(eventVotersChanged, "change", change.GetType().String(), "voter", voter.Name, "log_index", entry.GetIndex())
	n.setMembership(next)
	return n.takeSnapshot() // a joining voter must receive a snapshot of a group that includes it
}

// decodeConfChange returns the change in an entry and its voter, which is the
// zero Voter if the change has no context.
func decodeConfChange(entry *raftpb.Entry) (*raftpb.ConfChange, Voter, error) {
	change, voter := &raftpb.ConfChange{}, Voter{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return nil, voter, fmt.Errorf("consensus: decoding the membership change in entry %d: %w", entry.GetIndex(), err)
	}
	if len(change.GetContext()) == 0 {
		return change, voter, nil
	}
	if err := json.Unmarshal(change.GetContext(), &voter); err != nil {
		return nil, voter, fmt.Errorf("consensus: decoding the voter in entry %d: %w", entry.GetIndex(), err)
	}
	return change, voter, nil
}

// membershipAfter returns the group after a change. The change is not valid if it
// adds a learner that is a member already, promotes or removes a voter that is
// not a member, or removes the last voter.
func (n *Node) membershipAfter(change *raftpb.ConfChange, voter Voter) (next membership, valid bool) {
	id := change.GetNodeId()
	if id == raft.None {
		return nil, false
	}
	next = maps.Clone(n.currentMembership())
	_, found := next[id]
	switch change.GetType() {
	case raftpb.ConfChangeAddLearnerNode:
		next[id] = voter
		return next, !found
	case raftpb.ConfChangeAddNode:
		next[id] = voter
		return next, found
	case raftpb.ConfChangeRemoveNode:
		delete(next, id)
		return next, found && !slices.Equal(n.confState.GetVoters(), []uint64{id})
	default:
		return nil, false
	}
}
