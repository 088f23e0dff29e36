package policy

import (
	"testing"

	"quincerail.example/quincerail/decision"
)

// TestRequestWithoutLateWeightEndsAtItsObjective: in overload most waste was late answers. A
// request whose late answer earns nothing frees its core at its objective.
func TestRequestWithoutLateWeightEndsAtItsObjective(t *testing.T) {
	s := settings()
	s.CancelMode, s.Cores = decision.CancelPause, 3
	s.Classes[1].LateWeight = 0.2
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "c", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.Decide(s.Classes[0].LatencyObjective)
	if r.count("refuse a") != 1 || r.count("halt a") != 1 {
		t.Errorf("an idempotent request past its objective goes on: %v", r.acts)
	}
	if r.count("fail b")+r.count("halt b")+r.count("refuse b") != 0 {
		t.Errorf("work that still earns was stopped: %v", r.acts)
	}
	if r.count("refuse c") != 0 {
		t.Errorf("a request that is not idempotent is shed after it ran: %v", r.acts)
	}
}

// TestRunningRequestIsAnsweredWithinTheDeadlineSlack: an answer before the deadline turned
// calls of the tier above into rejections, which taught its Optimizer nothing.
func TestRunningRequestIsAnsweredWithinTheDeadlineSlack(t *testing.T) {
	s := settings()
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1, Deadline: 100 * ms})
	in.Decide(0)
	in.Decide(100*ms - 1)
	if r.count("fail a") != 0 {
		t.Fatalf("failed before its due time: %v", r.acts)
	}
	in.Decide(100*ms + s.DeadlineSlack/2)
	if r.count("fail a") != 1 {
		t.Errorf("lost: %v", r.acts)
	}
}
