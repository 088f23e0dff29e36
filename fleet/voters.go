package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
)

var (
	// ErrNotVoter is returned by operations that need a voter when this member isn't
	// one.
	ErrNotVoter = errors.New("fleet: this member is not a voter; send the request to a voter")
	// ErrLastVoter is returned for a removal that would leave no voter.
	ErrLastVoter = errors.New("fleet: cannot remove the last voter")
)

// NoMajorityError is returned for the removal of a voter if only a minority or half of
// the remaining voters are alive.
type NoMajorityError struct {
	RemainingVoters int      // number of voters after the removal
	DeadVoters      []string // names of the remaining voters that are not alive
}

// Error implements error.
func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("fleet: no majority: of the %d remaining voters, %v are not alive", e.RemainingVoters, e.DeadVoters)
}

// VoterStatus describes a voter as seen by another one. consensus.Voter must stay
// embedded and without a tag: its fields are encoded at the same level as Alive.
type VoterStatus struct {
	consensus.Voter
	Alive bool `json:"alive"` // according to gossip, so it may be out of date
}

// Voters returns the fleet's voters, sorted by name. The error is ErrNotVoter if this
// member is not a voter.
func (f *Fleet) Voters() ([]VoterStatus, error) {
	if f.node == nil {
		return nil, ErrNotVoter
	}
	alive := f.membership.Alive()
	var voters []VoterStatus
	for _, voter := range f.node.Voters() {
		voters = append(voters, VoterStatus{voter, slices.Contains(alive, voter.Name)})
	}
	return voters, nil
}

// AddVoter adds a voter to the group. The other voters reach the new one at address. The
// new one is a learner until it has caught up with the log. AddVoter returns when the
// log has the change. The error is ErrNotVoter, or wraps ctx.Err() if ctx is done first.
func (f *Fleet) AddVoter(ctx context.Context, name, address string) error {
	if f.node == nil {
		return ErrNotVoter
	}
	add := func() error { return f.node.AddVoter(name, address) }
	return f.changeMembership(ctx, add, func(voters []consensus.Voter) bool { return hasVoter(voters, name) })
}

// RemoveVoter permanently removes a voter from the group. It returns a
// *NoMajorityError unless a majority of the remaining voters is alive: without one, the
// group could commit no entry, so no voter could be added either. Other errors are
// ErrNotVoter, ErrLastVoter, or wrap ctx.Err() if ctx is done first.
func (f *Fleet) RemoveVoter(ctx context.Context, name string) error {
	voters, err := f.Voters()
	if err != nil {
		return err
	}
	if err := checkRemoval(voters, name); err != nil {
		return err
	}
	remove := func() error { return f.node.RemoveVoter(name) }
	return f.changeMembership(ctx, remove, func(voters []consensus.Voter) bool { return !hasVoter(voters, name) })
}

// checkRemoval returns an error if the voters without the named one have no live
// majority. Learners don't count.
func checkRemoval(voters []VoterStatus, name string) error {
	remaining, alive := 0, 0
	var dead []string
	for _, voter := range voters {
		if voter.Name == name || voter.Learner {
			continue
		}
		remaining++
		if voter.Alive {
			alive++
		} else {
			dead = append(dead, voter.Name)
		}
	}
	if remaining == 0 {
		return ErrLastVoter
	}
	if 2*alive <= remaining {
		return &NoMajorityError{RemainingVoters: remaining, DeadVoters: dead}
	}
	return nil
}

func hasVoter(voters []consensus.Voter, name string) bool {
	return slices.ContainsFunc(voters, func(voter consensus.Voter) bool { return voter.Name == name })
}

// changeMembership repeats a proposal until done reports that the log's membership
// has the change, or until ctx is done.
func (f *Fleet) changeMembership(ctx context.Context, propose func() error, done func([]consensus.Voter) bool) error {
	for !done(f.node.Voters()) {
		if err := propose(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: change of voters not committed: %w", ctx.Err())
		case <-time.After(resubmitInterval):
		}
	}
	return nil
}
