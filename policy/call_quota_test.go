package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// A call whose request has failed keeps the dependency busy for a while. The shared
// dependency was overloaded when such calls did not count.
func TestCallQuota_CountsAbandonedCalls(t *testing.T) {
	s := testSettings()
	s.CallQuota = 1
	in, host := startInstance(t, s)
	for _, id := range []string{"a", "b"} {
		in.RequestReceived(0, decision.Request{ID: id, Class: 0, ReservedKB: 1, Deadline: 8 * time.Second})
	}
	in.Decide(0)
	in.CallNeeded(ms, "a")
	in.Decide(ms)
	in.CallNeeded(2*ms, "b")
	in.RunDone(10*ms, "a", decision.Cancelled, 0)
	in.Decide(10 * ms)
	if host.count("call b") != 0 {
		t.Errorf("call of b made while the dependency works on the abandoned call of a: %v", host.actions)
	}
	in.Decide(10*ms + s.AbandonedCallDuration)
	in.Decide(time.Second)
	if host.count("call b") != 1 {
		t.Errorf("call of b not made after the abandoned call of a ended: %v", host.actions)
	}
}

// One call at a time exceeds a quota of 0.3. With a hundred servers, that overloaded the
// dependency.
func TestCallQuota_BelowOneCallIsKeptOnAverage(t *testing.T) {
	s := testSettings()
	s.CallQuota, s.AbandonedCallDuration = 0.3, 0
	in, host := startInstance(t, s)
	const took, duration = 100 * ms, 60 * time.Second
	busy := time.Duration(0)
	for now := time.Duration(0); now < duration; now += took {
		for _, req := range in.unfinished {
			switch req.state {
			case callInFlight:
				busy += took
				in.CallDone(now, req.ID, decision.Succeeded, took)
				in.RunDone(now, req.ID, decision.Succeeded, took)
			case running:
				in.CallNeeded(now, req.ID)
			case awaitingCall:
				if req.answered {
					in.RunDone(now, req.ID, decision.Cancelled, 0)
				}
			}
		}
		deadline := now + 8*time.Second
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(now), ReservedKB: 1, Deadline: deadline})
		in.Decide(now)
		host.actions = nil
	}
	mean := float64(busy) / float64(duration)
	if want := in.targetCallConcurrency(); mean > 1.1*want || mean < 0.7*want {
		t.Errorf("mean number of calls in flight = %.3f, want 70%% to 110%% of %.3f", mean, want)
	}
}

// If the dependency hangs, the calls of all servers hang at once. Their time-outs must fit
// the quota, including those of requests that are not idempotent.
func TestMaxCallTimeout_KeepsHungCallsWithinTheQuota(t *testing.T) {
	for _, quota := range []float64{0.44, 1, 4, 12} {
		s := testSettings()
		s.CallQuota = quota
		in, host := startInstance(t, s)
		in.now = 10 * time.Second
		in.accrueCallCredit() // up to the maximum
		busySeconds := 0.0
		for i := 0; i < 20 && in.canCall(); i++ {
			req := &request{class: &s.Classes[2], dueAt: time.Hour, state: awaitingCall}
			req.ID = fmt.Sprint(i)
			in.stateCount[awaitingCall]++
			in.call(req)
			timeout, err := time.ParseDuration(strings.Fields(host.actions[len(host.actions)-1])[2])
			if err != nil {
				t.Fatal(err)
			}
			busySeconds += (timeout + s.AbandonedCallDuration).Seconds()
		}
		if most := quota * s.CallQuotaWindow.Seconds(); busySeconds == 0 || busySeconds > most {
			t.Errorf("quota %v: hung calls take %.2f s of call time, want above 0 and at most %.2f s",
				quota, busySeconds, most)
		}
	}
}

// Overdrawn credit recovers at any quota. A quota of 0 counts as minCallQuota, because it may
// have been rounded down, so a call is still made eventually.
func TestMakeCalls_WaitsUntilOverdrawnCreditRecovers(t *testing.T) {
	for _, quota := range []float64{0, 0.3, 10} {
		s := testSettings()
		s.CallQuota = quota
		in, host := startInstance(t, s)
		in.callQuota.credit = -time.Second
		req := &request{class: &s.Classes[2], dueAt: time.Hour, state: awaitingCall}
		in.unfinished, in.stateCount[awaitingCall] = append(in.unfinished, req), 1
		if in.makeCalls(); host.count("call") != 0 {
			t.Errorf("quota %v: call made with overdrawn credit", quota)
		}
		in.now = 30 * time.Minute
		in.accrueCallCredit()
		if in.makeCalls(); host.count("call") != 1 {
			t.Errorf("quota %v: no call half an hour later, at a credit of %v", quota, in.callQuota.credit)
		}
	}
}

// Counting the expected calls for every waiting request made the cost of a decision grow
// with the number of waiting requests.
func TestExpectedCalls_CountsOncePerTransition(t *testing.T) {
	s := testSettings()
	s.CallQuota = 1
	in, _ := startInstance(t, s)
	check := func() {
		t.Helper()
		want := 0.0
		for _, req := range in.unfinished {
			switch req.state {
			case awaitingCall:
				want++
			case running:
				want += max(0, in.callQuota.callsPerRun[req.Class]-float64(req.callCount))
			}
		}
		if got := in.expectedCalls(); math.Abs(got-want) > 1e-9 {
			t.Errorf("expectedCalls = %v, want %v", got, want)
		}
	}
	for i := range 6 {
		in.RequestReceived(0, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
		in.Decide(0)
		check()
	}
	for i := range 6 {
		in.CallNeeded(ms, fmt.Sprint(i))
		check()
		in.Decide(ms)
		check()
	}
	in.callQuota.expectedCalls = 1e6 // only a new count overwrites it
	if in.expectedCalls() != 1e6 {
		t.Error("expectedCalls counted again without a transition")
	}
	in.CallDone(2*ms, "0", decision.Succeeded, ms)
	check()
	in.RunDone(3*ms, "0", decision.Succeeded, ms)
	check()
}

// Hung and abandoned calls reached the target concurrency, and all other calls waited,
// although the average was far below the quota.
func TestCanCall_SavedCreditAllowsMoreThanTheTarget(t *testing.T) {
	in, _ := startInstance(t, testSettings()) // a target of four calls in flight
	in.Decide(0)
	for range 4 {
		in.callQuota.abandoned = append(in.callQuota.abandoned, time.Hour)
	}
	in.callQuota.credit = time.Duration(in.targetCallConcurrency() * float64(callCreditWindow))
	if !in.canCall() {
		t.Error("canCall = false with four hung calls and full credit, want true")
	}
	for range 4 {
		in.callQuota.abandoned = append(in.callQuota.abandoned, time.Hour)
	}
	if in.canCall() {
		t.Error("canCall = true with eight hung calls and full credit, want false")
	}
	in.callQuota.credit, in.callQuota.abandoned = 0, in.callQuota.abandoned[:4]
	if in.canCall() {
		t.Error("canCall = true with four hung calls and no credit, want false")
	}
}

// The server's part of the fleet's quota limits the calls in flight at every instant.
// SetFleetBounds returns the number of calls that the server would make without a limit.
func TestSetFleetBounds_LimitsCallsInFlight(t *testing.T) {
	s := testSettings()
	s.Cores, s.CallQuota = 6, 20
	in, host := startInstance(t, s)
	for i := range 6 {
		id := string(rune('a' + i))
		in.RequestReceived(0, decision.Request{ID: id, Caller: i, ReservedKB: 1})
		in.Decide(0)
	}
	running := in.stateCount[running]
	if running < 3 {
		t.Fatalf("%d requests run, want at least 3", running)
	}
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: 0})
	for id := range in.requests {
		in.CallNeeded(ms, id)
	}
	in.Decide(ms)
	if n := host.count("call"); n != 0 {
		t.Errorf("%d calls at MaxCalls 0, want 0", n)
	}
	if wanted := in.SetFleetBounds(decision.FleetBounds{MaxCalls: 2}); wanted != running {
		t.Errorf("SetFleetBounds = %d, want %d", wanted, running)
	}
	in.Decide(2 * ms)
	if n := host.count("call"); n != 2 || in.targetCallConcurrency() > 2 {
		t.Errorf("MaxCalls 2: %d calls, target %v; want 2 calls, target at most 2",
			n, in.targetCallConcurrency())
	}
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: math.Inf(1)})
	in.Decide(3 * ms)
	if n := host.count("call"); n != running {
		t.Errorf("%d calls without a limit, want %d", n, running)
	}
}

func TestCallQuota_AccruesTargetLessCallsInFlight(t *testing.T) {
	const target = 2.0
	quota := callQuota{credit: -time.Second, abandoned: []time.Duration{250 * ms}}
	quota.accrue(500*ms, target, 1)
	if want := -500 * ms; quota.credit != want {
		t.Errorf("credit = %v with one call in flight, want %v", quota.credit, want)
	}
	if len(quota.abandoned) != 0 {
		t.Error("abandoned call counted after its end")
	}
	quota.accrue(time.Hour, target, 0)
	if want := 2 * callCreditWindow; quota.credit != want {
		t.Errorf("credit = %v after an idle hour, want %v", quota.credit, want)
	}
	for credit, want := range map[time.Duration]float64{
		-time.Second: target, 0: target,
		callCreditWindow: 1.5 * target, 2 * callCreditWindow: callBurstFactor * target,
	} {
		if quota.credit = credit; quota.burst(target) != want {
			t.Errorf("burst(%v) = %v at credit %v, want %v", target, quota.burst(target), credit, want)
		}
	}
}

func TestCallQuota_ExpectedWait(t *testing.T) {
	for _, test := range []struct {
		credit time.Duration
		calls  float64
		want   time.Duration
	}{
		{0, 0, 0},
		{0, 3, 150 * ms},
		{time.Second, 3, 0},
		{-time.Second, 3, 650 * ms},
	} {
		quota := callQuota{credit: test.credit, meanCallTime: 100 * ms}
		if got := quota.expectedWait(test.calls, 2); got != test.want {
			t.Errorf("credit %v: expectedWait(%v, 2) = %v, want %v", test.credit, test.calls, got, test.want)
		}
	}
}
