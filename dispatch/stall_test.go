package dispatch

import (
	"testing"
	"time"
)

// TestNoStartForWhatDrainOvertakes: a request that was started before the core heard of a
// drain, whose grace was over by then, does not begin once its claim is durable: the claim
// is released, and the request is shed.
func TestNoStartForWhatDrainOvertakes(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.Drain(time.Now().Add(-time.Minute), time.Now().Add(time.Minute))
		h.wait()
		j.settle(nil)
		h.wait()
		h.wantAnswer(t, "a", Shed, "")
		if h.starts["a"] != 0 {
			t.Error("it ran after the grace")
		}
	})
}

// standStill has the core's next batch find that the process stood still for longer than a
// drain's grace.
func (h *harness) standStill() {
	h.inLoop(h.Core, func() { // the batch before the next was so long ago
		h.stallDetector.mu.Lock()
		h.stallDetector.lastBatch -= 2 * settings().DrainGrace
		h.stallDetector.mu.Unlock()
	})
	h.wait()
}

// TestNoStartRightAfterAStall: the process stands still for longer than a drain's grace. What
// it reads then does not begin before a drain notice that came meanwhile is seen.
func TestNoStartRightAfterAStall(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		runTest(t, func(t *testing.T, h *harness) {
			h.standStill()
			h.mustSubmit(t, h.Core, Request{ID: "a", Class: "read"})
			h.wait()
			h.sleep(stallHoldTime / 2)
			if noticed {
				h.Drain(h.DrainNoticeTime(), time.Now().Add(time.Minute))
			}
			h.sleep(stallHoldTime)
			h.wait()
			want := 1
			if noticed {
				want = 0
				h.wantAnswer(t, "a", Shed, "")
			}
			if h.starts["a"] != want {
				t.Errorf("noticed %t: it ran %d times, want %d", noticed, h.starts["a"], want)
			}
		})
	}
}

// TestHoldOutlivesAPeer: a peer disconnects while an unkeyed attempt is held back after a
// stall. It does not wait for the peer's decision, and begins once the hold is over.
func TestHoldOutlivesAPeer(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.standStill()
		h.submit(t, "a", "read", "")
		h.PeerDisconnected(nil) // as the present peer, of which there is none
		h.sleep(2 * stallHoldTime)
		if h.starts["a"] != 1 {
			t.Errorf("it ran %d times, want 1", h.starts["a"])
		}
	})
}
