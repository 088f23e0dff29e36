package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

// Names of the leases. The log stores them.
const (
	HealthLease  = "registry" // on probing the shared dependency and publishing its health
	QuotaLease   = "bank"     // on granting and reclaiming rights of the fleet's quotas
	RolloutLease = "rollout"  // on driving a change through the fleet
)

// Role is a member's part.
type Role string

// The roles.
const (
	Off    Role = "off"
	Voter  Role = "voter"  // agrees on leases and may own them
	Member Role = "member" // receives results only
)

// heartbeatsPerHorizon is how many heartbeats a quota's member sends in a horizon.
const heartbeatsPerHorizon = 10

// Config is what a member is started with.
type Config struct {
	Fleet  string // the fleet's name: members of two fleets refuse each other
	Self   string
	Role   Role
	Raft   string            // address where a voter listens for the others
	Gossip string            // address, TCP and UDP, where a member listens for the others
	Dir    string            // of a voter's log
	Voters map[string]string // name to Raft address of the founding voters, or of the present ones where this one joins them
	Join   bool              // this voter joins a running group, once it is added there
	Seeds  map[string]string // name to Gossip address of members to join by

	Election time.Duration // without a message from a leader, until a voter becomes a candidate (one to two of it)
	Term     time.Duration // of a lease
	Drift    float64       // most that a member's clock runs fast or slow by
	// ClockRate is that of the clock that leases are counted by. It is 1 except in
	// tests of clock drift.
	ClockRate float64

	Probe      string        // address of the shared dependency
	ProbeEvery time.Duration // between two probes
	Slow       time.Duration // a probe that takes longer finds the dependency slow
	Publish    string        // URL that the dependency's health is put to; "" for none

	// Budget is how many calls the whole fleet may have in flight at the shared
	// dependency, at any instant and in any partition; 0 for no such bound. It is
	// the same at each member.
	Budget uint64
	// Repeats is how many retries of calls the whole fleet may make in any second;
	// 0 for no such bound.
	Repeats uint64
	Horizon time.Duration // without an acknowledgement of the allocator's leader, until a member makes no calls
	Hold    time.Duration // the longest that a call is in flight

	// Window is how often members report their counts, and how long a rollout's
	// windows are; 0 for no rollouts. It is the same at each member.
	Window  time.Duration
	Version string // of the program, as the operator names it
	Zone    string // of this process

	Logger *slog.Logger // nil for slog.Default()
}

// ConfigError reports an operator's key whose value can't be used.
type ConfigError struct {
	Key string // in the operator's file
	Err error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

func configErrorf(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Validate returns a *ConfigError for the first key with a value that can't be used.
func (c *Config) Validate() error {
	if c.Budget > 0 || c.Repeats > 0 {
		if err := c.quotaTiming().Validate(); err != nil {
			return &ConfigError{Key: quotaTimingKey(err), Err: err}
		}
	}
	if c.Window > 0 && c.Version == "" {
		return configErrorf("fleet.version", "a name for this version of the program wanted, as rollouts compare versions")
	}
	if c.Role != Voter {
		return nil
	}
	if _, ok := c.Voters[c.Self]; !ok && !c.Join {
		return configErrorf("fleet.voters", "this process, %s, is a voter and not among them", c.Self)
	}
	if !slices.Contains([]int{1, 3, 5}, len(c.Voters)) && !c.Join {
		return configErrorf("fleet.voters", "%d, 3 or 5 wanted (1 to try it)", len(c.Voters))
	}
	if err := c.leaseTiming().Validate(); err != nil {
		return &ConfigError{Key: leaseTimingKey(err), Err: err}
	}
	return nil
}

// leaseTimingKey returns the operator's key that an error of lease.Timing is about.
// The interval between renewals is a part of the lease's duration.
func leaseTimingKey(err error) string {
	var invalid *lease.ConfigError
	if errors.As(err, &invalid) && invalid.Field == "ClockDrift" {
		return "fleet.drift"
	}
	return "fleet.lease_ms"
}

// quotaTimingKey returns the operator's key that an error of quota.Timing is about.
// The interval between heartbeats is a part of the horizon, and the time that a
// right is held has to fit in it.
func quotaTimingKey(err error) string {
	var invalid *quota.TimingError
	if errors.As(err, &invalid) && invalid.Field == "MaxClockDrift" {
		return "fleet.drift"
	}
	return "fleet.horizon_ms"
}

func (c *Config) leaseTiming() lease.Timing {
	return lease.Timing{Duration: c.Term, ClockDrift: c.Drift, RenewInterval: c.Term / 4}
}

func (c *Config) quotaTiming() quota.Timing {
	return quota.Timing{
		SessionTimeout:    c.Horizon,
		MaxClockDrift:     c.Drift,
		MaxHoldTime:       max(c.Hold, c.retryHoldTime()),
		HeartbeatInterval: c.Horizon / heartbeatsPerHorizon,
	}
}

// retryHoldTime is how long a retry keeps its right: a second on any clock, so that
// each of the retries in any second had a right of its own.
func (c *Config) retryHoldTime() time.Duration {
	if c.Repeats == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * (1 + c.Drift))
}

// healthMaxAge is how long the health of the shared dependency counts without an
// update: five probes, and two terms for another owner to start.
func (c *Config) healthMaxAge() time.Duration { return 5*c.ProbeEvery + 2*c.Term }
