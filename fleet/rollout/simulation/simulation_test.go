package simulation

import (
	"encoding/json"
	"strings"
	"testing"

	"quincerail.example/quincerail/fleet/rollout"
)

// config returns a fleet of 60 servers and a change without an effect.
func config(seed uint64) Config {
	return Config{
		Seed: seed, RequestsPerWindow: 110, LateRatio: 1, FailureRatio: 1, LatencyRatio: 1, MaxWindows: 4000,
		Plan: rollout.Plan{
			ID: "r1", Kind: rollout.Program, From: "v1", To: "v2", Servers: Servers(60), Stages: rollout.DefaultStages(),
			MinWatchWindows: 300, MaxWatchWindows: 3000, Limits: rollout.DefaultLimits(),
		},
	}
}

// reloadState returns a function that encodes and decodes a state, like a new owner that
// reads it from the log.
func reloadState(t *testing.T) func(rollout.State) rollout.State {
	return func(s rollout.State) (decoded rollout.State) {
		b, err := json.Marshal(s)
		if err == nil {
			err = json.Unmarshal(b, &decoded)
		}
		if err != nil {
			t.Fatal(err)
		}
		return decoded
	}
}

// TestRun_HaltsWorseChanges runs rollouts of changes with different effects, with a new
// owner after every window. It checks the final phase, the share of the servers that got
// the change, and the reason of a halt.
func TestRun_HaltsWorseChanges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		phase  rollout.Phase
		share  float64 // maximum of Outcome.MaxShare
		reason string
	}{
		{"no effect", func(*Config) {}, rollout.Done, 1, ""},
		{"more late answers", func(c *Config) { c.LateRatio = 1.2 }, rollout.Halted, 0.05, "late is worse"},
		{"more failures", func(c *Config) { c.FailureRatio = 4 }, rollout.Halted, 0.05, "failed is worse"},
		{"higher latency", func(c *Config) { c.LatencyRatio = 1.2 }, rollout.Halted, 0.05, "slow is worse"},
		{"crashes", func(c *Config) { c.CrashesPerWindow = 0.1 }, rollout.Halted, 0.05, "crashes"},
		{"failures on servers with the old version", func(c *Config) { c.BaselineFailureRate = 0.5 }, rollout.Halted, 0.05, "old-failed"},
		{"no reports from one zone", func(c *Config) { c.SilentZone = "zone1" }, rollout.Halted, 0.05, "did not come to run v2"},
		{"server that can't be rolled back", func(c *Config) { c.LateRatio, c.StuckServer, c.MaxWindows = 2, "s000", 1500 }, rollout.Halted, 0.05, "late is worse"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := config(1)
			c.change(&x)
			out := Run(x, reloadState(t))
			if out.State.Phase != c.phase || out.MaxShare > c.share || !strings.Contains(out.State.Reason, c.reason) ||
				c.phase == rollout.Halted && out.Remaining > 0 {
				t.Errorf("Run() ended in phase %s of stage %d after %d windows with a maximum share of %.2f, %d servers with the change and reason %q; want phase %s, share at most %.2f, reason %q",
					out.State.Phase, out.State.Stage, out.Windows, out.MaxShare, out.Remaining, out.State.Reason, c.phase, c.share, c.reason)
			}
		})
	}
}
