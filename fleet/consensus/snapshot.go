package consensus

import (
	"encoding/json"
	"fmt"
)

// entriesPerSnapshot is how many entries are applied between two snapshots.
const entriesPerSnapshot = 256

// snapshotEnvelope is the data of a snapshot: the state machine's state, and the
// group's.
type snapshotEnvelope struct {
	Founders []string `json:"founders"` // of the log; a log of other founders is refused
	Members  []Voter  `json:"members"`
	State    []byte   `json:"state"` // of the state machine
}

// takeSnapshot replaces the applied entries by a snapshot.
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

// encodeSnapshot returns the data of a snapshot of what was applied so far.
func (n *Node) encodeSnapshot() ([]byte, error) {
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: snapshot of the state machine: %w", err)
	}
	data, err := json.Marshal(snapshotEnvelope{n.logFounders, n.Voters(), state})
	if err != nil {
		return nil, fmt.Errorf("consensus: encoding a snapshot: %w", err)
	}
	return data, nil
}

// restoreSnapshot restores the group and the state machine from a snapshot's
// data. The initial snapshot of a log has none: the group is its founders.
func (n *Node) restoreSnapshot(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var envelope snapshotEnvelope
	if err := json.Unmarshal(data, &envelope); err != nil {
		return fmt.Errorf("consensus: decoding a snapshot: %w", err)
	}
	restored := membership{}
	for _, voter := range envelope.Members {
		restored[voterID(voter.Name)] = voter
	}
	n.logFounders = envelope.Founders
	n.setMembership(restored)
	if err := n.options.StateMachine.Restore(envelope.State); err != nil {
		return fmt.Errorf("consensus: restoring the state machine: %w", err)
	}
	return nil
}
