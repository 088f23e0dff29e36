package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// The probability of shedding rises linearly from half of the maximum queue wait of the
// oldest request of higher priority.
func TestShedProbability_RisesWithWaitOfHigherPriority(t *testing.T) {
	in, _ := startInstance(t, testSettings())
	old := &request{class: &in.settings.Classes[1], dueAt: time.Hour, weight: 2, state: queued}
	in.queue = append(in.queue, old)
	low := &request{class: &in.settings.Classes[0], weight: 1, arrivedAt: time.Hour}
	maxWait := in.maxQueueWait(old)
	for fraction, want := range map[float64]float64{0.4: 0, 0.5: 0, 0.75: 0.5, 1: 1, 2: 1} {
		in.now = time.Duration(fraction * float64(maxWait))
		if got := in.shedProbability(low); math.Abs(got-want) > 1e-9 {
			t.Errorf("shedProbability = %v after %v of the maximum wait, want %v", got, fraction, want)
		}
	}
	high := &request{class: &in.settings.Classes[2], weight: 3, arrivedAt: time.Hour}
	if got := in.shedProbability(high); got != 0 {
		t.Errorf("shedProbability = %v with only lower-priority requests queued, want 0", got)
	}
}

// While the credit is far overdrawn, a request that needs a call is shed when it arrives.
// Otherwise it would use cores until it needs the call and then fail for lack of credit, while
// requests without calls lack these cores.
func TestAdmit_ShedsCallingRequestsWhileCreditIsOverdrawn(t *testing.T) {
	in, host := startInstance(t, testSettings())
	in.callQuota.credit = -time.Minute
	in.RequestReceived(0, decision.Request{ID: "calls", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "plain", Class: 1, ReservedKB: 1})
	in.Decide(0)
	if host.count("refuse calls 0s true") != 1 {
		t.Errorf("actions = %v, want \"calls\" shed with Retry-After 0 and noRetryElsewhere", host.actions)
	}
	if host.count("run plain") != 1 {
		t.Errorf("the request without calls was not run: %v", host.actions)
	}
	in.RequestReceived(time.Minute, decision.Request{ID: "later", Class: 0, ReservedKB: 1})
	in.Decide(time.Minute)
	if host.count("run later") != 1 {
		t.Errorf("calling request not run a minute later, credit %v: %v", in.callQuota.credit, host.actions)
	}
}

// A request that may skip its call is admitted without credit. It skips the call if the
// credit is far overdrawn, and waits for it if the credit recovers soon.
func TestAdmit_RunsDegradableRequestWithoutCallCredit(t *testing.T) {
	for credit, want := range map[time.Duration]string{-time.Minute: "skip a", -ms: ""} {
		s := testSettings()
		s.Classes[0].DegradedWeight = 0.5
		in, host := startInstance(t, s)
		in.callQuota.credit = credit
		in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
		in.Decide(0)
		in.CallNeeded(0, "a")
		in.Decide(0)
		if host.count("run a") != 1 || host.count("skip a") != len(want)/len("skip a") {
			t.Errorf("credit %v: actions = %v, want \"run a\" and %q", credit, host.actions, want)
		}
	}
}

// A retry has a lower weight, because it has used part of its latency objective.
func TestStartQueued_RunsFirstAttemptsBeforeRetries(t *testing.T) {
	s := testSettings()
	s.Cores = 1
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "retry", ReservedKB: 1, Retry: true})
	in.RequestReceived(0, decision.Request{ID: "first", ReservedKB: 1})
	in.Decide(0)
	if host.count("run first") != 1 || host.count("run retry") != 0 {
		t.Errorf("actions = %v, want only the first attempt run", host.actions)
	}
}

// With few arrivals per server, random variation alone exceeds a server's part of the quota.
// A tenant at several times its quota must still lose weight.
func TestTenantWeight_ToleratesRandomVariation(t *testing.T) {
	s := testSettings()
	s.Servers, s.Tenants, s.OverQuotaWeight = 300, []decision.Tenant{{Quota: 120}, {Quota: 120}}, 0.1
	in, _ := startInstance(t, s)
	in.tenantArrivals[0], in.tenantArrivals[1] = 3, 9 // 2 are expected
	if got := in.tenantWeight(0); got != 1 {
		t.Errorf("tenantWeight = %v for one arrival more than expected, want 1", got)
	}
	if got := in.tenantWeight(1); got > 0.5 {
		t.Errorf("tenantWeight = %v at more than four times the quota, want at most 0.5", got)
	}
}

// An instance far slower than its peers queued requests for half of their objective and
// advised against retries elsewhere. It must detect that it is slow before a run has ended,
// and queue requests again once runs are fast.
func TestAdmit_SlowInstanceShedsAtOnceAndRecovers(t *testing.T) {
	s := testSettings()
	s.Cores = 1
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "slow", ReservedKB: 1})
	in.Decide(0)
	now := 1900 * ms
	in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 1})
	in.load.pressure = 1
	in.RequestReceived(now, decision.Request{ID: "new", ReservedKB: 1, ReadLag: 150 * ms})
	in.Decide(now)
	if host.count("refuse new") != 1 || strings.HasSuffix(host.actions[len(host.actions)-1], "true") {
		t.Fatalf("actions = %v, want \"new\" shed at once without noRetryElsewhere", host.actions)
	}
	in.RunDone(now, "slow", decision.Succeeded, now)
	in.load.pressure = 0
	for i := range 40 {
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
		in.Decide(now)
		now += 50 * ms
		in.RunDone(now, fmt.Sprint(i), decision.Succeeded, 50*ms)
	}
	if got := in.maxQueueWait(&request{class: &s.Classes[0], dueAt: time.Hour}); got != time.Second {
		t.Errorf("maxQueueWait = %v after fast runs, want half of the objective (%v)", got, time.Second)
	}
}
