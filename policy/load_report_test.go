package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestCreditIsDividedAmongRecentCallersAndFollowsThePressure: an even part for each of a
// thousand callers let nobody send, and so small a value never changed by an absolute step.
func TestCreditIsDividedAmongRecentCallersAndFollowsThePressure(t *testing.T) {
	s := settings()
	s.LoadReportMode, s.Callers, s.LoadReportTTL = decision.LoadReportCredit, 1000, time.Second
	in, r := start(t, s)
	for i := range 3 {
		in.RequestReceived(0, decision.Request{ID: string(rune('a' + i)), Caller: i, ReservedKB: 1})
	}
	in.Decide(0)
	in.Tick(ms, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	if want := in.maxInFlight() / 3; in.load.published != want {
		t.Fatalf("published %v to three callers, want %v each", in.load.published, want)
	}
	said := r.count("say")
	for now := in.timerInterval; now < 300*ms; now += in.timerInterval {
		in.load.peak = 1
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 4})
	}
	if r.count("say") < said+5 {
		t.Errorf("said %d times while the pressure rose", r.count("say")-said)
	}
	in.Tick(3*time.Second, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	if len(in.load.recentCallers) != 0 {
		t.Errorf("%d callers counted long after they were heard", len(in.load.recentCallers))
	}
}

// TestCallersAreForgotten: callers that restart come with new numbers. Without a credit to
// divide they were kept for good, and each request searched all of them.
func TestCallersAreForgotten(t *testing.T) {
	in, _ := start(t, settings())
	for i := range 1000 {
		now := time.Duration(i) * in.timerInterval
		in.RequestReceived(now, decision.Request{ID: string(rune('a' + i)), Caller: i, ReservedKB: 1})
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	}
	if len(in.load.recentCallers) > 100 {
		t.Errorf("%d callers are remembered", len(in.load.recentCallers))
	}
}

// TestIdleConnectionsAreKeptInAHandshakeStorm: a handshake for each attempt of many callers
// took two thirds of the cores. A full connection table turns attempts away unread; it is
// kept until the storm is over.
func TestIdleConnectionsAreKeptInAHandshakeStorm(t *testing.T) {
	s := settings()
	s.Callers = 1000
	in, r := start(t, s)
	last := func(from, to time.Duration, on float64) string {
		for now := from; now < to; now += in.timerInterval {
			in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: on})
		}
		act := ""
		for _, a := range r.acts {
			if len(a) > 4 && a[:4] == "idle" {
				act = a
			}
		}
		return act
	}
	in.count[running] = 1
	in.idle.requestsRead = 1
	if got := last(time.Second, 4*time.Second, 1); got != "idle 10ms" {
		t.Fatalf("no storm: %q", got)
	}
	if got := last(4*time.Second, 8*time.Second, 9); got != "idle 20s" {
		t.Fatalf("storm: %q", got)
	}
	if got := last(8*time.Second, 12*time.Second, 1.3); got != "idle 20s" {
		t.Errorf("some reads are left: %q", got)
	}
	if got := last(12*time.Second, 20*time.Second, 1); got != "idle 10ms" {
		t.Errorf("after the storm: %q", got)
	}
}

// TestIdleConnectionsAreKeptOnlyForCallersThatComeBack: a connection table costs cores and
// is full long before a thousand callers come back; a few callers reuse theirs.
func TestIdleConnectionsAreKeptOnlyForCallersThatComeBack(t *testing.T) {
	for callers, want := range map[int]string{3: "", 1000: "idle 10ms"} {
		s := settings()
		s.Callers = callers
		in, r := start(t, s)
		for i := range 50 {
			now := time.Duration(i+1) * 200 * ms
			in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
			in.Tick(now, 0, decision.Gauges{})
			in.Decide(now)
		}
		last := ""
		for _, a := range r.acts {
			if strings.HasPrefix(a, "idle") {
				last = a
			}
		}
		if last != want {
			t.Errorf("%d callers: %q, want %q", callers, last, want)
		}
	}
}

func TestIdleTimeoutStormHasHysteresis(t *testing.T) {
	var idle idleTimeout
	for _, c := range []struct {
		readShare float64
		want      bool
	}{
		{handshakeStormOnset, false},
		{0.61, true},
		{0.07, true},
		{handshakeStormClear, false},
		{0.07, false},
	} {
		if idle.updateStorm(c.readShare); idle.storm != c.want {
			t.Errorf("storm %v at a share of %v, want %v", idle.storm, c.readShare, c.want)
		}
	}
}

func TestLoadReportRemembersACallerOnceWithItsLatestTime(t *testing.T) {
	var l loadReport
	l.recordCaller(1, time.Second)
	l.recordCaller(2, 2*time.Second)
	l.recordCaller(1, 3*time.Second)
	if want := []callerSeen{{2, 2 * time.Second}, {1, 3 * time.Second}}; !slices.Equal(l.recentCallers, want) {
		t.Errorf("%v, want %v", l.recentCallers, want)
	}
	l.forgetCallers(3 * time.Second)
	if want := []callerSeen{{1, 3 * time.Second}}; !slices.Equal(l.recentCallers, want) {
		t.Errorf("%v, want %v", l.recentCallers, want)
	}
}
