// Package fleet has processes of the program act together: a small group of
// voters agrees on who owns each piece of fleet work (package lease, over
// package consensus), all members hear of each other and of the work's results
// (package gossip), and every receiver refuses what a late-waking old owner
// still sends (lease.Fence).
//
// The fleet work done here is the registry's judgement: the owner of the lease
// Registry probes the shared dependency and tells every member, and the
// operator's registry, how it stands.
package fleet

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

// Registry names the lease on probing the shared dependency and publishing how
// it stands.
const Registry = "registry"

// Bank names the lease on keeping the fleet's budget.
const Bank = "bank"

// Role is a member's part.
type Role string

// The roles.
const (
	Off    Role = "off"
	Voter  Role = "voter"  // agrees on leases and may own them
	Member Role = "member" // hears only
)

// Config is what a member is told.
type Config struct {
	Fleet  string // the fleet's name: two never talk
	Self   string
	Role   Role
	Raft   string            // address where a voter hears the others
	Gossip string            // address, TCP and UDP, where a member hears the others
	Dir    string            // of a voter's log
	Voters map[string]string // name to Raft address of the founding voters, or of those there are where this one joins them
	Join   bool              // this voter joins a group at work, once it is added there
	Seeds  map[string]string // name to Gossip address of members to join by

	Election time.Duration // without word from a leader, until a voter stands (one to two of it)
	Term     time.Duration // of a lease
	Drift    float64       // most that a member's clock runs fast or slow by
	// ClockRate is that of the clock that leases are counted by; 1 but in
	// drills, where a member plays one whose clock drifts.
	ClockRate float64

	Probe      string        // address of the shared dependency
	ProbeEvery time.Duration // between two probes
	Slow       time.Duration // a probe that takes longer finds the dependency slow
	Publish    string        // URL that judgements are put to; "" for none

	// Budget is how many calls the whole fleet may have in hand at the shared
	// dependency, at any instant and in any partition; 0 for no such bound. The
	// same at each member.
	Budget uint64
	// Repeats is how many repeats of calls the whole fleet may make in any
	// second; 0 for no such bound.
	Repeats uint64
	Horizon time.Duration // without word from the bank's owner, until a member makes no calls
	Hold    time.Duration // the longest that a call is in hand

	// Window is how often members report what they count, and how long a rollout's
	// windows are; 0 for no rollouts. The same at each member.
	Window  time.Duration
	Version string // of the program, by the operator's name
	Zone    string // that this process is in

	Logger *slog.Logger // nil for slog.Default()
}

// Validate gives an error that names the operator's key at fault.
func (c *Config) Validate() error {
	if c.Budget > 0 || c.Repeats > 0 {
		if err := c.horizon().Validate(); err != nil {
			return fmt.Errorf("fleet.horizon_ms: %w", err)
		}
	}
	if c.Window > 0 && c.Version == "" {
		return fmt.Errorf("fleet.version: a name for this version of the program wanted, as rollouts compare versions")
	}
	if c.Role != Voter {
		return nil
	}
	if _, ok := c.Voters[c.Self]; !ok && !c.Join {
		return fmt.Errorf("fleet.voters: this process, %s, is a voter and not among them", c.Self)
	}
	if !slices.Contains([]int{1, 3, 5}, len(c.Voters)) && !c.Join {
		return fmt.Errorf("fleet.voters: %d, 3 or 5 wanted (1 to try it)", len(c.Voters))
	}
	if err := c.timing().Validate(); err != nil {
		return fmt.Errorf("fleet.lease_ms: %w", err)
	}
	return nil
}

func (c *Config) timing() lease.Timing {
	return lease.Timing{Duration: c.Term, ClockDrift: c.Drift, RenewInterval: c.Term / 4}
}

// horizon is the budgets' timing: ten beats in a horizon.
func (c *Config) horizon() quota.Timing {
	return quota.Timing{SessionTimeout: c.Horizon, MaxClockDrift: c.Drift, MaxHoldTime: max(c.Hold, c.repeatHold()), HeartbeatInterval: c.Horizon / 10}
}

// repeatHold is how long a repeat keeps its right: a second on any clock, so that
// of the repeats of any second each had a right of its own.
func (c *Config) repeatHold() time.Duration {
	if c.Repeats == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * (1 + c.Drift))
}
