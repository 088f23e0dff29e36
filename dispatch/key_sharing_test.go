package dispatch

import (
	"testing"
	"time"
)

// TestKeyAfterCancel: a run that was cancelled may have had its effect, so its key neither
// runs again nor is shed within the window.
func TestKeyAfterCancel(t *testing.T) {
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
			t.Errorf("runs %v, want only c's beside a's", h.starts)
		}
	})
}

// TestCallerDisconnected: a keyed run goes on when its caller's connection ends, as the
// caller may retry and it must not run twice; other runs are cancelled.
func TestCallerDisconnected(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "read", "")
		h.CallerDisconnected("a", responder{h})
		h.CallerDisconnected("b", responder{h})
		h.wait()
		if len(h.cancelled) != 1 || h.cancelled[0] != "b" {
			t.Errorf("cancelled %v, want only b", h.cancelled)
		}
		h.submit(t, "c", "gift", "k")
		h.complete("a", RunSucceeded, "thanks")
		h.submit(t, "d", "gift", "k")
		for _, id := range []string{"c", "d"} {
			h.wantAnswer(t, id, Served, "thanks")
		}
		if len(h.answers["a"]) > 0 {
			t.Errorf("the one without a caller is answered %v", h.answers["a"])
		}
		h.submit(t, "e", "gift", "k2")
		h.CallerDisconnected("e", responder{h})
		h.sleep(testDeadline + testSlack)
		if len(h.cancelled) != 2 || h.cancelled[1] != "e" {
			t.Errorf("cancelled %v, want e at its deadline", h.cancelled)
		}
	})
}

// TestKeyWithAnotherBody: an attempt with a key of another request, by its body, is rejected:
// it gets no result of that, and never runs.
func TestKeyWithAnotherBody(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		submit := func(id, body string) {
			h.mustSubmit(t, h.Core, Request{ID: id, Class: "gift", Key: "k", Payload: Payload{Body: []byte(body)}})
			h.wait()
		}
		submit("a", "10 kr")
		submit("b", "20 kr")
		h.wantAnswer(t, "b", Rejected, "")
		h.complete("a", RunSucceeded, "thanks")
		submit("c", "20 kr")
		h.wantAnswer(t, "c", Rejected, "")
		submit("d", "10 kr")
		h.wantAnswer(t, "d", Served, "thanks")
		h.sleep(testWindow + time.Second)
		submit("e", "20 kr") // the window is over: it is a request of its own
		h.complete("e", RunSucceeded, "thanks again")
		h.wantAnswer(t, "e", Served, "thanks again")
	})
}

// TestKeyIsOfItsClass: an attempt with a key of another class's request is rejected. Where a
// class is renamed, attempts of one request come in both, and it still runs once.
func TestKeyIsOfItsClass(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "receipt", "k")
		h.wantAnswer(t, "b", Rejected, "")
		if err := h.updateSettings(settings(), "read", "gift", "present"); err != nil {
			t.Fatal(err)
		}
		h.submit(t, "c", "present", "k")
		h.complete("a", RunSucceeded, "thanks")
		h.wantAnswer(t, "c", Served, "thanks")
		h.submit(t, "d", "present", "l")
		h.complete("d", RunSucceeded, "thanks")
		h.submit(t, "e", "gift", "l")
		h.wantAnswer(t, "e", Served, "thanks")
		if h.starts["c"]+h.starts["e"] != 0 {
			t.Errorf("runs %v, want those of a and d", h.starts)
		}
	})
}

// TestRunNotStartedReleasesKey: a run that is proven not to have begun does not keep the next
// attempt of its key from running.
func TestRunNotStartedReleasesKey(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.complete("a", RunNotStarted, "")
		h.wantAnswer(t, "a", Failed, "")
		h.submit(t, "b", "gift", "k")
		h.complete("b", RunSucceeded, "thanks")
		h.wantAnswer(t, "b", Served, "thanks")
	})
}
