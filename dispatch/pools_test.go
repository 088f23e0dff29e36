package dispatch

import (
	"testing"
)

// TestPools_BorrowQueueAndShed checks pools with one slot for each of three classes, while
// the module has 8 cores. Three reads run: one in its own slot, two in borrowed ones. Two
// more are queued, and the one that its caller cancels there never starts. After a run of one
// second, a read whose run is expected to end after half its latency objective is shed at
// once, and releases no slot.
func TestPools_BorrowQueueAndShed(t *testing.T) {
	runTestWith(t, func(o *Options) { o.Pools, o.Settings.Cores = &PoolOptions{InitialLimit: 1}, 8 }, func(t *testing.T, h *harness) {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			h.submit(t, id, "read", "")
		}
		if len(h.starts) != 3 || h.starts["d"] != 0 {
			t.Fatalf("starts = %v, want a, b and c with three slots", h.starts)
		}
		h.forEachCore(func(c *Core) { c.CancelRequest("d", responder{h}) }) // while it is queued
		h.wait()
		h.completeRun("a", RunSucceeded, "one")
		if h.starts["d"] != 0 || h.starts["e"] != 1 {
			t.Fatalf("starts = %v after the end of a, want e and not d", h.starts)
		}
		h.submit(t, "f", "read", "") // a run now takes a second, and no slot is free
		h.wantAnswer(t, "f", Shed, "")
		if h.starts["f"] != 0 {
			t.Errorf("read f started %d times after it was shed, want 0", h.starts["f"])
		}
		h.submit(t, "g", "read", "") // f held no slot, so none is free
		if h.starts["g"] != 0 {
			t.Errorf("starts = %v, want not g: the shed read f has released no slot", h.starts)
		}
		h.wantAnswer(t, "a", Served, "one")
	})
}
