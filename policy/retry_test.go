package policy

import (
	"math"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestEmptyRetryBudgetFailsOrSkipsTheCall(t *testing.T) {
	for _, skip := range []float64{0, 0.5} {
		s := settings()
		s.Classes[0].DegradedWeight = skip
		in, r := start(t, s)
		in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
		in.Decide(0)
		in.CallNeeded(0, "a")
		in.Decide(0)
		in.CallDone(500*ms, "a", decision.TimedOut, 500*ms)
		in.Decide(500 * ms)
		if r.count("call a") != 2 {
			t.Fatalf("no retry within the budget: %v", r.acts)
		}
		in.retries.tokens = 0
		in.CallDone(700*ms, "a", decision.TimedOut, 200*ms)
		in.Decide(700 * ms)
		want := "fail a"
		if skip > 0 {
			want = "skip a"
		}
		if r.count("call a") != 2 || r.count(want) != 1 {
			t.Errorf("want %q: %v", want, r.acts)
		}
	}
}

// TestKeyedRequestRetriesRejectedCalls: a request that nobody can run again does not fail
// because its call was rejected while the retry budget was empty.
func TestKeyedRequestRetriesRejectedCalls(t *testing.T) {
	s := settings()
	s.Classes[1].CallsDependency = true
	in, r := start(t, s)
	in.retries.tokens = 0
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.Decide(0)
	in.CallNeeded(0, "a")
	in.Decide(0)
	in.CallDone(5*ms, "a", decision.Rejected, 5*ms)
	in.Decide(5 * ms)
	in.Decide(time.Second)
	if r.count("call a") != 2 || r.count("fail a") != 0 {
		t.Errorf("want a second call: %v", r.acts)
	}
	in.CallDone(1100*ms, "a", decision.TimedOut, 100*ms)
	in.Decide(2 * time.Second)
	if r.count("call a") != 2 || r.count("fail a") != 1 {
		t.Errorf("a call that may have had its effect is retried: %v", r.acts)
	}
}

// TestRetriesKeepToTheFleetsBound has a retry that the fleet has no room for wait and tried
// again; each that is made takes one of the fleet's.
func TestRetriesKeepToTheFleetsBound(t *testing.T) {
	in, r := start(t, settings())
	left := 0
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: math.Inf(1), AcquireRetry: func() bool { left--; return left >= 0 }})
	in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
	in.Decide(0)
	in.CallNeeded(0, "a")
	in.Decide(0)
	in.CallDone(ms, "a", decision.Rejected, ms)
	run := func(from, to time.Duration) {
		for now := from; now < to; now += in.timerInterval {
			in.Tick(now, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
			in.Decide(now)
		}
	}
	run(ms, 400*ms)
	if n := r.count("call"); n != 1 || left > -2 {
		t.Fatalf("%d calls, asked %d times", n, -left)
	}
	left = 1
	run(400*ms, 800*ms)
	if n := r.count("call"); n != 2 {
		t.Errorf("%d calls once there was room", n)
	}
}
