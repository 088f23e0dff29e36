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
	// ErrNoVoter is returned where a member that is no voter is asked for what only
	// the voters know.
	ErrNoVoter = errors.New("fleet: this member is no voter: ask one")
	// ErrLastVoter is returned for the removal of the only voter.
	ErrLastVoter = errors.New("fleet: the last voter can't be removed")
)

// NoMajorityError is returned for the removal of a voter where most of those that
// would stay are not alive.
type NoMajorityError struct {
	Staying int      // voters that would stay
	Dead    []string // of them
}

// Error implements error.
func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("fleet: of the %d voters that would stay %v are not alive: no majority", e.Staying, e.Dead)
}

// VoterStatus is a voter as another one knows it. In JSON, the members of the
// embedded struct stand beside Alive: it must stay embedded, and without a tag.
type VoterStatus struct {
	consensus.Voter
	Alive bool `json:"alive"` // by gossip: a hint
}

// Voters returns the fleet's voters, in the order of their names; ErrNoVoter at a
// member that is no voter.
func (f *Fleet) Voters() ([]VoterStatus, error) {
	if f.node == nil {
		return nil, ErrNoVoter
	}
	alive := f.membership.Alive()
	var voters []VoterStatus
	for _, voter := range f.node.Voters() {
		voters = append(voters, VoterStatus{voter, slices.Contains(alive, voter.Name)})
	}
	return voters, nil
}

// AddVoter adds a voter to the group, at the address where the others are to reach
// it; it gets its vote when it has caught up. It returns once the log has the
// change; the error wraps ctx's where it did not in time.
func (f *Fleet) AddVoter(ctx context.Context, name, address string) error {
	if f.node == nil {
		return ErrNoVoter
	}
	add := func() error { return f.node.AddVoter(name, address) }
	return f.changeMembership(ctx, add, func(voters []consensus.Voter) bool { return hasVoter(voters, name) })
}

// RemoveVoter removes a voter from the group for good. It is refused where most of
// those that stay are not alive: they could commit nothing any more, and nobody
// could add others.
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

// checkRemoval returns an error where the voters without the named one have no live
// majority.
func checkRemoval(voters []VoterStatus, name string) error {
	staying, alive := 0, 0
	var dead []string
	for _, voter := range voters {
		if voter.Name == name || voter.Learner {
			continue
		}
		staying++
		if voter.Alive {
			alive++
		} else {
			dead = append(dead, voter.Name)
		}
	}
	if staying == 0 {
		return ErrLastVoter
	}
	if 2*alive <= staying {
		return &NoMajorityError{Staying: staying, Dead: dead}
	}
	return nil
}

func hasVoter(voters []consensus.Voter, name string) bool {
	return slices.ContainsFunc(voters, func(voter consensus.Voter) bool { return voter.Name == name })
}

// changeMembership proposes a change of the group until the log has it.
func (f *Fleet) changeMembership(ctx context.Context, propose func() error, done func([]consensus.Voter) bool) error {
	for !done(f.node.Voters()) {
		if err := propose(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: the log did not take the change of voters: %w", ctx.Err())
		case <-time.After(resubmitInterval):
		}
	}
	return nil
}
