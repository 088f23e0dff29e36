package server_test

import (
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// TestTakeover_ClaimOutlivesItsConnection guards against a key that runs twice because its client
// has left: on each frontend a client sends a keyed request to the predecessor and disconnects
// while it runs. The key comes again to the predecessor and, on both frontends, to the successor:
// all get the result of the one run, or fail where it is not replicated: results with fields are
// not (protocol/handover).
func TestTakeover_ClaimOutlivesItsConnection(t *testing.T) {
	for _, first := range serverFrontends {
		wantReplicated := map[string]string{"thrift": "served", "uwsgi": "failed"}[first.name]
		t.Run(first.name, func(t *testing.T) {
			_, inherit := newInheritedSocket(t)
			predecessor := newHarness(t, inherit)
			predecessor.work.Duration = 500 * time.Millisecond
			const key, body = "left", "gift of a client that left"
			left := first.ask(t, predecessor, "ny-gava", key, body)
			<-predecessor.work.Started()
			left.Disconnect()
			successor := newHarness(t, inherit)
			for sendCommand(t, successor.ControlAddr().String(), "check") != "done" {
				time.Sleep(time.Millisecond)
			}
			again := first.ask(t, predecessor, "ny-gava", key, body)
			attempts := map[string]*fakes.Attempt{}
			for _, f := range serverFrontends {
				attempts[f.name] = f.ask(t, successor, "ny-gava", key, body)
			}
			if got := outcome(t, again); got.Kind != "served" {
				t.Errorf("outcome at the predecessor = %s, want served", got.Kind)
			}
			for name, attempt := range attempts {
				got := outcome(t, attempt)
				atPredecessor := name == "thrift" && got.Kind == "served" // both accept from the inherited socket
				if got.Kind != wantReplicated && !atPredecessor {
					t.Errorf("outcome at the successor over %s = %s, want %s", name, got.Kind, wantReplicated)
				}
			}
			predecessor.startShutdown()
			<-predecessor.drained
			if got := outcome(t, first.ask(t, successor, "ny-gava", key, body)); got.Kind != wantReplicated {
				t.Errorf("outcome at the successor after the predecessor has stopped = %s, want %s", got.Kind, wantReplicated)
			}
			if a, b := predecessor.work.Runs(body), successor.work.Runs(body); a != 1 || b != 0 {
				t.Errorf("%d runs in the predecessor and %d in the successor, want 1 and 0", a, b)
			}
		})
	}
}
