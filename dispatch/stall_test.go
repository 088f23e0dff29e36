package dispatch

import (
	"testing"
	"time"
)

// TestDrain_ShedsStartThatAwaitsJournal starts a request before the core receives a drain
// notice whose grace is already over. Once its claim is durable, the request does not run but
// is shed.
func TestDrain_ShedsStartThatAwaitsJournal(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.Drain(time.Now().Add(-time.Minute), time.Now().Add(time.Minute))
		h.wait()
		j.completeClaims(nil)
		h.wait()
		h.wantAnswer(t, "a", Shed, "")
		if h.starts["a"] != 0 {
			t.Errorf("run started %d times after the grace, want 0", h.starts["a"])
		}
	})
}

// simulateStall makes the core detect a stall of longer than a drain's grace in its next batch.
func (h *harness) simulateStall() {
	h.runInLoop(h.Core, func() { // sets the time of the last batch back
		h.stallDetector.mu.Lock()
		h.stallDetector.lastBatch -= 2 * settings().DrainGrace
		h.stallDetector.mu.Unlock()
	})
	h.wait()
}

// TestStall_HoldsStartsForDrainNotice stalls the process for longer than a drain's grace. A
// request that is read after that does not run if a drain notice was sent during the stall
// and is received within stallHoldTime.
func TestStall_HoldsStartsForDrainNotice(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		runTest(t, func(t *testing.T, h *harness) {
			h.simulateStall()
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
				t.Errorf("drain notice = %t: run started %d times, want %d", noticed, h.starts["a"], want)
			}
		})
	}
}

// TestStall_HoldContinuesAfterPeerDisconnects disconnects the peer while an unkeyed attempt is
// held after a stall. The attempt has no claim to wait for, and runs once the hold is over.
func TestStall_HoldContinuesAfterPeerDisconnects(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.simulateStall()
		h.submit(t, "a", "read", "")
		h.PeerDisconnected(nil) // there is no peer, so nil is the current one
		h.sleep(2 * stallHoldTime)
		if h.starts["a"] != 1 {
			t.Errorf("run started %d times, want 1", h.starts["a"])
		}
	})
}
