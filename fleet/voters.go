package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"quincerail.example/quincerail/fleet/consensus"
)

// VoterStatus is a voter as another one knows it. In JSON, the members of the
// embedded struct stand beside Alive: it must stay embedded, and without a tag.
type VoterStatus struct {
	consensus.Voter
	Alive bool `json:"alive"` // by gossip: a hint
}

// Voters gives the fleet's voters, in the order of their names; ErrNoVoter at a
// member that votes on nothing.
func (f *Fleet) Voters() ([]VoterStatus, error) {
	if f.node == nil {
		return nil, ErrNoVoter
	}
	alive := f.members.Alive()
	var out []VoterStatus
	for _, v := range f.node.Voters() {
		out = append(out, VoterStatus{v, slices.Contains(alive, v.Name)})
	}
	return out, nil
}

// AddVoter has a voter join the group, by the address where the others are to
// reach it; it gets its vote when it has caught up. It returns once the log has
// taken that in; the error wraps ctx's where it did not in time.
func (f *Fleet) AddVoter(ctx context.Context, name, address string) error {
	if f.node == nil {
		return ErrNoVoter
	}
	return f.regroup(ctx, func() error { return f.node.AddVoter(name, address) }, func(vs []consensus.Voter) bool {
		return slices.ContainsFunc(vs, func(v consensus.Voter) bool { return v.Name == name })
	})
}

// RemoveVoter has a voter leave the group for good. It is refused where most of
// those that stay are not alive: they could agree on nothing any more, and nobody
// could add others.
func (f *Fleet) RemoveVoter(ctx context.Context, name string) error {
	voters, err := f.Voters()
	if err != nil {
		return err
	}
	stay, alive := 0, 0
	var dead []string
	for _, v := range voters {
		switch {
		case v.Name == name || v.Learner:
		case v.Alive:
			stay, alive = stay+1, alive+1
		default:
			stay, dead = stay+1, append(dead, v.Name)
		}
	}
	if stay == 0 {
		return errors.New("fleet: the last voter can't be removed")
	}
	if 2*alive <= stay {
		return fmt.Errorf("fleet: of the %d voters that would stay %v are not alive: no majority", stay, dead)
	}
	return f.regroup(ctx, func() error { return f.node.RemoveVoter(name) }, func(vs []consensus.Voter) bool {
		return !slices.ContainsFunc(vs, func(v consensus.Voter) bool { return v.Name == name })
	})
}

// regroup asks for a change of the group until it is there.
func (f *Fleet) regroup(ctx context.Context, ask func() error, is func([]consensus.Voter) bool) error {
	for {
		if is(f.node.Voters()) {
			return nil
		}
		if err := ask(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fleet: the log did not take the change of voters: %w", ctx.Err())
		case <-time.After(askAgain):
		}
	}
}
