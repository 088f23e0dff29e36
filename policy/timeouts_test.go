package policy

import (
	"slices"
	"testing"
	"time"
)

// filledOptimizer returns an optimizer whose buffer holds the latencies in turn.
func filledOptimizer(latencies ...time.Duration) *optimizer {
	o := &optimizer{}
	for i := range latencyBufferSize {
		o.add(latencies[i*len(latencies)/latencyBufferSize])
	}
	return o
}

func TestOptimizerNeedsAFullBuffer(t *testing.T) {
	o := &optimizer{}
	o.solve()
	for range latencyBufferSize - 1 {
		o.add(100 * ms)
	}
	if o.solve(); o.sequence != nil {
		t.Errorf("sequence %v from a buffer that is not full", o.sequence)
	}
}

func TestOptimizerConstantLatencyHasOneTimeout(t *testing.T) {
	if o := filledOptimizer(100 * ms); !slices.Equal(o.sequence, []time.Duration{100 * ms}) {
		t.Errorf("sequence %v, want only the latency seen", o.sequence)
	}
}

// TestOptimizerCutsOffASlowMode has an older half of 2 s and a newer half of 100 ms. By
// weight the newer half holds three quarters: waiting to the end of the quick bin and
// retrying costs about 0.15 + 0.25 (0.15 + E) + g, far less than waiting for the slow ones.
func TestOptimizerCutsOffASlowMode(t *testing.T) {
	o := filledOptimizer(2*time.Second, 100*ms)
	if len(o.sequence) < 2 || o.sequence[len(o.sequence)-1] != 2*time.Second {
		t.Fatalf("sequence %v, want steps up to the greatest latency", o.sequence)
	}
	// bins of 50 ms: 100 ms falls in the third, which ends at 150 ms
	if first := o.sequence[0]; first != 150*ms {
		t.Errorf("first time-out %v, want 150ms, where the quick bin ends", first)
	}
	for i := 1; i < len(o.sequence); i++ {
		if o.sequence[i] <= o.sequence[i-1] {
			t.Errorf("sequence %v does not rise strictly", o.sequence)
		}
	}
}

func TestOptimizerFollowsASlowdownAndARecovery(t *testing.T) {
	o := filledOptimizer(100 * ms)
	o.add(900 * ms)
	o.solve()
	if top := o.sequence[len(o.sequence)-1]; top != 900*ms {
		t.Fatalf("t_z %v after a slow call, want 900ms", top)
	}
	for range latencyBufferSize {
		o.add(100 * ms)
	}
	o.solve()
	if top := o.sequence[len(o.sequence)-1]; top != 100*ms {
		t.Errorf("t_z %v after the recovery, want 100ms", top)
	}
}

func TestControllerGrowsAfterTimeoutsAndSettlesAboveTheLatency(t *testing.T) {
	c := controller{timeout: 100 * ms}
	c.recordTimeout(time.Second)
	if c.timeout != 150*ms {
		t.Fatalf("%v after a time-out, want 150ms", c.timeout)
	}
	for range 20 {
		c.recordTimeout(time.Second)
	}
	if c.timeout != time.Second {
		t.Fatalf("%v, want the deadline at most", c.timeout)
	}
	before := c.timeout
	c.recordSuccess(100*ms, time.Second)
	if c.timeout >= before {
		t.Fatalf("%v does not shrink after a success", c.timeout)
	}
	for range 1000 {
		c.recordSuccess(100*ms, time.Second)
	}
	if c.timeout < 150*ms || c.timeout > 500*ms {
		t.Errorf("%v settled, want a cushion above 100ms", c.timeout)
	}
}

// TestControllerTimeoutIsAtLeastTheAbandonedCallDuration: one call in sixty of 11 ms was cut
// off at 40 ms and then kept the dependency busy for 200 ms, which the quota pays: an eighth
// of all calls was skipped.
func TestControllerTimeoutIsAtLeastTheAbandonedCallDuration(t *testing.T) {
	s := settings()
	in, _ := start(t, s)
	for range 1000 {
		in.timeouts.controller.recordSuccess(10*ms, time.Second)
	}
	if got := in.timeouts.controller.timeout; got != s.AbandonedCallDuration {
		t.Errorf("time-out %v after quick calls, want the stay of %v", got, s.AbandonedCallDuration)
	}
	in.timeouts.controller.recordTimeout(time.Second)
	if got := in.timeouts.controller.timeout; got <= s.AbandonedCallDuration {
		t.Errorf("time-out %v does not grow after one", got)
	}
}
