package dispatch

import (
	"testing"
	"time"
)

func TestAnswersOnce(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "read", "")
		h.complete("a", RunSucceeded, "page")
		h.complete("a", RunSucceeded, "page again")
		h.CancelRequest("a", responder{h})
		h.wait()
		h.wantAnswer(t, "a", Served, "page")
	})
}

// TestDeadlineCountsFromArrival: the deadline of a request that is read late counts from its
// arrival at the machine.
func TestDeadlineCountsFromArrival(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		began := time.Now()
		h.mustSubmit(t, h.Core, Request{ID: "a", Class: "gift", Key: "k", ArrivedAt: began.Add(-4 * time.Second)})
		h.sleep(testDeadline)
		h.wantAnswer(t, "a", TimedOut, "")
		if took := h.answeredAt["a"].Sub(began); took > time.Second+testSlack {
			t.Errorf("answered after %v", took)
		}
		if len(h.cancelled) != 1 {
			t.Errorf("cancelled %v", h.cancelled)
		}
	})
}

// TestIDUsedAgain: a caller that uses an id again gets an answer, though the module ignores
// the second request.
func TestIDUsedAgain(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.complete("a", RunSucceeded, "thanks")
		h.answers = make(map[string][]Outcome)
		h.submit(t, "a", "read", "")
		h.sleep(testDeadline + testSlack)
		h.wantAnswer(t, "a", TimedOut, "")
	})
}

// TestDrainNoticeSeenLate: the drain notice is seen late, so that the grace seems to last
// longer than it does; what comes in the last moments of it does not run.
func TestDrainNoticeSeenLate(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.Drain(time.Now(), time.Now().Add(10*time.Second))
		h.sleep(testGrace - 100*time.Millisecond)
		h.submit(t, "a", "read", "")
		h.sleep(90 * time.Millisecond)
		h.submit(t, "b", "read", "")
		h.wantAnswer(t, "b", Shed, "")
		if h.starts["a"] != 1 || h.starts["b"] != 0 || h.accepting[len(h.accepting)-1] {
			t.Errorf("runs %v, accepting %v", h.starts, h.accepting)
		}
	})
}

// TestIDOfAnotherCaller: a caller that uses the id of another's open request is rejected, and
// can't cancel it.
func TestIDOfAnotherCaller(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		other := responder{&harness{answers: make(map[string][]Outcome), answeredAt: make(map[string]time.Time)}}
		h.mustSubmit(t, h.Core, Request{ID: "a", Class: "read", Responder: other})
		h.CancelRequest("a", other)
		h.wait()
		other.wantAnswer(t, "a", Rejected, "")
		if len(h.cancelled) > 0 {
			t.Error("another caller has cancelled its run")
		}
		h.complete("a", RunSucceeded, "thanks")
		h.wantAnswer(t, "a", Served, "thanks")
	})
}

// TestStaleArrivalTime: one request with a wrong arrival time must not make reads seem late
// by years, and so the server unhealthy.
func TestStaleArrivalTime(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.mustSubmit(t, h.Core, Request{ID: "a", Class: "read", ArrivedAt: time.UnixMilli(1)})
		h.sleep(time.Second)
		h.wantAnswer(t, "a", TimedOut, "")
		if !h.accepting[len(h.accepting)-1] {
			t.Error("the server reports itself as unhealthy")
		}
	})
}
