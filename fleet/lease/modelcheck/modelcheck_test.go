package modelcheck

import (
	"errors"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// timing has a lease duration of two time steps; with a drift of a tenth the
// owner stops after 1.8 of them and others wait for 2.2.
var timing = lease.Timing{Duration: 200 * time.Millisecond, ClockDrift: 0.1, RenewInterval: 90 * time.Millisecond}

// TestInvariants visits all states of two or three clients, one of whose clocks
// runs as fast and one as slow as the bound allows. The numbers of states are
// those of the first version: they change only where the model or the algorithm
// does.
func TestInvariants(t *testing.T) {
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
				t.Errorf("%d states, want %d", result.States, c.states)
			}
			t.Logf("%d states, traces of up to %d transitions, %v", result.States, result.Depth, time.Since(began))
		})
	}
}

// TestFindsViolations removes what the invariants depend on, first the fence and
// then the drift bound: the search finds the violation, and its trace leads to
// the same one when it is replayed.
func TestFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name   string
		config Config
		want   string
	}{
		{
			"fence disabled",
			Config{ClockRates: []float64{1, 1}, Timing: timing, MaxTimeSteps: 4, MaxCommands: 2, MaxPauses: 1, MaxRequests: 2, DisableFence: true},
			"the receiver accepted 1.1 after 1.2",
		},
		{
			"drift beyond the bound",
			Config{
				ClockRates: []float64{0.9, 1.1}, MaxTimeSteps: 4, MaxCommands: 2,
				Timing: lease.Timing{Duration: 200 * time.Millisecond, RenewInterval: 90 * time.Millisecond},
			},
			"2 members hold the lease at one instant",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Run(c.config)
			var found, replayed *ViolationError
			if !errors.As(err, &found) || found.Invariant != c.want {
				t.Fatalf("got %v, want %s", err, c.want)
			}
			t.Log(found)
			err = Replay(c.config, found.Trace)
			if !errors.As(err, &replayed) || replayed.Invariant != c.want || !slices.Equal(replayed.Trace, found.Trace) {
				t.Errorf("replayed: %v", err)
			}
		})
	}
}

// TestReplayRefusesImpossibleTransitions replays a trace that delivers a request
// which nobody has sent.
func TestReplayRefusesImpossibleTransitions(t *testing.T) {
	trace := []Transition{{AdvanceTime, 0}, {Deliver, 0}}
	err := Replay(Config{ClockRates: []float64{1, 1}, Timing: timing, MaxTimeSteps: 1}, trace)
	var impossible *TransitionError
	if !errors.As(err, &impossible) || impossible.Step != 1 || impossible.Transition != trace[1] {
		t.Errorf("got %v", err)
	}
}
