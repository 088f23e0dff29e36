package policy

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestFailuresAndHangsFailTheHealthCheckAndRecover: a server that fails fast looks idle and
// attracts requests, one that hangs keeps them until their callers give up. Both recover
// soon after the cause ends.
func TestFailuresAndHangsFailTheHealthCheckAndRecover(t *testing.T) {
	for name, serveBadly := range map[string]func(in *Instance, now time.Duration, id string){
		"fails fast": func(in *Instance, now time.Duration, id string) { in.RunDone(now, id, decision.Failed, 10*ms) },
		"hangs":      func(*Instance, time.Duration, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			in, r := start(t, settings())
			now := time.Duration(0)
			serve := func(id string, end func(*Instance, time.Duration, string)) {
				in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1, Deadline: now + 150*ms})
				in.Decide(now)
				now += 200 * ms
				end(in, now, id)
				in.Tick(now, 0, decision.Gauges{RunnableTasks: 1})
				in.Decide(now)
				in.RunDone(now, id, decision.Succeeded, 0) // what hung ends unheard
			}
			for i := range 20 {
				serve(fmt.Sprint("bad", i), serveBadly)
			}
			if in.health.healthy || r.count("health false") != 1 {
				t.Fatalf("healthy %v, error rate %v: %v", in.health.healthy, in.health.errorRate, r.acts)
			}
			for i := range 40 {
				serve(fmt.Sprint("good", i), func(in *Instance, now time.Duration, id string) {
					in.RunDone(now, id, decision.Succeeded, 100*ms)
				})
			}
			if !in.health.healthy || r.count("health true") != 2 {
				t.Errorf("no recovery: share %v", in.health.errorRate)
			}
		})
	}
}

// TestHealthStaysBadUntilTheLastCauseEnds: a cause that ended reported good health while the
// other went on.
func TestHealthStaysBadUntilTheLastCauseEnds(t *testing.T) {
	in, r := start(t, settings())
	tick := func(now time.Duration) {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	in.health.errorRate, in.health.readLag = 1, 5
	tick(time.Second)
	if r.count("health false") != 1 {
		t.Fatalf("not unhealthy: %v", r.acts)
	}
	in.health.errorRate = 0
	tick(time.Second + in.timerInterval)
	if r.count("health true") != 1 { // that of the start
		t.Errorf("good while reads still lag: %v", r.acts)
	}
	for now := 2 * time.Second; now < 8*time.Second; now += in.timerInterval {
		tick(now)
	}
	if r.count("health true") != 2 {
		t.Errorf("no recovery once both are over: %v", r.acts)
	}
}

// TestLaggingReadsFailTheHealthCheck: reads that lag by much of an objective make all that
// is read useless. The endpoint list reaches all callers, a Retry-After only those that were
// just answered.
func TestLaggingReadsFailTheHealthCheck(t *testing.T) {
	in, r := start(t, settings())
	for i := range 40 {
		now := time.Duration(i+1) * 50 * ms
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1, Waited: 3 * time.Second})
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if r.count("health false") == 0 {
		t.Errorf("reads 3 s late and health good: %v", r.acts)
	}
}

// TestErrorRateDecaysWithoutRequests: an instance out of the endpoint list gets no requests
// that could show that it has recovered.
func TestErrorRateDecaysWithoutRequests(t *testing.T) {
	in, r := start(t, settings())
	in.health.errorRate = 1
	for now := in.timerInterval; now < 2*errorRateTimeConstant; now += in.timerInterval {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if r.count("health false") != 1 || !in.health.healthy {
		t.Errorf("healthy %v after %v without requests: error rate %v", in.health.healthy, 2*errorRateTimeConstant, in.health.errorRate)
	}
}

func TestHealthMonitorIgnoresLagSoonAfterAChange(t *testing.T) {
	const ignoredUntil = 10 * time.Second
	for _, c := range []struct {
		name      string
		healthy   bool
		errorRate float64
		now       time.Duration
		lagging   bool
		want      bool
	}{
		{"no cause", true, 0, 0, false, true},
		{"errors at the limit", true, unhealthyErrorRate, 0, false, true},
		{"errors", true, 0.41, 0, false, false},
		{"lag soon after a change", true, 0, ignoredUntil, true, true},
		{"lag later", true, 0, ignoredUntil + 1, true, false},
		{"lag goes on", false, 0, 0, true, false},
		{"errors and ignored lag", true, 0.41, 0, true, false},
	} {
		h := healthMonitor{healthy: c.healthy, errorRate: c.errorRate, lagIgnoredUntil: ignoredUntil}
		if got := h.judge(c.now, c.lagging); got != c.want {
			t.Errorf("%s: healthy %v, want %v", c.name, got, c.want)
		}
	}
}
