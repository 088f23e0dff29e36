package policy

import (
	"slices"
	"testing"
	"time"
)

// filledOptimizer returns an optimizer with a full buffer, which holds each of the latencies
// equally often, in the given order.
func filledOptimizer(latencies ...time.Duration) *optimizer {
	o := &optimizer{}
	for i := range latencyBufferSize {
		o.add(latencies[i*len(latencies)/latencyBufferSize])
	}
	return o
}

func TestOptimizer_NeedsAFullBuffer(t *testing.T) {
	o := &optimizer{}
	o.solve()
	for range latencyBufferSize - 1 {
		o.add(100 * ms)
	}
	if o.solve(); o.sequence != nil {
		t.Errorf("sequence = %v before the buffer is full, want none", o.sequence)
	}
}

func TestOptimizer_ConstantLatencyHasOneTimeout(t *testing.T) {
	if o := filledOptimizer(100 * ms); !slices.Equal(o.sequence, []time.Duration{100 * ms}) {
		t.Errorf("sequence = %v for a constant latency of 100ms, want [100ms]", o.sequence)
	}
}

// The older half of the latencies is 2 s, the newer half 100 ms. The newer half has three
// quarters of the weight. A time-out at the end of the 100 ms bin and a retry cost about
// 0.15 + 0.25 (0.15 + E) + g, far less than waiting for the slow calls.
func TestOptimizer_CutsOffASlowMode(t *testing.T) {
	o := filledOptimizer(2*time.Second, 100*ms)
	if len(o.sequence) < 2 || o.sequence[len(o.sequence)-1] != 2*time.Second {
		t.Fatalf("sequence = %v, want at least two time-outs, the last one 2s", o.sequence)
	}
	// With bins of 50 ms, 100 ms is in the third bin, which ends at 150 ms.
	if first := o.sequence[0]; first != 150*ms {
		t.Errorf("first time-out = %v, want 150ms", first)
	}
	for i := 1; i < len(o.sequence); i++ {
		if o.sequence[i] <= o.sequence[i-1] {
			t.Errorf("sequence = %v, want it strictly rising", o.sequence)
		}
	}
}

func TestOptimizer_FollowsASlowdownAndARecovery(t *testing.T) {
	o := filledOptimizer(100 * ms)
	o.add(900 * ms)
	o.solve()
	if last := o.sequence[len(o.sequence)-1]; last != 900*ms {
		t.Fatalf("last time-out = %v after a slow call, want 900ms", last)
	}
	for range latencyBufferSize {
		o.add(100 * ms)
	}
	o.solve()
	if last := o.sequence[len(o.sequence)-1]; last != 100*ms {
		t.Errorf("last time-out = %v after the recovery, want 100ms", last)
	}
}

func TestController_GrowsAfterTimeoutsAndSettlesAboveTheLatency(t *testing.T) {
	c := controller{timeout: 100 * ms}
	c.recordTimeout(time.Second)
	if c.timeout != 150*ms {
		t.Fatalf("timeout = %v after a time-out, want 150ms", c.timeout)
	}
	for range 20 {
		c.recordTimeout(time.Second)
	}
	if c.timeout != time.Second {
		t.Fatalf("timeout = %v after many time-outs, want maxTimeout: 1s", c.timeout)
	}
	before := c.timeout
	c.recordSuccess(100*ms, time.Second)
	if c.timeout >= before {
		t.Fatalf("timeout = %v after a success, want less than the earlier %v", c.timeout, before)
	}
	for range 1000 {
		c.recordSuccess(100*ms, time.Second)
	}
	if c.timeout < 150*ms || c.timeout > 500*ms {
		t.Errorf("timeout = %v after 1000 successes of 100ms, want 150ms to 500ms", c.timeout)
	}
}

// With calls of 11 ms, one in sixty timed out at 40 ms and then kept the dependency busy for
// 200 ms, which counts against the quota. An eighth of all calls was skipped.
func TestController_TimeoutIsAtLeastTheAbandonedCallDuration(t *testing.T) {
	s := testSettings()
	in, _ := startInstance(t, s)
	for range 1000 {
		in.timeouts.controller.recordSuccess(10*ms, time.Second)
	}
	if got := in.timeouts.controller.timeout; got != s.AbandonedCallDuration {
		t.Errorf("timeout = %v after fast calls, want AbandonedCallDuration %v", got, s.AbandonedCallDuration)
	}
	in.timeouts.controller.recordTimeout(time.Second)
	if got := in.timeouts.controller.timeout; got <= s.AbandonedCallDuration {
		t.Errorf("timeout = %v after a time-out, want more than %v", got, s.AbandonedCallDuration)
	}
}
