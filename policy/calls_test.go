package policy

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// fill gives an optimizer whose buffer holds the latencies in turn.
func fill(latencies ...time.Duration) *optimizer {
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
	if o := fill(100 * ms); !slices.Equal(o.sequence, []time.Duration{100 * ms}) {
		t.Errorf("sequence %v, want only the latency seen", o.sequence)
	}
}

// Older half slow at 2 s, newer half at 100 ms. By weight the newer half holds
// three quarters: waiting to the end of the quick bin and trying again costs
// about 0.15 + 0.25 (0.15 + E) + g, far less than sitting out the slow ones.
func TestOptimizerCutsOffASlowMode(t *testing.T) {
	o := fill(2*time.Second, 100*ms)
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
	o := fill(100 * ms)
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

func TestEmptyRetryBudgetFailsOrSkips(t *testing.T) {
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
			t.Fatalf("no repeat within the budget: %v", r.acts)
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

func TestBreakerStopsOrdinaryCallsAndCloses(t *testing.T) {
	in, r := start(t, settings())
	in.timeouts.optimizer = *fill(100 * ms)
	try := func(now time.Duration, id string) {
		in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1})
		in.Decide(now)
		in.CallNeeded(now, id)
		in.Decide(now)
		if r.count("fail "+id) == 1 {
			in.RunDone(now, id, decision.Cancelled, 0)
		}
	}
	now := time.Second
	for i := range 8 {
		in.recordCall(&request{class: &in.settings.Classes[0], call: callProgress{timeout: timeoutChoice{final: true}}}, decision.ConnectFailed, 0)
		in.now = now + time.Duration(i)
	}
	if !in.breakerOpen() || r.count("log below") != 1 {
		t.Fatalf("not broken after 8 failures: %v", r.acts)
	}
	in.timeouts.idempotentCalls = 0
	for i := range diagnosticInterval {
		try(now+time.Duration(i), fmt.Sprint("r", i))
	}
	if r.count("call") != 1 || r.count("fail") != diagnosticInterval-1 {
		t.Fatalf("want one diagnostic call and the rest failed: %v", r.acts)
	}
	in.CallDone(now+100*ms, "r4", decision.Succeeded, 50*ms)
	if in.breakerOpen() {
		t.Error("still broken after a good diagnostic")
	}
}

func TestRefusalChanceRisesLinearly(t *testing.T) {
	in, _ := start(t, settings())
	old := &request{class: &in.settings.Classes[1], dueAt: time.Hour, weight: 2, state: queued}
	in.queue = append(in.queue, old)
	low := &request{class: &in.settings.Classes[0], weight: 1, arrivedAt: time.Hour}
	aim := in.maxQueueWait(old)
	for share, want := range map[float64]float64{0.4: 0, 0.5: 0, 0.75: 0.5, 1: 1, 2: 1} {
		in.now = time.Duration(share * float64(aim))
		if got := in.shedProbability(low); math.Abs(got-want) > 1e-9 {
			t.Errorf("chance %v at %v of the patience, want %v", got, share, want)
		}
	}
	high := &request{class: &in.settings.Classes[2], weight: 3, arrivedAt: time.Hour}
	if got := in.shedProbability(high); got != 0 {
		t.Errorf("chance %v by work that would run later, want 0", got)
	}
}

func TestRunLimitStaysBetweenCoresAndCrowd(t *testing.T) {
	in, _ := start(t, settings())
	in.queue = []*request{{class: &in.settings.Classes[0]}}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 0.3, RunnableTasks: 1})
	}
	if got, want := in.concurrency.limit, in.maxInFlight(); got != want {
		t.Errorf("limit %v with idle cores and waiting work, want the crowd %v", got, want)
	}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 1, RunnableTasks: 9})
	}
	if got, want := in.concurrency.limit, float64(in.settings.Cores); got < want || got > want+0.01 {
		t.Errorf("limit %v with busy cores, want the cores %v", got, want)
	}
}

func TestColdStartCarriesLess(t *testing.T) {
	s := settings()
	s.SlowStart = true
	in, _ := start(t, s)
	cold := in.maxInFlight()
	in.now = s.SlowStartDuration
	if warm := in.maxInFlight(); cold >= warm/2 {
		t.Errorf("cold crowd %v, warm %v", cold, warm)
	}
}

func TestDrainRefusesWhatComesAfterTheGraceAndAnswersAll(t *testing.T) {
	s := settings()
	in, r := start(t, s)
	in.Drain(0, 4*time.Second)
	in.RequestReceived(time.Second, decision.Request{ID: "early", Class: 1, ReservedKB: 1})
	in.Decide(time.Second)
	in.RequestReceived(3*time.Second, decision.Request{ID: "late", Class: 1, ReservedKB: 1})
	in.Decide(3 * time.Second)
	if r.count("run early") != 1 || r.count("refuse late") != 1 {
		t.Errorf("want early run and late refused: %v", r.acts)
	}
	in.Decide(4*time.Second - in.timerInterval)
	if r.count("fail early") != 1 {
		t.Errorf("running work without an answer at the stop: %v", r.acts)
	}
}

// One call at a time is more than a told share of 0.3: over a hundred servers it
// felled the dependency. The account makes it a rest, in proportion to the call.
func TestCallsBelowAShareOfOneRestInProportion(t *testing.T) {
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
		t.Errorf("mean of calls in hand %.3f, want about %.3f", mean, want)
	}
}

// Work that can't get its call ran up to it and failed there, while work that
// calls nothing lost its cores. Once calls are to be had it is taken again.
func TestNewcomerThatCannotGetItsCallIsTurnedAwayUntilItCan(t *testing.T) {
	in, r := start(t, settings())
	in.quota.credit = -time.Minute
	in.RequestReceived(0, decision.Request{ID: "calls", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "plain", Class: 1, ReservedKB: 1})
	in.Decide(0)
	if r.count("refuse calls 0s true") != 1 {
		t.Errorf("want the one that calls turned away for good and without advice: %v", r.acts)
	}
	if r.count("run plain") != 1 {
		t.Errorf("the one that calls nothing does not run: %v", r.acts)
	}
	in.RequestReceived(time.Minute, decision.Request{ID: "later", Class: 0, ReservedKB: 1})
	in.Decide(time.Minute)
	if r.count("run later") != 1 {
		t.Errorf("no recovery, credit %v: %v", in.quota.credit, r.acts)
	}
}

// If what lies below hangs, calls of all servers hang at once: their time-outs,
// those of work that can't be repeated included, must fit the told share.
func TestCallsThatAllHangStayUnderTheShare(t *testing.T) {
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

// Standing work waits out an overdrawn account, whatever its size: also a told
// share of nothing, which is a rounded one, lets a call go now and then.
func TestOverdrawnAccountHoldsCallsAndRecovers(t *testing.T) {
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

// Want of a call turned a fifth of all work away where an answer without the call
// earns most of the worth. Such work is run and leaves its call out while the
// account is far overdrawn; it waits for its call when that is near.
func TestWorkThatMayLeaveItsCallOutIsNotRefusedForWantOfOne(t *testing.T) {
	for credit, want := range map[time.Duration]string{-time.Minute: "skip a", -ms: ""} {
		s := settings()
		s.Classes[0].DegradedWeight = 0.5
		in, r := start(t, s)
		in.quota.credit = credit
		in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
		in.Decide(0)
		in.CallNeeded(0, "a")
		in.Decide(0)
		if r.count("run a") != 1 || r.count("skip a") != len(want)/len("skip a") {
			t.Errorf("credit %v: want it run and %q: %v", credit, want, r.acts)
		}
	}
}

// One call in sixty of 11 ms was cut off at 40 ms and then stayed below for 200 ms,
// which the account pays: an eighth of all calls was left out for it. Quick calls
// bring the time-out down to the stay of a given-up call, not under it.
func TestControllerGivesUpNoSoonerThanAGivenUpCallStays(t *testing.T) {
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

// A crowd of runs that stand at their calls was counted anew for each that asked how
// long it would wait: the dearer a decision, the more the crowd grew. It is counted
// once between two moves, and must be right after each.
func TestCallsToComeAreCountedOnceBetweenTwoMoves(t *testing.T) {
	s := settings()
	s.CallQuota = 1
	in, _ := start(t, s)
	check := func() {
		t.Helper()
		want := 0.0
		for _, q := range in.live {
			if q.state == awaitingCall {
				want++
			} else if q.state == running {
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

// Calls that hang or linger filled the number that might be in hand, and all others
// stood behind them, though the mean was far from its bound. Time that is saved up
// lets more be made, until it is spent.
func TestSavedUpTimeLetsCallsPassThoseThatHang(t *testing.T) {
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
		t.Error("there is no bound to the calls in hand")
	}
	in.quota.credit, in.quota.abandoned = 0, in.quota.abandoned[:4]
	if in.canCall() {
		t.Error("what is over the pace may be called with no time saved up")
	}
}
