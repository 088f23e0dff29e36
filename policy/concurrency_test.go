package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestAdjustConcurrencyLimit_StaysBetweenCoresAndMaxInFlight(t *testing.T) {
	in, _ := startInstance(t, testSettings())
	in.queue = []*request{{class: &in.settings.Classes[0]}}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 0.3, RunnableTasks: 1})
	}
	if got, want := in.concurrency.limit, in.maxInFlight(); got != want {
		t.Errorf("limit = %v with idle cores and queued requests, want maxInFlight: %v", got, want)
	}
	for range 1000 {
		in.adjustConcurrencyLimit(decision.Gauges{CoreUtilization: 1, RunnableTasks: 9})
	}
	if got, want := in.concurrency.limit, float64(in.settings.Cores); got < want || got > want+0.01 {
		t.Errorf("limit = %v with busy cores, want the number of cores: %v", got, want)
	}
}

func TestMaxInFlight_IsLowerAfterAColdStart(t *testing.T) {
	s := testSettings()
	s.SlowStart = true
	in, _ := startInstance(t, s)
	cold := in.maxInFlight()
	in.now = s.SlowStartDuration
	if warm := in.maxInFlight(); cold >= warm/2 {
		t.Errorf("maxInFlight = %v cold and %v warm, want cold less than half of warm", cold, warm)
	}
}

// When reads lag, every request is old by the time it is read. An instance that shed them all
// would only read. Requests must still run on idle cores, and the load report must show the
// lag.
func TestDecide_RunsRequestsWhileReadsLag(t *testing.T) {
	s := testSettings()
	s.LoadReportMode = decision.LoadReportWeight
	in, host := startInstance(t, s)
	now := 10 * time.Second
	for i := range 40 {
		now += 50 * ms
		in.Tick(now, 0, decision.Gauges{
			CoreUtilization: 1, RunnableTasks: 4, MemoryUtilization: -1, Connections: -1,
		})
		in.RequestReceived(now, decision.Request{
			ID: fmt.Sprint(i), Class: 1, ReservedKB: 1, ReadLag: 1800 * ms,
		})
		in.Decide(now)
	}
	if host.count("run") < s.Cores {
		t.Errorf("%d requests run while reads lag, want %d: %v", host.count("run"), s.Cores, host.actions)
	}
	if host.count("refuse") == 0 || in.load.published > 0.9 {
		t.Errorf("%d requests shed and load report %v while reads lag, want more than 0 and at most 0.9",
			host.count("refuse"), in.load.published)
	}
}

// Runs and reads share the cores. Once reads no longer lag, runs use all cores again.
func TestStartQueued_RunsFewerRequestsWhileReadsLag(t *testing.T) {
	in, host := startInstance(t, testSettings())
	in.health.readLag = 5
	for i := range 4 {
		in.RequestReceived(0, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
	}
	in.health.readLag = 5
	in.Decide(0)
	if host.count("run") != 1 {
		t.Fatalf("%d requests run at a read lag of 5 s, want 1", host.count("run"))
	}
	in.health.readLag = 0
	in.Decide(ms)
	if host.count("run") != in.settings.Cores {
		t.Errorf("%d requests run without read lag, want %d", host.count("run"), in.settings.Cores)
	}
}

// With few cores, a long run of low weight delayed requests of high weight until their latency
// objective. A run must not be preempted for a request of the same weight.
func TestPreemptFor_PausesAndResumesRunOfLowWeight(t *testing.T) {
	s := testSettings()
	s.Cores, s.CancelMode = 1, decision.CancelPause
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 1})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.RunDone(ms, "low", decision.Cancelled, ms)
	in.RequestReceived(ms, decision.Request{ID: "same", Class: 2, ReservedKB: 1})
	in.Decide(ms)
	if host.count("halt low") != 1 || host.count("run high") != 1 ||
		host.count("run same")+host.count("halt high") != 0 {
		t.Fatalf("actions = %v, want low preempted for high, and high not preempted for same", host.actions)
	}
	in.RunDone(500*ms, "high", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RunDone(900*ms, "same", decision.Succeeded, 400*ms)
	in.Decide(900 * ms)
	if host.count("run low") != 2 || host.count("fail low")+host.count("refuse low") != 0 {
		t.Errorf("actions = %v, want low resumed, and neither failed nor shed", host.actions)
	}
}

// A run was preempted for a request that lacked memory. The core stayed idle, and the next
// request preempted another run.
func TestPreemptFor_IgnoresRequestsThatLackMemory(t *testing.T) {
	s := testSettings()
	s.Cores, s.CancelMode, s.MemoryKB = 1, decision.CancelPause, 100
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 5})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 30})
	in.Decide(0)
	if host.count("run low") != 1 || host.count("halt")+host.count("run high") != 0 {
		t.Errorf("actions = %v, want low not preempted while high lacks memory", host.actions)
	}
	in.RunDone(ms, "low", decision.Succeeded, ms)
	in.RequestReceived(ms, decision.Request{ID: "small", ReservedKB: 1})
	in.Decide(ms)
	if host.count("run small") != 1 {
		t.Errorf("request that fits into memory not run: %v", host.actions)
	}
}

func TestConcurrencyLimit_Adjust(t *testing.T) {
	const cores, maxInFlight = 2.0, 4.0
	for _, test := range []struct {
		name          string
		limit         float64
		busy, waiting bool
		want          float64
	}{
		{"busy cores", 4, true, true, 3.9},
		{"requests wait", 3, false, true, 3.25},
		{"no requests wait", 3, false, false, 3},
		{"at maxInFlight", 4, false, true, 4},
		{"at the number of cores", 2, true, false, 2},
	} {
		concurrency := concurrencyLimit{limit: test.limit}
		concurrency.adjust(test.busy, test.waiting, cores, maxInFlight)
		if got := concurrency.limit; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%s: limit = %v, want %v", test.name, got, test.want)
		}
	}
}
