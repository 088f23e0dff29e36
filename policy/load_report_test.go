package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// A credit that was divided among all of a thousand callers was too small for any of them to
// send. Its changes were below a fixed minimum, so that no new report was published.
func TestPublishLoad_DividesCreditAmongRecentCallersAndFollowsPressure(t *testing.T) {
	s := testSettings()
	s.LoadReportMode, s.Callers, s.LoadReportTTL = decision.LoadReportCredit, 1000, time.Second
	in, host := startInstance(t, s)
	for i := range 3 {
		in.RequestReceived(0, decision.Request{ID: string(rune('a' + i)), Caller: i, ReservedKB: 1})
	}
	in.Decide(0)
	in.Tick(ms, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	if want := in.maxInFlight() / 3; in.load.published != want {
		t.Fatalf("credit = %v with three recent callers, want %v", in.load.published, want)
	}
	published := host.count("say")
	for now := in.timerInterval; now < 300*ms; now += in.timerInterval {
		in.load.peak = 1
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 4})
	}
	if host.count("say") < published+5 {
		t.Errorf("%d load reports while the pressure rose, want at least 5", host.count("say")-published)
	}
	in.Tick(3*time.Second, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	if len(in.load.recentCallers) != 0 {
		t.Errorf("%d recent callers long after LoadReportTTL, want 0", len(in.load.recentCallers))
	}
}

// Callers that restart have new numbers. Old ones were removed only in LoadReportCredit mode,
// so in other modes each request searched all callers ever seen.
func TestPublishLoad_ForgetsCallersInEveryMode(t *testing.T) {
	in, _ := startInstance(t, testSettings())
	for i := range 1000 {
		now := time.Duration(i) * in.timerInterval
		in.RequestReceived(now, decision.Request{ID: string(rune('a' + i)), Caller: i, ReservedKB: 1})
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	}
	if len(in.load.recentCallers) > 100 {
		t.Errorf("%d recent callers, want at most 100", len(in.load.recentCallers))
	}
}

// A handshake for each attempt of many callers used two thirds of the cores. A full connection
// table rejects attempts unread, so idle connections are kept until the storm ends.
func TestAdjustIdleTimeout_KeepsConnectionsDuringHandshakeStorm(t *testing.T) {
	s := testSettings()
	s.Callers = 1000
	in, host := startInstance(t, s)
	lastTimeout := func(from, to time.Duration, runnable float64) string {
		for now := from; now < to; now += in.timerInterval {
			in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: runnable})
		}
		last := ""
		for _, action := range host.actions {
			if len(action) > 4 && action[:4] == "idle" {
				last = action
			}
		}
		return last
	}
	in.stateCount[running] = 1
	in.idle.requestsRead = 1
	if got := lastTimeout(time.Second, 4*time.Second, 1); got != "idle 10ms" {
		t.Fatalf("idle timeout without a storm: %q, want 10ms", got)
	}
	if got := lastTimeout(4*time.Second, 8*time.Second, 9); got != "idle 20s" {
		t.Fatalf("idle timeout in a storm: %q, want 20s", got)
	}
	if got := lastTimeout(8*time.Second, 12*time.Second, 1.3); got != "idle 20s" {
		t.Errorf("idle timeout at a reduced read share: %q, want 20s", got)
	}
	if got := lastTimeout(12*time.Second, 20*time.Second, 1); got != "idle 10ms" {
		t.Errorf("idle timeout after the storm: %q, want 10ms", got)
	}
}

// The idle timeout must stay long for a few callers, which reuse their connections. It must be
// short for a thousand: the connection table would be full long before they send again.
func TestAdjustIdleTimeout_KeepsConnectionsForFewCallers(t *testing.T) {
	for callers, want := range map[int]string{3: "", 1000: "idle 10ms"} {
		s := testSettings()
		s.Callers = callers
		in, host := startInstance(t, s)
		for i := range 50 {
			now := time.Duration(i+1) * 200 * ms
			in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
			in.Tick(now, 0, decision.Gauges{})
			in.Decide(now)
		}
		last := ""
		for _, action := range host.actions {
			if strings.HasPrefix(action, "idle") {
				last = action
			}
		}
		if last != want {
			t.Errorf("%d callers: last idle timeout %q, want %q", callers, last, want)
		}
	}
}

func TestIdleTimeout_StormHasHysteresis(t *testing.T) {
	var idle idleTimeout
	for _, test := range []struct {
		readShare float64
		want      bool
	}{
		{handshakeStormOnset, false},
		{0.61, true},
		{0.07, true},
		{handshakeStormClear, false},
		{0.07, false},
	} {
		if idle.updateHandshakeStorm(test.readShare); idle.handshakeStorm != test.want {
			t.Errorf("storm = %v at read share %v, want %v", idle.handshakeStorm, test.readShare, test.want)
		}
	}
}

func TestLoadReport_KeepsTheLatestTimeOfEachCaller(t *testing.T) {
	var report loadReport
	report.recordCaller(1, time.Second)
	report.recordCaller(2, 2*time.Second)
	report.recordCaller(1, 3*time.Second)
	want := []callerSeen{{2, 2 * time.Second}, {1, 3 * time.Second}}
	if !slices.Equal(report.recentCallers, want) {
		t.Errorf("recentCallers = %v, want %v", report.recentCallers, want)
	}
	report.removeCallersBefore(3 * time.Second)
	if want := []callerSeen{{1, 3 * time.Second}}; !slices.Equal(report.recentCallers, want) {
		t.Errorf("recentCallers = %v after removeCallersBefore, want %v", report.recentCallers, want)
	}
}
