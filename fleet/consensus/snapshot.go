package consensus

import (
	"encoding/json"
	"fmt"
)

// entriesPerSnapshot is the number of entries applied between two snapshots.
const entriesPerSnapshot = 256

// snapshotEnvelope is the data of a snapshot: the group and the state of its
// state machine.
type snapshotEnvelope struct {
	Founders []string `json:"founders"` // founders of the log's group; see FoundersMismatchError
	Members  []Voter  `json:"members"`
	State    []byte   `json:"state"` // result of StateMachine.Snapshot
}

// takeSnapshot stores a snapshot as of the last applied entry and compacts the
// log.
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

// encodeSnapshot returns the data of a snapshot as of the last applied entry.
func (n *Node) encodeSnapshot() ([]byte, error) {
	state, err := n.options.StateMachine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("consensus: taking a snapshot of the state machine: %w", err)
	}
	data, err := json.Marshal(snapshotEnvelope{n.logFounders, n.Voters(), state})
	if err != nil {
		return nil, fmt.Errorf("consensus: encoding a snapshot: %w", err)
	}
	return data, nil
}

// restoreSnapshot restores the group and the state machine from a snapshot's
// data. The initial snapshot of a log has no data, so the group stays that of the
// founders.
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
