package policy

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// A server that fails fast looks idle and attracts requests. One that hangs holds requests
// until their callers give up. Both must become unhealthy, and recover soon after the cause
// ends.
func TestHealth_BecomesBadOnFailuresOrHangsAndRecovers(t *testing.T) {
	for name, endBadly := range map[string]func(in *Instance, now time.Duration, id string){
		"fails fast": func(in *Instance, now time.Duration, id string) {
			in.RunDone(now, id, decision.Failed, 10*ms)
		},
		"hangs": func(*Instance, time.Duration, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			in, host := startInstance(t, testSettings())
			now := time.Duration(0)
			serve := func(id string, end func(*Instance, time.Duration, string)) {
				in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1, Deadline: now + 150*ms})
				in.Decide(now)
				now += 200 * ms
				end(in, now, id)
				in.Tick(now, 0, decision.Gauges{RunnableTasks: 1})
				in.Decide(now)
				in.RunDone(now, id, decision.Succeeded, 0) // ends a hung run
			}
			for i := range 20 {
				serve(fmt.Sprint("bad", i), endBadly)
			}
			if in.health.healthy || host.count("health false") != 1 {
				t.Fatalf("healthy = %v at error rate %v, want false and one report of it; actions = %v",
					in.health.healthy, in.health.errorRate, host.actions)
			}
			for i := range 40 {
				serve(fmt.Sprint("good", i), func(in *Instance, now time.Duration, id string) {
					in.RunDone(now, id, decision.Succeeded, 100*ms)
				})
			}
			if !in.health.healthy || host.count("health true") != 2 {
				t.Errorf("recovered: healthy = %v, error rate %v, want true and reported; actions = %v",
					in.health.healthy, in.health.errorRate, host.actions)
			}
		})
	}
}

// Good health was reported when one of two causes ended, while the other continued.
func TestHealth_StaysBadUntilTheLastCauseEnds(t *testing.T) {
	in, host := startInstance(t, testSettings())
	tick := func(now time.Duration) {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	in.health.errorRate, in.health.readLag = 1, 5
	tick(time.Second)
	if host.count("health false") != 1 {
		t.Fatalf("bad health not reported once: %v", host.actions)
	}
	in.health.errorRate = 0
	tick(time.Second + in.timerInterval)
	if host.count("health true") != 1 { // from the first batch
		t.Errorf("good health reported while reads lag: %v", host.actions)
	}
	for now := 2 * time.Second; now < 8*time.Second; now += in.timerInterval {
		tick(now)
	}
	if host.count("health true") != 2 {
		t.Errorf("good health not reported after both causes ended: %v", host.actions)
	}
}

// A read lag that is a large part of the latency objective makes every request useless once it
// is read. Bad health must then be reported, because the endpoint list reaches all callers, and
// a Retry-After only those with an answer.
func TestHealth_BecomesBadWhenReadsLag(t *testing.T) {
	in, host := startInstance(t, testSettings())
	for i := range 40 {
		now := time.Duration(i+1) * 50 * ms
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1, ReadLag: 3 * time.Second})
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if host.count("health false") == 0 {
		t.Errorf("bad health not reported at a read lag of 3 s: %v", host.actions)
	}
}

// An unhealthy instance must become healthy without requests: while the endpoint list omits it,
// it gets none that could show its recovery.
func TestHealth_RecoversWithoutRequests(t *testing.T) {
	in, host := startInstance(t, testSettings())
	in.health.errorRate = 1
	for now := in.timerInterval; now < 2*errorRateTimeConstant; now += in.timerInterval {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if host.count("health false") != 1 || !in.health.healthy {
		t.Errorf("healthy = %v after %v without requests, at error rate %v, want true and one earlier false",
			in.health.healthy, 2*errorRateTimeConstant, in.health.errorRate)
	}
}

func TestHealthMonitor_IgnoresLagSoonAfterAChange(t *testing.T) {
	const ignoredUntil = 10 * time.Second
	for _, test := range []struct {
		name      string
		healthy   bool
		errorRate float64
		now       time.Duration
		lagging   bool
		want      bool
	}{
		{"no cause", true, 0, 0, false, true},
		{"errors at the limit", true, unhealthyErrorRate, 0, false, true},
		{"errors above the limit", true, 0.41, 0, false, false},
		{"lag soon after a change", true, 0, ignoredUntil, true, true},
		{"lag long after a change", true, 0, ignoredUntil + 1, true, false},
		{"lag of an unhealthy instance", false, 0, 0, true, false},
		{"errors and ignored lag", true, 0.41, 0, true, false},
	} {
		monitor := healthMonitor{
			healthy: test.healthy, errorRate: test.errorRate, lagIgnoredUntil: ignoredUntil,
		}
		if got := monitor.evaluate(test.now, test.lagging); got != test.want {
			t.Errorf("%s: evaluate(%v, %v) = %v, want %v", test.name, test.now, test.lagging, got, test.want)
		}
	}
}
