package dispatch

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestCallTimeout: a call that hangs is abandoned at the module's time-out, a late reply to
// it is not taken for the next call's, and the call is made again.
func TestCallTimeout(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "read", "")
		h.CallRequested("a", 7, []byte("call"))
		h.wait()
		first := h.callInFlight["a"]
		if first == 0 {
			t.Fatal("no call was made")
		}
		for range 400 { // long enough for the time-out, too short for the deadline
			h.sleep(10 * time.Millisecond)
			if h.callInFlight["a"] != first {
				break
			}
		}
		if h.callInFlight["a"] == first {
			t.Fatal("the call is never abandoned")
		}
		h.CallCompleted("a", first, decision.Succeeded, []byte("late"))
		h.wait()
		if h.callReplies["a"] == "late" {
			t.Error("the reply to an abandoned call is passed on")
		}
		h.sleep(50 * time.Millisecond)
		if h.callInFlight["a"] <= first {
			t.Error("the call is not made again")
		}
		if len(h.earlyCalls) > 0 {
			t.Errorf("called again before it was taken in that the call was abandoned: %v", h.earlyCalls)
		}
	})
}
