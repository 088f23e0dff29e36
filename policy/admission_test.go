package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestShedProbabilityRisesLinearly has the probability rise from half of the maximum queue
// wait of the oldest request of higher priority.
func TestShedProbabilityRisesLinearly(t *testing.T) {
	in, _ := start(t, settings())
	old := &request{class: &in.settings.Classes[1], dueAt: time.Hour, weight: 2, state: queued}
	in.queue = append(in.queue, old)
	low := &request{class: &in.settings.Classes[0], weight: 1, arrivedAt: time.Hour}
	maxWait := in.maxQueueWait(old)
	for share, want := range map[float64]float64{0.4: 0, 0.5: 0, 0.75: 0.5, 1: 1, 2: 1} {
		in.now = time.Duration(share * float64(maxWait))
		if got := in.shedProbability(low); math.Abs(got-want) > 1e-9 {
			t.Errorf("probability %v at %v of the maximum wait, want %v", got, share, want)
		}
	}
	high := &request{class: &in.settings.Classes[2], weight: 3, arrivedAt: time.Hour}
	if got := in.shedProbability(high); got != 0 {
		t.Errorf("chance %v by work that would run later, want 0", got)
	}
}

// TestArrivalIsShedWhileItCannotGetItsCall guards against requests that take cores up to
// their call and fail there, while requests that call nothing lack these cores.
func TestArrivalIsShedWhileItCannotGetItsCall(t *testing.T) {
	in, r := start(t, settings())
	in.quota.credit = -time.Minute
	in.RequestReceived(0, decision.Request{ID: "calls", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "plain", Class: 1, ReservedKB: 1})
	in.Decide(0)
	if r.count("refuse calls 0s true") != 1 {
		t.Errorf("want the one that calls shed, not to be retried, without a Retry-After: %v", r.acts)
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

// TestDegradableRequestIsNotShedForWantOfACall has a request that may skip its call
// admitted: it skips the call while the quota is far overdrawn, and waits for it when it is
// near.
func TestDegradableRequestIsNotShedForWantOfACall(t *testing.T) {
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

// TestFirstAttemptsRunBeforeRetries: a retry has used up part of its latency objective.
func TestFirstAttemptsRunBeforeRetries(t *testing.T) {
	s := settings()
	s.Cores = 1
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "again", ReservedKB: 1, Retry: true})
	in.RequestReceived(0, decision.Request{ID: "first", ReservedKB: 1})
	in.Decide(0)
	if r.count("run first") != 1 || r.count("run again") != 0 {
		t.Errorf("want the first attempt to run alone: %v", r.acts)
	}
}

// TestTenantWeightAllowsForChanceVariation: with few arrivals for each server, chance alone
// exceeds an even part of the quota; a tenant at several times its quota is still found.
func TestTenantWeightAllowsForChanceVariation(t *testing.T) {
	s := settings()
	s.Servers, s.Tenants, s.OverQuotaWeight = 300, []decision.Tenant{{Quota: 120}, {Quota: 120}}, 0.1
	in, _ := start(t, s)
	in.tenantArrivals[0], in.tenantArrivals[1] = 3, 9 // 2 are expected
	if got := in.tenantWeight(0); got != 1 {
		t.Errorf("share %v for one arrival more than expected", got)
	}
	if got := in.tenantWeight(1); got > 0.5 {
		t.Errorf("share %v at more than four times the quota", got)
	}
}

// TestSlowInstanceShedsAtOnceAndRecovers: an instance far slower than its peers held
// requests for half of their objective and advised against retries elsewhere. It must know
// that it is slow before a run has ended, and queue requests again once runs are quick.
func TestSlowInstanceShedsAtOnceAndRecovers(t *testing.T) {
	s := settings()
	s.Cores = 1
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "slow", ReservedKB: 1})
	in.Decide(0)
	now := 1900 * ms
	in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 1})
	in.load.pressure = 1
	in.RequestReceived(now, decision.Request{ID: "new", ReservedKB: 1, Waited: 150 * ms})
	in.Decide(now)
	if r.count("refuse new") != 1 || strings.HasSuffix(r.acts[len(r.acts)-1], "true") {
		t.Fatalf("want new sent on at once, free to be tried elsewhere: %v", r.acts)
	}
	in.RunDone(now, "slow", decision.Succeeded, now)
	in.load.pressure = 0
	for i := range 40 {
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
		in.Decide(now)
		now += 50 * ms
		in.RunDone(now, fmt.Sprint(i), decision.Succeeded, 50*ms)
	}
	if p := in.maxQueueWait(&request{class: &s.Classes[0], dueAt: time.Hour}); p != time.Second {
		t.Errorf("maximum wait %v after quick runs, want half of the objective", p)
	}
}
