package modelcheck

import (
	"errors"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// timing has a term of two steps of time; with a drift of a tenth the owner
// stops after 1.8 of them and others wait for 2.2.
var timing = lease.Timing{Duration: 200 * time.Millisecond, ClockDrift: 0.1, RenewInterval: 90 * time.Millisecond}

// TestEveryOrder explores three members, one of whose clocks runs as fast and
// one as slow as the bound allows, with commands and acts lost, doubled and
// reordered, and members paused between looking and acting.
func TestEveryOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
	}{
		{"copies", Config{ClockRates: []float64{0.9, 1.1, 1}, MaxTimeSteps: 3, MaxCommands: 2, MaxDuplicates: 1, MaxRequests: 1}},
		{"pauses", Config{ClockRates: []float64{0.9, 1.1, 1}, MaxTimeSteps: 3, MaxCommands: 2, MaxPauses: 2, MaxRequests: 2}},
		{"renewals", Config{ClockRates: []float64{0.9, 1.1}, MaxTimeSteps: 4, MaxCommands: 3, MaxPauses: 1, MaxRequests: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.config.Timing = timing
			began := time.Now()
			r, err := Run(c.config)
			if err != nil {
				t.Error(err)
			}
			t.Logf("%d states, sequences of up to %d events, %v", r.States, r.Depth, time.Since(began))
		})
	}
}

// TestFindsViolations has the walk find what goes wrong without the fence, and
// with clocks that drift more than was stated; the sequences it gives break
// the same property when they are replayed.
func TestFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
		want   string
	}{
		{"unfenced", Config{ClockRates: []float64{1, 1}, Timing: timing, MaxTimeSteps: 4, MaxCommands: 2, MaxPauses: 1, MaxRequests: 2, DisableFence: true},
			"the receiver accepted 1.1 after 1.2"},
		{"drifting", Config{ClockRates: []float64{0.9, 1.1}, MaxTimeSteps: 4, MaxCommands: 2,
			Timing: lease.Timing{Duration: 200 * time.Millisecond, RenewInterval: 90 * time.Millisecond}},
			"2 members hold the lease at one instant"},
	} {
		_, err := Run(c.config)
		var v *ViolationError
		if !errors.As(err, &v) || v.Invariant != c.want {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
			continue
		}
		if got := Replay(c.config, v.Trace); got == nil || got.Error() != c.want {
			t.Errorf("%s: replayed: %v", c.name, got)
		}
		t.Log(v)
	}
}
