package dispatch

import (
	"testing"
	"time"
)

// TestCancelRequest_KeyDoesNotRunAgain cancels a keyed run, which may have had its effect.
// Within the window, an attempt of its key is neither run nor shed, but fails.
func TestCancelRequest_KeyDoesNotRunAgain(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.CancelRequest("a", responder{h})
		h.wait()
		h.sleep(testWindow - time.Second)
		h.submit(t, "b", "gift", "k")
		h.wantAnswer(t, "b", Failed, "")
		h.sleep(2 * time.Second)
		h.submit(t, "c", "gift", "k")
		if h.starts["b"] != 0 || h.starts["c"] != 1 {
			t.Errorf("starts = %v, want only a and c", h.starts)
		}
	})
}

// TestCallerDisconnected_KeyedRunContinues ends the callers' connections during runs. A keyed
// run continues until its deadline, because a retry must get its result instead of running; other
// runs are cancelled.
func TestCallerDisconnected_KeyedRunContinues(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "read", "")
		h.CallerDisconnected("a", responder{h})
		h.CallerDisconnected("b", responder{h})
		h.wait()
		if len(h.cancelled) != 1 || h.cancelled[0] != "b" {
			t.Errorf("cancelled = %v, want only b", h.cancelled)
		}
		h.submit(t, "c", "gift", "k")
		h.completeRun("a", RunSucceeded, "thanks")
		h.submit(t, "d", "gift", "k")
		for _, id := range []string{"c", "d"} {
			h.wantAnswer(t, id, Served, "thanks")
		}
		if len(h.answers["a"]) > 0 {
			t.Errorf("answers to request a, whose caller has disconnected = %v, want none", h.answers["a"])
		}
		h.submit(t, "e", "gift", "k2")
		h.CallerDisconnected("e", responder{h})
		h.sleep(testDeadline + testSlack)
		if len(h.cancelled) != 2 || h.cancelled[1] != "e" {
			t.Errorf("cancelled = %v, want b, and e at its deadline", h.cancelled)
		}
	})
}

// TestSubmit_RejectsKeyWithOtherBody submits attempts with the key of a request but another
// body: they are rejected within the key's window.
func TestSubmit_RejectsKeyWithOtherBody(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		submit := func(id, body string) {
			h.mustSubmit(t, h.Core, Request{ID: id, Class: "gift", Key: "k", Payload: Payload{Body: []byte(body)}})
			h.wait()
		}
		submit("a", "10 kr")
		submit("b", "20 kr")
		h.wantAnswer(t, "b", Rejected, "")
		h.completeRun("a", RunSucceeded, "thanks")
		submit("c", "20 kr")
		h.wantAnswer(t, "c", Rejected, "")
		submit("d", "10 kr")
		h.wantAnswer(t, "d", Served, "thanks")
		h.sleep(testWindow + time.Second)
		submit("e", "20 kr") // the window is over: a new request
		h.completeRun("e", RunSucceeded, "thanks again")
		h.wantAnswer(t, "e", Served, "thanks again")
	})
}

// TestSubmit_RejectsKeyOfOtherClass submits an attempt with the key of another class's
// request, which is rejected. After a class is renamed, attempts of one request may arrive in
// both classes, and the key still runs once.
func TestSubmit_RejectsKeyOfOtherClass(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "receipt", "k")
		h.wantAnswer(t, "b", Rejected, "")
		if err := h.updateSettings(settings(), "read", "gift", "present"); err != nil {
			t.Fatal(err)
		}
		h.submit(t, "c", "present", "k")
		h.completeRun("a", RunSucceeded, "thanks")
		h.wantAnswer(t, "c", Served, "thanks")
		h.submit(t, "d", "present", "l")
		h.completeRun("d", RunSucceeded, "thanks")
		h.submit(t, "e", "gift", "l")
		h.wantAnswer(t, "e", Served, "thanks")
		if h.starts["c"]+h.starts["e"] != 0 {
			t.Errorf("starts = %v, want only a and d", h.starts)
		}
	})
}

// TestRunCompleted_NotStartedReleasesKey completes a run that is proven not to have started:
// the next attempt of its key runs.
func TestRunCompleted_NotStartedReleasesKey(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.completeRun("a", RunNotStarted, "")
		h.wantAnswer(t, "a", Failed, "")
		h.submit(t, "b", "gift", "k")
		h.completeRun("b", RunSucceeded, "thanks")
		h.wantAnswer(t, "b", Served, "thanks")
	})
}
