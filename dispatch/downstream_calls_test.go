package dispatch

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestCall_AbandonedAndRetriedAfterTimeout makes a call that hangs: it is abandoned after the
// module's timeout and retried. A late reply to it must not count as the reply to the retry.
func TestCall_AbandonedAndRetriedAfterTimeout(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "read", "")
		h.CallRequested("a", 7, []byte("call"))
		h.wait()
		first := h.callInFlight["a"]
		if first == 0 {
			t.Fatal("the core made no call")
		}
		for range 400 { // 4 s: longer than the timeout, and within the deadline
			h.sleep(10 * time.Millisecond)
			if h.callInFlight["a"] != first {
				break
			}
		}
		if h.callInFlight["a"] == first {
			t.Fatal("the call was not abandoned within 4 s")
		}
		h.CallCompleted("a", first, decision.Succeeded, []byte("late"))
		h.wait()
		if h.callReplies["a"] == "late" {
			t.Error("the reply to an abandoned call was passed on to the backend")
		}
		h.sleep(50 * time.Millisecond)
		if h.callInFlight["a"] <= first {
			t.Errorf("call number after the timeout = %d, want more than %d", h.callInFlight["a"], first)
		}
		if len(h.earlyCalls) > 0 {
			t.Errorf("calls retried before the dependency had processed the abandonment: %v", h.earlyCalls)
		}
	})
}
