package modelcheck

import (
	"errors"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// timing has a lease duration of two time steps. With a drift of 10% the owner
// stops after 1.8 steps and other clients wait for 2.2 steps.
var timing = lease.Timing{Duration: 200 * time.Millisecond, ClockDrift: 0.1, RenewInterval: 90 * time.Millisecond}

// TestRun_InvariantsHoldWithinDriftBound visits all states of two or three
// clients. One clock runs as fast and one as slow as the bound allows. The
// numbers of states are those of the first version; they change only if the model
// or the algorithm changes.
func TestRun_InvariantsHoldWithinDriftBound(t *testing.T) {
	threeClocks, twoClocks := []float64{0.9, 1.1, 1}, []float64{0.9, 1.1}
	for _, c := range []struct {
		name   string
		config Config
		states int
	}{
		{"duplicates", Config{ClockRates: threeClocks, MaxTimeSteps: 3, MaxCommands: 2, MaxDuplicates: 1, MaxRequests: 1}, 827_492},
		{"pauses", Config{ClockRates: threeClocks, MaxTimeSteps: 3, MaxCommands: 2, MaxPauses: 2, MaxRequests: 2}, 414_641},
		{"renewals", Config{ClockRates: twoClocks, MaxTimeSteps: 4, MaxCommands: 3, MaxPauses: 1, MaxRequests: 1}, 276_344},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.config.Timing = timing
			began := time.Now()
			result, err := Run(c.config)
			if err != nil {
				t.Error(err)
			}
			if result.States != c.states {
				t.Errorf("Run visited %d states, want %d", result.States, c.states)
			}
			t.Logf("Run visited %d states on %d levels in %v", result.States, result.Depth, time.Since(began))
		})
	}
}

// TestRun_FindsViolationWithoutFenceOrDriftBound disables the fence in one case,
// and lets the clocks drift more than configured in the other. The search must
// find the violation, and replaying its trace must lead to the same violation.
func TestRun_FindsViolationWithoutFenceOrDriftBound(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
		want   string
	}{
		{
			"fence disabled",
			Config{ClockRates: []float64{1, 1}, Timing: timing, MaxTimeSteps: 4, MaxCommands: 2, MaxPauses: 1, MaxRequests: 2, DisableFence: true},
			"the receiver accepted token 1.1 after token 1.2",
		},
		{
			"drift beyond the bound",
			Config{
				ClockRates: []float64{0.9, 1.1}, MaxTimeSteps: 4, MaxCommands: 2,
				Timing: lease.Timing{Duration: 200 * time.Millisecond, RenewInterval: 90 * time.Millisecond},
			},
			"2 clients hold the lease at the same instant",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Run(c.config)
			var found, replayed *ViolationError
			if !errors.As(err, &found) || found.Invariant != c.want {
				t.Fatalf("Run returned the error %v, want a *ViolationError: %s", err, c.want)
			}
			t.Log(found)
			err = Replay(c.config, found.Trace)
			if !errors.As(err, &replayed) || replayed.Invariant != c.want || !slices.Equal(replayed.Trace, found.Trace) {
				t.Errorf("Replay of the trace returned %v, want the error of Run", err)
			}
		})
	}
}

// TestReplay_RejectsDeliveryOfUnsentRequest replays a trace that delivers a
// request that no client has sent.
func TestReplay_RejectsDeliveryOfUnsentRequest(t *testing.T) {
	trace := []Transition{{AdvanceTime, 0}, {Deliver, 0}}
	err := Replay(Config{ClockRates: []float64{1, 1}, Timing: timing, MaxTimeSteps: 1}, trace)
	var impossible *TransitionError
	if !errors.As(err, &impossible) || impossible.Step != 1 || impossible.Transition != trace[1] {
		t.Errorf("Replay(%v) = %v, want a *TransitionError at step 1", trace, err)
	}
}
