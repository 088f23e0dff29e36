package policy

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestBreakerStopsOrdinaryCallsAndCloses(t *testing.T) {
	in, r := start(t, settings())
	in.timeouts.optimizer = *filledOptimizer(100 * ms)
	try := func(now time.Duration, id string) {
		in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1})
		in.Decide(now)
		in.CallNeeded(now, id)
		in.Decide(now)
		if r.count("fail "+id) == 1 {
			in.RunDone(now, id, decision.Cancelled, 0)
		}
	}
	now := time.Second
	for i := range 8 {
		in.recordCall(&request{class: &in.settings.Classes[0], call: callProgress{timeout: timeoutChoice{final: true}}}, decision.ConnectFailed, 0)
		in.now = now + time.Duration(i)
	}
	if !in.breakerOpen() || r.count("log below") != 1 {
		t.Fatalf("not broken after 8 failures: %v", r.acts)
	}
	in.timeouts.idempotentCalls = 0
	for i := range diagnosticInterval {
		try(now+time.Duration(i), fmt.Sprint("r", i))
	}
	if r.count("call") != 1 || r.count("fail") != diagnosticInterval-1 {
		t.Fatalf("want one diagnostic call and the rest failed: %v", r.acts)
	}
	in.CallDone(now+100*ms, "r4", decision.Succeeded, 50*ms)
	if in.breakerOpen() {
		t.Error("still broken after a good diagnostic")
	}
}
