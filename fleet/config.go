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

// Names of the leases, as stored in the log.
const (
	HealthLease  = "registry" // to probe the shared dependency and publish its health
	QuotaLease   = "bank"     // to grant and reclaim rights of the fleet's quotas
	RolloutLease = "rollout"  // to drive a rollout through the fleet
)

// Role says whether a process takes part in the fleet, and whether it votes.
type Role string

// The roles.
const (
	RoleOff    Role = "off"    // takes no part in the fleet
	RoleVoter  Role = "voter"  // replicates the log and may own leases
	RoleMember Role = "member" // has no log and owns no leases
)

// heartbeatsPerSessionTimeout is the number of heartbeats that a quota member sends
// in one session timeout.
const heartbeatsPerSessionTimeout = 10

// Config configures a member of the fleet.
type Config struct {
	FleetName     string // members reject peers that name another fleet
	Self          string // name of this member, unique in the fleet
	Role          Role
	RaftAddress   string            // TCP listen address for the other voters; voters only
	GossipAddress string            // TCP and UDP listen address for the other members
	LogDir        string            // directory of a voter's log
	Voters        map[string]string // Raft addresses by name: the founding voters, or the current ones if Join is set
	Join          bool              // join a running group, after an operator has added this voter to it
	Seeds         map[string]string // gossip addresses by name of the members to contact first

	// ElectionTimeout is the base of the randomized election timeout: a voter becomes
	// a candidate after one to two times ElectionTimeout without a leader's message.
	ElectionTimeout time.Duration
	LeaseDuration   time.Duration // how long a lease lasts after a grant or renewal
	MaxClockDrift   float64       // bound on a clock's rate error, as a fraction: 0.05 is 5%
	// ClockRate multiplies the rate of the clock that times leases and quotas. It is
	// 1 except in tests of clock drift.
	ClockRate float64

	DependencyAddress string        // TCP address to probe
	ProbeInterval     time.Duration // between two probes
	SlowThreshold     time.Duration // a probe that takes longer reports DependencySlow
	PublishURL        string        // target of an HTTP PUT of each health update; "" for none

	// MaxCalls bounds the calls that the whole fleet has in flight at the shared
	// dependency, at any instant and in any partition; 0 for no bound. All members
	// must have the same value.
	MaxCalls uint64
	// MaxRetriesPerSecond bounds the retries of calls that the whole fleet makes in
	// any second; 0 for no bound.
	MaxRetriesPerSecond uint64
	// SessionTimeout is the time after which a member without a newer acknowledgement
	// from the allocator's leader has no calls in flight (quota.Timing).
	SessionTimeout  time.Duration
	MaxCallDuration time.Duration // upper bound on the time that a call is in flight

	// RolloutWindow is the interval between members' reports and the length of a
	// rollout's windows; 0 disables rollouts. All members must have the same value.
	RolloutWindow time.Duration
	Version       string // of the program, named by the operator
	Zone          string // failure zone of this process

	Logger *slog.Logger // nil for slog.Default()
}

// ConfigError reports an invalid value in the operator's file.
type ConfigError struct {
	Key string // key in the operator's file
	Err error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

func configErrorf(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Validate returns a *ConfigError for the first key with an invalid value.
func (c *Config) Validate() error {
	if c.MaxCalls > 0 || c.MaxRetriesPerSecond > 0 {
		if err := c.quotaTiming().Validate(); err != nil {
			return &ConfigError{Key: quotaTimingKey(err), Err: err}
		}
	}
	if c.RolloutWindow > 0 && c.Version == "" {
		return configErrorf("fleet.version", "must name the version of the program, because rollouts compare versions")
	}
	if c.Role != RoleVoter {
		return nil
	}
	if _, ok := c.Voters[c.Self]; !ok && !c.Join {
		return configErrorf("fleet.voters", "must contain this process, %s, because it is a voter", c.Self)
	}
	if !slices.Contains([]int{1, 3, 5}, len(c.Voters)) && !c.Join {
		return configErrorf("fleet.voters", "has %d voters, must have 3 or 5 (or 1 for a trial)", len(c.Voters))
	}
	if err := c.leaseTiming().Validate(); err != nil {
		return &ConfigError{Key: leaseTimingKey(err), Err: err}
	}
	return nil
}

// leaseTimingKey returns the key in the operator's file for an error of
// lease.Timing. The renewal interval is derived from the lease duration.
func leaseTimingKey(err error) string {
	var invalid *lease.ConfigError
	if errors.As(err, &invalid) && invalid.Field == "ClockDrift" {
		return "fleet.drift"
	}
	return "fleet.lease_ms"
}

// quotaTimingKey returns the key in the operator's file for an error of
// quota.Timing. The heartbeat interval is derived from the session timeout, which
// must also exceed the time that a right is held.
func quotaTimingKey(err error) string {
	var invalid *quota.TimingError
	if errors.As(err, &invalid) && invalid.Field == "MaxClockDrift" {
		return "fleet.drift"
	}
	return "fleet.horizon_ms"
}

func (c *Config) leaseTiming() lease.Timing {
	return lease.Timing{Duration: c.LeaseDuration, ClockDrift: c.MaxClockDrift, RenewInterval: c.LeaseDuration / 4}
}

func (c *Config) quotaTiming() quota.Timing {
	return quota.Timing{
		SessionTimeout:    c.SessionTimeout,
		MaxClockDrift:     c.MaxClockDrift,
		MaxHoldTime:       max(c.MaxCallDuration, c.retryHoldTime()),
		HeartbeatInterval: c.SessionTimeout / heartbeatsPerSessionTimeout,
	}
}

// retryHoldTime returns how long a retry keeps its right: at least a second by any
// clock within the drift bound, so that all retries in any second hold distinct
// rights. It returns 0 if retries are not bounded.
func (c *Config) retryHoldTime() time.Duration {
	if c.MaxRetriesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) * (1 + c.MaxClockDrift))
}

// healthMaxAge returns the age at which the last health update expires: five probe
// intervals, and two lease durations for another owner to take over.
func (c *Config) healthMaxAge() time.Duration { return 5*c.ProbeInterval + 2*c.LeaseDuration }
