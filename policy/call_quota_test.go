package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestAbandonedCallCountsAgainstTheQuota: a call whose request has failed keeps the
// dependency busy for a while. The shared dependency fell over when it was not counted.
func TestAbandonedCallCountsAgainstTheQuota(t *testing.T) {
	s := settings()
	s.CallQuota = 1
	in, r := start(t, s)
	for _, id := range []string{"a", "b"} {
		in.RequestReceived(0, decision.Request{ID: id, Class: 0, ReservedKB: 1, Deadline: 8 * time.Second})
	}
	in.Decide(0)
	in.CallNeeded(ms, "a")
	in.Decide(ms)
	in.CallNeeded(2*ms, "b")
	in.RunDone(10*ms, "a", decision.Cancelled, 0)
	in.Decide(10 * ms)
	if r.count("call b") != 0 {
		t.Errorf("b called while the abandoned call of a is at the dependency: %v", r.acts)
	}
	in.Decide(10*ms + s.AbandonedCallDuration)
	in.Decide(time.Second)
	if r.count("call b") != 1 {
		t.Errorf("b not called after the call of a left: %v", r.acts)
	}
}

// TestQuotaBelowOneCallIsKeptOnAverage: one call at a time is more than a quota of 0.3. Over
// a hundred servers that overloaded the dependency.
func TestQuotaBelowOneCallIsKeptOnAverage(t *testing.T) {
	s := settings()
	s.CallQuota, s.AbandonedCallDuration = 0.3, 0
	in, r := start(t, s)
	const took, day = 100 * ms, 60 * time.Second
	busy := time.Duration(0)
	for now := time.Duration(0); now < day; now += took {
		for _, q := range in.live {
			switch q.state {
			case callInFlight:
				busy += took
				in.CallDone(now, q.ID, decision.Succeeded, took)
				in.RunDone(now, q.ID, decision.Succeeded, took)
			case running:
				in.CallNeeded(now, q.ID)
			case awaitingCall:
				if q.answered {
					in.RunDone(now, q.ID, decision.Cancelled, 0)
				}
			}
		}
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(now), ReservedKB: 1, Deadline: now + 8*time.Second})
		in.Decide(now)
		r.acts = nil
	}
	mean := float64(busy) / float64(day)
	if want := in.targetCallConcurrency(); mean > 1.1*want || mean < 0.7*want {
		t.Errorf("mean of calls in flight %.3f, want about %.3f", mean, want)
	}
}

// TestHungCallsStayWithinTheQuota: if the dependency hangs, the calls of all servers hang at
// once. Their time-outs, those of requests that are not idempotent included, must fit the
// quota.
func TestHungCallsStayWithinTheQuota(t *testing.T) {
	for _, share := range []float64{0.44, 1, 4, 12} {
		s := settings()
		s.CallQuota = share
		in, r := start(t, s)
		in.now = 10 * time.Second
		in.accrueCallCredit() // saved as much as it may
		held := 0.0
		for i := 0; i < 20 && in.canCall(); i++ {
			q := &request{class: &s.Classes[2], dueAt: time.Hour, state: awaitingCall}
			q.ID = fmt.Sprint(i)
			in.count[awaitingCall]++
			in.call(q)
			d, err := time.ParseDuration(strings.Fields(r.acts[len(r.acts)-1])[2])
			if err != nil {
				t.Fatal(err)
			}
			held += (d + s.AbandonedCallDuration).Seconds()
		}
		if most := share * s.CallQuotaWindow.Seconds(); held == 0 || held > most {
			t.Errorf("share %v: calls that hang hold %.2f s of %.2f s", share, held, most)
		}
	}
}

// TestOverdrawnCreditHoldsCallsUntilItRecovers has calls made again in time at any quota:
// one of 0 is a rounded one, and lets a call go now and then.
func TestOverdrawnCreditHoldsCallsUntilItRecovers(t *testing.T) {
	for _, share := range []float64{0, 0.3, 10} {
		s := settings()
		s.CallQuota = share
		in, r := start(t, s)
		in.quota.credit = -time.Second
		q := &request{class: &s.Classes[2], dueAt: time.Hour, state: awaitingCall}
		in.live, in.count[awaitingCall] = append(in.live, q), 1
		if in.makeCalls(); r.count("call") != 0 {
			t.Errorf("share %v: a call on an overdrawn account", share)
		}
		in.now = 30 * time.Minute
		in.accrueCallCredit()
		if in.makeCalls(); r.count("call") != 1 {
			t.Errorf("share %v: no call half an hour later, credit %v", share, in.quota.credit)
		}
	}
}

// TestExpectedCallsAreCountedOnceBetweenTransitions: counted for each request that asked how
// long it would wait, they made decisions the dearer the more requests waited.
func TestExpectedCallsAreCountedOnceBetweenTransitions(t *testing.T) {
	s := settings()
	s.CallQuota = 1
	in, _ := start(t, s)
	check := func() {
		t.Helper()
		want := 0.0
		for _, q := range in.live {
			switch q.state {
			case awaitingCall:
				want++
			case running:
				want += max(0, in.quota.callsPerRun[q.Class]-float64(q.callCount))
			}
		}
		if got := in.expectedCalls(); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v calls to come, want %v", got, want)
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
	in.quota.expectedCalls = 1e6 // only a new count takes it away
	if in.expectedCalls() != 1e6 {
		t.Error("counted again without a move")
	}
	in.CallDone(2*ms, "0", decision.Succeeded, ms)
	check()
	in.RunDone(3*ms, "0", decision.Succeeded, ms)
	check()
}

// TestCreditLetsCallsPassThoseThatHang: calls that hang or are abandoned filled the target
// concurrency, and all others waited, though the average was far from the quota.
func TestCreditLetsCallsPassThoseThatHang(t *testing.T) {
	in, _ := start(t, settings()) // four in hand in the mean
	in.Decide(0)
	for range 4 {
		in.quota.abandoned = append(in.quota.abandoned, time.Hour)
	}
	in.quota.credit = time.Duration(in.targetCallConcurrency() * float64(callCreditWindow))
	if !in.canCall() {
		t.Error("nothing may be called behind four that hang, with all time saved up")
	}
	for range 4 {
		in.quota.abandoned = append(in.quota.abandoned, time.Hour)
	}
	if in.canCall() {
		t.Error("there is no bound to the calls in flight")
	}
	in.quota.credit, in.quota.abandoned = 0, in.quota.abandoned[:4]
	if in.canCall() {
		t.Error("what is over the pace may be called with no time saved up")
	}
}

// TestCallsKeepToTheFleetsBound has the calls bounded at every instant by the server's part
// of the fleet's budget, and the calls returned that it would make.
func TestCallsKeepToTheFleetsBound(t *testing.T) {
	s := settings()
	s.Cores, s.CallQuota = 6, 20
	in, r := start(t, s)
	for i := range 6 {
		id := string(rune('a' + i))
		in.RequestReceived(0, decision.Request{ID: id, Caller: i, ReservedKB: 1})
		in.Decide(0)
	}
	running := in.count[running]
	if running < 3 {
		t.Fatalf("%d run", running)
	}
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: 0})
	for id := range in.requests {
		in.CallNeeded(ms, id)
	}
	in.Decide(ms)
	if n := r.count("call"); n != 0 {
		t.Errorf("%d calls without a right", n)
	}
	if wanted := in.SetFleetBounds(decision.FleetBounds{MaxCalls: 2}); wanted != running {
		t.Errorf("%d wanted of %d", wanted, running)
	}
	in.Decide(2 * ms)
	if n := r.count("call"); n != 2 || in.targetCallConcurrency() > 2 {
		t.Errorf("%d calls with two rights, at a pace of %v", n, in.targetCallConcurrency())
	}
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: math.Inf(1)})
	in.Decide(3 * ms)
	if n := r.count("call"); n != running {
		t.Errorf("%d calls of %d without a bound", n, running)
	}
}

func TestCallQuotaAccruesCreditForTheTargetLessTheCallsInFlight(t *testing.T) {
	const target = 2.0
	q := callQuota{credit: -time.Second, abandoned: []time.Duration{250 * ms}}
	q.accrue(500*ms, target, 1)
	if want := -500 * ms; q.credit != want {
		t.Errorf("credit %v with one call in flight, want %v", q.credit, want)
	}
	if len(q.abandoned) != 0 {
		t.Error("an abandoned call is counted after its time")
	}
	q.accrue(time.Hour, target, 0)
	if want := 2 * callCreditWindow; q.credit != want {
		t.Errorf("credit %v saved up, want %v", q.credit, want)
	}
	for credit, want := range map[time.Duration]float64{
		-time.Second: target, 0: target, callCreditWindow: 1.5 * target, 2 * callCreditWindow: callBurstFactor * target,
	} {
		if q.credit = credit; q.burst(target) != want {
			t.Errorf("burst %v at credit %v, want %v", q.burst(target), credit, want)
		}
	}
}

func TestCallQuotaExpectedWait(t *testing.T) {
	for _, c := range []struct {
		credit time.Duration
		calls  float64
		want   time.Duration
	}{
		{0, 0, 0},
		{0, 3, 150 * ms},
		{time.Second, 3, 0},
		{-time.Second, 3, 650 * ms},
	} {
		q := callQuota{credit: c.credit, meanCallTime: 100 * ms}
		if got := q.expectedWait(c.calls, 2); got != c.want {
			t.Errorf("credit %v, %v calls: wait %v, want %v", c.credit, c.calls, got, c.want)
		}
	}
}
