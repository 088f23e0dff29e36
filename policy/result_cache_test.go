package policy

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestKeyedRequestRunsOnceAndIsNotShedAfterwards sends retries in the same batch and after
// the run.
func TestKeyedRequestRunsOnceAndIsNotShedAfterwards(t *testing.T) {
	in, r := start(t, settings())
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1, DuplicateOf: "a"}) // in the same batch
	in.Decide(0)
	in.RunDone(500*ms, "a", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RequestReceived(time.Second, decision.Request{ID: "c", Class: 1, ReservedKB: 1, DuplicateOf: "a"})
	in.Decide(time.Second)
	if r.count("run") != 1 || r.count("reuse") != 2 || r.count("refuse") != 0 {
		t.Errorf("want one run, two coalesced, none shed; got %v", r.acts)
	}
}
