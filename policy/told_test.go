package policy

import (
	"quincerail.example/quincerail/decision"
	"testing"
	"time"
)

// A credit of an even part for each of a thousand callers let nobody send, and so
// small a value never moved by the absolute step. The ones that heed it are those
// that heard it of late; pressure is told to them as it changes.
func TestCreditIsSharedByThoseThatHeardItAndFollowsThePressure(t *testing.T) {
	s := settings()
	s.Say, s.Callers, s.Heeded = decision.SayCredit, 1000, time.Second
	in, r := start(t, s)
	for i := range 3 {
		in.Request(0, decision.Request{ID: string(rune('a' + i)), From: i, HeldKB: 1})
	}
	in.Decide(0)
	in.Tick(ms, 0, decision.Gauges{CoreUse: 0.5, OnCores: 1})
	if want := in.crowdLimit() / 3; in.said != want {
		t.Fatalf("said %v to three callers, want %v each", in.said, want)
	}
	said := r.count("say")
	for now := in.gap; now < 300*ms; now += in.gap {
		in.pressed = 1
		in.Tick(now, 0, decision.Gauges{CoreUse: 1, OnCores: 4})
	}
	if r.count("say") < said+5 {
		t.Errorf("said %d times while the pressure rose", r.count("say")-said)
	}
	in.Tick(3*time.Second, 0, decision.Gauges{CoreUse: 0.5, OnCores: 1})
	if len(in.heard) != 0 {
		t.Errorf("%d callers counted long after they were heard", len(in.heard))
	}
}

// Callers that restart come with new numbers: remembered for good where there is no
// credit to share, they grew without end, and each request looked through them all.
func TestCallersAreForgotten(t *testing.T) {
	in, _ := start(t, settings())
	for i := range 1000 {
		now := time.Duration(i) * in.gap
		in.Request(now, decision.Request{ID: string(rune('a' + i)), From: i, HeldKB: 1})
		in.Tick(now, 0, decision.Gauges{CoreUse: 0.5, OnCores: 1})
	}
	if len(in.heard) > 100 {
		t.Errorf("%d callers are remembered", len(in.heard))
	}
}

// In a storm of tries from many callers a handshake for each took two thirds of the
// cores: a full table turns such tries away unread. It is kept until the storm is over.
func TestConnectionsAreKeptThroughAStormOfTries(t *testing.T) {
	s := settings()
	s.Callers = 1000
	in, r := start(t, s)
	last := func(from, to time.Duration, on float64) string {
		for now := from; now < to; now += in.gap {
			in.Tick(now, 0, decision.Gauges{CoreUse: 1, OnCores: on})
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
	in.reads = 1
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
		in.Request(now, decision.Request{ID: id, Class: 0, HeldKB: 10})
	}
	in.Decide(now)
	s.RunFactor, s.KeyKB = 2*s.RunFactor, 3*s.KeyKB
	if err := in.Retune(now, s); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		in.Done(now, id, decision.OK, 0)
	}
	in.Decide(now)
	for range 2 { // the keys that were kept go with their windows
		now += time.Hour
		in.Tick(now, 0, decision.Gauges{CoreUse: -1, OnCores: -1, Memory: -1, Conns: -1})
	}
	if in.memory != 0 {
		t.Errorf("%v KB are taken by nothing", in.memory)
	}
	if s.Classes = s.Classes[:len(s.Classes)-1]; in.Retune(now, s) == nil {
		t.Error("a class may lose its place")
	}
}
