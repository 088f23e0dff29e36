package policy

import (
	"math"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// A credit of an even part for each of a thousand callers let nobody send, and so
// small a value never moved by the absolute step. The ones that heed it are those
// that heard it of late; pressure is told to them as it changes.
func TestCreditIsSharedByThoseThatHeardItAndFollowsThePressure(t *testing.T) {
	s := settings()
	s.LoadReportMode, s.Callers, s.LoadReportTTL = decision.LoadReportCredit, 1000, time.Second
	in, r := start(t, s)
	for i := range 3 {
		in.RequestReceived(0, decision.Request{ID: string(rune('a' + i)), Caller: i, ReservedKB: 1})
	}
	in.Decide(0)
	in.Tick(ms, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
	if want := in.maxInFlight() / 3; in.load.published != want {
		t.Fatalf("said %v to three callers, want %v each", in.load.published, want)
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

// Callers that restart come with new numbers: remembered for good where there is no
// credit to share, they grew without end, and each request looked through them all.
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

// In a storm of tries from many callers a handshake for each took two thirds of the
// cores: a full table turns such tries away unread. It is kept until the storm is over.
func TestConnectionsAreKeptThroughAStormOfTries(t *testing.T) {
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

// TestRetuneKeepsCountOfMemory guards the account of the memory when the figures
// that it goes by change under what is in hand: it would never be level again.
func TestRetuneKeepsCountOfMemory(t *testing.T) {
	s := settings()
	in, _ := start(t, s)
	now := time.Second
	for _, id := range []string{"a", "b"} {
		in.RequestReceived(now, decision.Request{ID: id, Class: 0, ReservedKB: 10})
	}
	in.Decide(now)
	s.RunningMemoryFactor, s.KeyMemoryKB = 2*s.RunningMemoryFactor, 3*s.KeyMemoryKB
	if err := in.UpdateSettings(now, s); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		in.RunDone(now, id, decision.Succeeded, 0)
	}
	in.Decide(now)
	for range 2 { // the keys that were kept go with their windows
		now += time.Hour
		in.Tick(now, 0, decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1})
	}
	if in.reservedKB != 0 {
		t.Errorf("%v KB are taken by nothing", in.reservedKB)
	}
	if s.Classes = s.Classes[:len(s.Classes)-1]; in.UpdateSettings(now, s) == nil {
		t.Error("a class may lose its place")
	}
}

// A server's part of the fleet's budget bounds its calls at every instant, and is
// none where it has heard nothing for too long; what it would make is told.
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

// A repeat that the fleet has no room for waits, and is looked at again: each that
// is made took one of the fleet's.
func TestRepeatsKeepToTheFleetsBound(t *testing.T) {
	in, r := start(t, settings())
	left := 0
	in.SetFleetBounds(decision.FleetBounds{MaxCalls: math.Inf(1), AcquireRetry: func() bool { left--; return left >= 0 }})
	in.RequestReceived(0, decision.Request{ID: "a", ReservedKB: 1})
	in.Decide(0)
	in.CallNeeded(0, "a")
	in.Decide(0)
	in.CallDone(ms, "a", decision.Rejected, ms)
	run := func(from, to time.Duration) {
		for now := from; now < to; now += in.timerInterval {
			in.Tick(now, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
			in.Decide(now)
		}
	}
	run(ms, 400*ms)
	if n := r.count("call"); n != 1 || left > -2 {
		t.Fatalf("%d calls, asked %d times", n, -left)
	}
	left = 1
	run(400*ms, 800*ms)
	if n := r.count("call"); n != 2 {
		t.Errorf("%d calls once there was room", n)
	}
}
