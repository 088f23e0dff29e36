package fleet

import (
	"errors"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

// TestConfigValidate_NamesInvalidKey checks that each error names the invalid key of the
// operator's file and wraps its cause.
func TestConfigValidate_NamesInvalidKey(t *testing.T) {
	valid := Config{
		Self: "v1", Role: RoleVoter, Voters: map[string]string{"v1": "localhost:1"},
		LeaseDuration: time.Second, MaxClockDrift: 0.05, MaxCalls: 8, SessionTimeout: time.Minute, MaxCallDuration: time.Second, RolloutWindow: time.Second, Version: "1",
	}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key    string
		change func(c *Config)
	}{
		{"fleet.lease_ms", func(c *Config) { c.LeaseDuration = 0 }},
		{"fleet.drift", func(c *Config) { c.MaxClockDrift = 0.5 }},
		{"fleet.drift", func(c *Config) { c.MaxClockDrift, c.MaxCalls = 0.5, 0 }},
		{"fleet.horizon_ms", func(c *Config) { c.SessionTimeout = 0 }},
		{"fleet.horizon_ms", func(c *Config) { c.MaxCallDuration = time.Hour }},
		{"fleet.version", func(c *Config) { c.Version = "" }},
		{"fleet.voters", func(c *Config) { c.Self = "v2" }},
		{"fleet.voters", func(c *Config) { c.Voters = map[string]string{"v1": "localhost:1", "v2": "localhost:2"} }},
	} {
		config := valid
		c.change(&config)
		err := config.Validate()
		var invalid *ConfigError
		if !errors.As(err, &invalid) || invalid.Key != c.key {
			t.Errorf("Validate() = %v, want a *ConfigError for %s", err, c.key)
		}
	}
	config := valid
	config.LeaseDuration = 0
	var invalidLease *lease.ConfigError
	if err := config.Validate(); !errors.As(err, &invalidLease) {
		t.Errorf("Validate() = %v, want it to wrap a *lease.ConfigError", err)
	}
	config = valid
	config.SessionTimeout = 0
	var invalidQuota *quota.TimingError
	if err := config.Validate(); !errors.As(err, &invalidQuota) {
		t.Errorf("Validate() = %v, want it to wrap a *quota.TimingError", err)
	}
}

// TestCheckRemoval_RequiresLiveMajority checks that a voter is removed only if the
// remaining voters have a live majority.
func TestCheckRemoval_RequiresLiveMajority(t *testing.T) {
	voter := func(name string, alive, learner bool) VoterStatus {
		status := VoterStatus{Alive: alive}
		status.Name, status.Learner = name, learner
		return status
	}
	var noMajority *NoMajorityError
	for _, c := range []struct {
		name   string
		voters []VoterStatus
		want   func(error) bool
	}{
		{"only learners remain", []VoterStatus{voter("a", true, false), voter("b", true, true)}, func(err error) bool { return errors.Is(err, ErrLastVoter) }},
		{"majority alive", []VoterStatus{voter("a", false, false), voter("b", true, false), voter("c", true, false)}, func(err error) bool { return err == nil }},
		{"half alive", []VoterStatus{voter("a", true, false), voter("b", true, false), voter("c", false, false)}, func(err error) bool {
			return errors.As(err, &noMajority) && noMajority.RemainingVoters == 2 && len(noMajority.DeadVoters) == 1
		}},
	} {
		if err := checkRemoval(c.voters, "a"); !c.want(err) {
			t.Errorf("%s: checkRemoval(voters, a) = %v, which this case does not expect", c.name, err)
		}
	}
}
