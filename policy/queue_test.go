package policy

import (
	"testing"

	"quincerail.example/quincerail/decision"
)

// In overload, late answers wasted the most core time. A request whose late answer earns
// nothing must free its core at the end of its latency objective.
func TestExpireDeadlines_EndsRequestWithoutLateWeightAtItsObjective(t *testing.T) {
	s := testSettings()
	s.CancelMode, s.Cores = decision.CancelPause, 3
	s.Classes[1].LateWeight = 0.2
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "c", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.Decide(s.Classes[0].LatencyObjective)
	if host.count("refuse a") != 1 || host.count("halt a") != 1 {
		t.Errorf("idempotent request not shed and cancelled at its objective: %v", host.actions)
	}
	if host.count("fail b")+host.count("halt b")+host.count("refuse b") != 0 {
		t.Errorf("request with LateWeight ended at its objective: %v", host.actions)
	}
	if host.count("refuse c") != 0 {
		t.Errorf("request that is not idempotent shed after it ran: %v", host.actions)
	}
}

// An answer before the deadline turned calls of the tier above into rejections, which give the
// Optimizer of that tier no latency.
func TestExpireDeadlines_FailsRunningRequestWithinDeadlineSlack(t *testing.T) {
	s := testSettings()
	in, host := startInstance(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1, Deadline: 100 * ms})
	in.Decide(0)
	in.Decide(100*ms - 1)
	if host.count("fail a") != 0 {
		t.Fatalf("request failed before its deadline: %v", host.actions)
	}
	in.Decide(100*ms + s.DeadlineSlack/2)
	if host.count("fail a") != 1 {
		t.Errorf("request not failed within DeadlineSlack after its deadline: %v", host.actions)
	}
}
