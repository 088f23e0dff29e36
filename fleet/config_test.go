package fleet

import (
	"errors"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

// TestConfigErrors checks which of the operator's keys each refusal names, and that
// the cause can be found in it.
func TestConfigErrors(t *testing.T) {
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
			t.Errorf("%v, want an error about %s", err, c.key)
		}
	}
	config := valid
	config.LeaseDuration = 0
	var invalidLease *lease.ConfigError
	if err := config.Validate(); !errors.As(err, &invalidLease) {
		t.Errorf("%v is no lease.ConfigError", err)
	}
	config = valid
	config.SessionTimeout = 0
	var invalidQuota *quota.TimingError
	if err := config.Validate(); !errors.As(err, &invalidQuota) {
		t.Errorf("%v is no quota.TimingError", err)
	}
}

// TestCheckRemoval has a voter's removal refused where no live majority would stay.
func TestCheckRemoval(t *testing.T) {
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
		{"last", []VoterStatus{voter("a", true, false), voter("b", true, true)}, func(err error) bool { return errors.Is(err, ErrLastVoter) }},
		{"majority alive", []VoterStatus{voter("a", false, false), voter("b", true, false), voter("c", true, false)}, func(err error) bool { return err == nil }},
		{"half alive", []VoterStatus{voter("a", true, false), voter("b", true, false), voter("c", false, false)}, func(err error) bool {
			return errors.As(err, &noMajority) && noMajority.RemainingVoters == 2 && len(noMajority.DeadVoters) == 1
		}},
	} {
		if err := checkRemoval(c.voters, "a"); !c.want(err) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
