package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestConcurrencyLimitStaysBetweenCoresAndMaxInFlight(t *testing.T) {
	in, _ := start(t, settings())
	in.queue = []*request{{class: &in.settings.Classes[0]}}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 0.3, RunnableTasks: 1})
	}
	if got, want := in.concurrency.limit, in.maxInFlight(); got != want {
		t.Errorf("limit %v with idle cores and queued requests, want %v", got, want)
	}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 1, RunnableTasks: 9})
	}
	if got, want := in.concurrency.limit, float64(in.settings.Cores); got < want || got > want+0.01 {
		t.Errorf("limit %v with busy cores, want the cores %v", got, want)
	}
}

func TestColdInstanceHasFewerRequestsInFlight(t *testing.T) {
	s := settings()
	s.SlowStart = true
	in, _ := start(t, s)
	cold := in.maxInFlight()
	in.now = s.SlowStartDuration
	if warm := in.maxInFlight(); cold >= warm/2 {
		t.Errorf("%v requests in flight when cold, %v when warm", cold, warm)
	}
}

// TestRequestsRunWhileReadsLag: all that is read late is old. It runs on idle cores all the
// same, and the load report shows the lag: otherwise the instance would only read.
func TestRequestsRunWhileReadsLag(t *testing.T) {
	s := settings()
	s.LoadReportMode = decision.LoadReportWeight
	in, r := start(t, s)
	now := 10 * time.Second
	for i := range 40 {
		now += 50 * ms
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 4, MemoryUtilization: -1, Connections: -1})
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), Class: 1, ReservedKB: 1, Waited: 1800 * ms})
		in.Decide(now)
	}
	if r.count("run") < s.Cores {
		t.Errorf("cores idle while reads lag: %v", r.acts)
	}
	if r.count("refuse") == 0 || in.load.published > 0.9 {
		t.Errorf("%d refused, weight said %v: the lag is not told", r.count("refuse"), in.load.published)
	}
}

// TestFewerRequestsRunWhileReadsLag: runs and reads share the cores. Once reads are prompt
// the cores are filled again.
func TestFewerRequestsRunWhileReadsLag(t *testing.T) {
	in, r := start(t, settings())
	in.health.readLag = 5
	for i := range 4 {
		in.RequestReceived(0, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
	}
	in.health.readLag = 5
	in.Decide(0)
	if r.count("run") != 1 {
		t.Fatalf("%d run while reads are 5 s late", r.count("run"))
	}
	in.health.readLag = 0
	in.Decide(ms)
	if r.count("run") != in.settings.Cores {
		t.Errorf("%d run after reads have caught up", r.count("run"))
	}
}

// TestRunOfLowWeightIsPreemptedAndResumed: with few cores a long run of low weight held up
// requests of high weight until their objective. A run is not preempted for one of the same
// weight.
func TestRunOfLowWeightIsPreemptedAndResumed(t *testing.T) {
	s := settings()
	s.Cores, s.CancelMode = 1, decision.CancelPause
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 1})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.RunDone(ms, "low", decision.Cancelled, ms)
	in.RequestReceived(ms, decision.Request{ID: "same", Class: 2, ReservedKB: 1})
	in.Decide(ms)
	if r.count("halt low") != 1 || r.count("run high") != 1 || r.count("run same")+r.count("halt high") != 0 {
		t.Fatalf("want low paused for high alone: %v", r.acts)
	}
	in.RunDone(500*ms, "high", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RunDone(900*ms, "same", decision.Succeeded, 400*ms)
	in.Decide(900 * ms)
	if r.count("run low") != 2 || r.count("fail low")+r.count("refuse low") != 0 {
		t.Errorf("what was paused is not taken up again: %v", r.acts)
	}
}

// TestNoRunIsPreemptedForARequestThatCannotStart: a run was preempted for a request that had
// no room in memory, so the core stood idle and the next request preempted another.
func TestNoRunIsPreemptedForARequestThatCannotStart(t *testing.T) {
	s := settings()
	s.Cores, s.CancelMode, s.MemoryKB = 1, decision.CancelPause, 100
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 5})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 30})
	in.Decide(0)
	if r.count("run low") != 1 || r.count("halt")+r.count("run high") != 0 {
		t.Errorf("want low to go on while high has no room: %v", r.acts)
	}
	in.RunDone(ms, "low", decision.Succeeded, ms)
	in.RequestReceived(ms, decision.Request{ID: "small", ReservedKB: 1})
	in.Decide(ms)
	if r.count("run small") != 1 {
		t.Errorf("work that has room does not run: %v", r.acts)
	}
}

func TestConcurrencyLimitAdjusts(t *testing.T) {
	const cores, maxInFlight = 2.0, 4.0
	for _, c := range []struct {
		name          string
		limit         float64
		busy, waiting bool
		want          float64
	}{
		{"busy", 4, true, true, 3.9},
		{"requests wait", 3, false, true, 3.25},
		{"nothing waits", 3, false, false, 3},
		{"at the upper bound", 4, false, true, 4},
		{"at the lower bound", 2, true, false, 2},
	} {
		l := concurrencyLimit{limit: c.limit}
		if l.adjust(c.busy, c.waiting, cores, maxInFlight); math.Abs(l.limit-c.want) > 1e-9 {
			t.Errorf("%s: limit %v, want %v", c.name, l.limit, c.want)
		}
	}
}
