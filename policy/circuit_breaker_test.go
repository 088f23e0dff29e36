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
	if !in.updateBreaker() || r.count("log below") != 1 {
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
	if in.updateBreaker() {
		t.Error("still broken after a good diagnostic")
	}
}

func TestCircuitBreakerStates(t *testing.T) {
	var b circuitBreaker
	now := time.Second
	failures := 0
	for ; !b.update(now) && failures < 100; failures++ {
		b.record(now, false)
	}
	if want := 7; failures != want { // 1 - 0.9^7 is the first over a half
		t.Fatalf("opened after %d failures, want %d", failures, want)
	}
	if b.update(now); !b.open {
		t.Fatal("a second update changed the state")
	}
	if b.update(now + breakerOpenDuration - 1); !b.open {
		t.Error("closed before its time")
	}
	if changed := b.update(now + breakerOpenDuration); !changed || b.open {
		t.Error("open after its time")
	}
	b.record(now, false)
	b.update(now)
	b.record(now, true)
	if changed := b.update(now); !changed || b.open {
		t.Error("open after a success")
	}
}
