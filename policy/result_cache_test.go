package policy

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// One retry arrives in the batch of the first attempt, and one after its run.
func TestCacheResult_KeyedRequestRunsOnceAndRetriesAreNotShed(t *testing.T) {
	in, host := startInstance(t, testSettings())
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1, DuplicateOf: "a"})
	in.Decide(0)
	in.RunDone(500*ms, "a", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RequestReceived(time.Second, decision.Request{ID: "c", Class: 1, ReservedKB: 1, DuplicateOf: "a"})
	in.Decide(time.Second)
	if host.count("run") != 1 || host.count("reuse") != 2 || host.count("refuse") != 0 {
		t.Errorf("actions = %v, want one request run, two coalesced and none shed", host.actions)
	}
}
