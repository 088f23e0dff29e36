package simulation

import (
	"encoding/json"
	"strings"
	"testing"

	"quincerail.example/quincerail/fleet/rollout"
)

func config(seed uint64) Config {
	return Config{
		Seed: seed, RequestsPerWindow: 110, LateRatio: 1, FailureRatio: 1, LatencyRatio: 1, MaxWindows: 4000,
		Plan: rollout.Plan{
			ID: "r1", Kind: rollout.Program, From: "v1", To: "v2", Servers: Servers(60), Stages: rollout.DefaultStages(),
			MinWatchWindows: 300, MaxWatchWindows: 3000, Limits: rollout.DefaultLimits(),
		},
	}
}

// reloadState returns a state as a new owner reads it from the log.
func reloadState(t *testing.T) func(rollout.State) rollout.State {
	return func(s rollout.State) (back rollout.State) {
		b, err := json.Marshal(s)
		if err == nil {
			err = json.Unmarshal(b, &back)
		}
		if err != nil {
			t.Fatal(err)
		}
		return back
	}
}

// TestOutcomes plays changes of each kind, with a new owner after every window.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Config)
		phase  rollout.Phase
		share  float64 // at most
		reason string
	}{
		{"good", func(*Config) {}, rollout.Done, 1, ""},
		{"late", func(c *Config) { c.LateRatio = 1.2 }, rollout.Halted, 0.05, "late is worse"},
		{"failing", func(c *Config) { c.FailureRatio = 4 }, rollout.Halted, 0.05, "failed is worse"},
		{"slow", func(c *Config) { c.LatencyRatio = 1.2 }, rollout.Halted, 0.05, "slow is worse"},
		{"crashing", func(c *Config) { c.CrashesPerWindow = 0.1 }, rollout.Halted, 0.05, "crashes"},
		{"bad when mixed", func(c *Config) { c.BaselineFailureRate = 0.5 }, rollout.Halted, 0.05, "old-failed"},
		{"zone without reports", func(c *Config) { c.SilentZone = "zone1" }, rollout.Halted, 0.05, "did not come to run v2"},
		{"rollback fails", func(c *Config) { c.LateRatio, c.StuckServer, c.MaxWindows = 2, "s000", 1500 }, rollout.Halted, 0.05, "late is worse"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := config(1)
			c.change(&x)
			out := Run(x, reloadState(t))
			if out.State.Phase != c.phase || out.MaxShare > c.share || !strings.Contains(out.State.Reason, c.reason) ||
				c.phase == rollout.Halted && out.Remaining > 0 {
				t.Errorf("%s at stage %d after %d windows, reached %.2f, %d left: %s", out.State.Phase, out.State.Stage, out.Windows,
					out.MaxShare, out.Remaining, out.State.Reason)
			}
		})
	}
}
