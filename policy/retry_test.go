package policy

import (
	"math"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestRetryOrSkipCall_WithEmptyBudgetFailsOrSkips(t *testing.T) {
	for _, degradedWeight := range []float64{0, 0.5} {
		s := testSettings()
		s.Classes[0].DegradedWeight = degradedWeight
		in, host := startInstance(t, s)
		in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
		in.Decide(0)
		in.CallNeeded(0, "a")
		in.Decide(0)
		in.CallDone(500*ms, "a", decision.TimedOut, 500*ms)
		in.Decide(500 * ms)
		if host.count("call a") != 2 {
			t.Fatalf("call not retried within the budget: %v", host.actions)
		}
		in.retries.tokens = 0
		in.CallDone(700*ms, "a", decision.TimedOut, 200*ms)
		in.Decide(700 * ms)
		want := "fail a"
		if degradedWeight > 0 {
			want = "skip a"
		}
		if host.count("call a") != 2 || host.count(want) != 1 {
			t.Errorf("DegradedWeight %v: actions without budget = %v, want %q and 2 calls",
				degradedWeight, host.actions, want)
		}
	}
}

// A keyed request can't be run again by its caller. It must not fail only because its call was
// rejected while the retry budget was empty.
func TestRetryOrSkipCall_KeyedRequestRetriesRejectedCallWithoutBudget(t *testing.T) {
	s := testSettings()
	s.Classes[1].CallsDependency = true
	in, host := startInstance(t, s)
	in.retries.tokens = 0
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.Decide(0)
	in.CallNeeded(0, "a")
	in.Decide(0)
	in.CallDone(5*ms, "a", decision.Rejected, 5*ms)
	in.Decide(5 * ms)
	in.Decide(time.Second)
	if host.count("call a") != 2 || host.count("fail a") != 0 {
		t.Errorf("after a rejected call: actions = %v, want a second call and no failure", host.actions)
	}
	in.CallDone(1100*ms, "a", decision.TimedOut, 100*ms)
	in.Decide(2 * time.Second)
	if host.count("call a") != 2 || host.count("fail a") != 1 {
		t.Errorf("after a time-out: actions = %v, want the request failed and no third call", host.actions)
	}
}

// Without a fleet retry, the retry of a call waits and is attempted again. Each retry that is
// made takes one fleet retry.
func TestAcquireFleetRetry_DelaysRetriesBeyondTheFleetBudget(t *testing.T) {
	in, host := startInstance(t, testSettings())
	left := 0
	in.SetFleetBounds(decision.FleetBounds{
		MaxCalls:     math.Inf(1),
		AcquireRetry: func() bool { left--; return left >= 0 },
	})
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
	if n := host.count("call"); n != 1 || left > -2 {
		t.Fatalf("%d calls and %d requests for a fleet retry, want 1 call and at least 2 requests", n, -left)
	}
	left = 1
	run(400*ms, 800*ms)
	if n := host.count("call"); n != 2 {
		t.Errorf("%d calls after a fleet retry was available, want 2", n)
	}
}
