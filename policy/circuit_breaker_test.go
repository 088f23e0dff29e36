package policy

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestUpdateBreaker_OpenAllowsOnlyDiagnosticCalls(t *testing.T) {
	in, host := startInstance(t, testSettings())
	in.timeouts.optimizer = *filledOptimizer(100 * ms)
	callAt := func(now time.Duration, id string) {
		in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1})
		in.Decide(now)
		in.CallNeeded(now, id)
		in.Decide(now)
		if host.count("fail "+id) == 1 {
			in.RunDone(now, id, decision.Cancelled, 0)
		}
	}
	now := time.Second
	for i := range 8 {
		call := callProgress{timeout: timeoutChoice{final: true}}
		in.recordCall(&request{class: &in.settings.Classes[0], call: call}, decision.ConnectFailed, 0)
		in.now = now + time.Duration(i)
	}
	if !in.updateBreaker() || host.count("log below") != 1 {
		t.Fatalf("after 8 failures: breaker closed, or not logged as open; actions = %v", host.actions)
	}
	in.timeouts.idempotentCalls = 0
	for i := range diagnosticInterval {
		callAt(now+time.Duration(i), fmt.Sprint("r", i))
	}
	if host.count("call") != 1 || host.count("fail") != diagnosticInterval-1 {
		t.Fatalf("actions = %v, want one diagnostic call and all other requests failed", host.actions)
	}
	in.CallDone(now+100*ms, "r4", decision.Succeeded, 50*ms)
	if in.updateBreaker() {
		t.Error("breaker open after a diagnostic call succeeded")
	}
}

func TestCircuitBreaker_OpensOnFailuresAndCloses(t *testing.T) {
	var breaker circuitBreaker
	now := time.Second
	failures := 0
	for ; !breaker.update(now) && failures < 100; failures++ {
		breaker.record(now, false)
	}
	if want := 7; failures != want { // 1 - 0.9^n exceeds 0.5 first at n = 7
		t.Fatalf("breaker opened after %d failures, want %d", failures, want)
	}
	if breaker.update(now); !breaker.open {
		t.Fatal("breaker closed by a second update at the same time")
	}
	if breaker.update(now + breakerOpenDuration - 1); !breaker.open {
		t.Error("breaker closed before breakerOpenDuration")
	}
	if changed := breaker.update(now + breakerOpenDuration); !changed || breaker.open {
		t.Error("breaker open after breakerOpenDuration, or its change not reported")
	}
	breaker.record(now, false)
	breaker.update(now)
	breaker.record(now, true)
	if changed := breaker.update(now); !changed || breaker.open {
		t.Error("breaker open after a success, or its change not reported")
	}
}
