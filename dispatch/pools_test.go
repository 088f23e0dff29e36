package dispatch

import (
	"testing"
)

// TestPools: pools bound runs below the module, which has 8 cores. With one slot for each of
// three classes, three reads run: one in its own slot, two in borrowed ones. A fourth waits
// in the queue, and one whose caller cancels it there never begins. Once a run has taken a
// second, a read that would wait for more than half its latency objective is shed at once,
// and holds no slot to release.
func TestPools(t *testing.T) {
	runTestWith(t, func(o *Options) { o.Pools, o.Settings.Cores = &PoolOptions{InitialLimit: 1}, 8 }, func(t *testing.T, h *harness) {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			h.submit(t, id, "read", "")
		}
		if len(h.starts) != 3 || h.starts["d"] != 0 {
			t.Fatalf("runs %v with three slots", h.starts)
		}
		h.each(func(c *Core) { c.CancelRequest("d", responder{h}) }) // its caller leaves while it waits
		h.wait()
		h.complete("a", RunSucceeded, "one")
		if h.starts["d"] != 0 || h.starts["e"] != 1 {
			t.Fatalf("runs %v once the first ended", h.starts)
		}
		h.submit(t, "f", "read", "") // a run takes a second now, and all slots are taken
		h.wantAnswer(t, "f", Shed, "")
		if h.starts["f"] != 0 {
			t.Error("the read that was shed ran")
		}
		h.submit(t, "g", "read", "") // it held no slot, so it gave none back
		if h.starts["g"] != 0 {
			t.Errorf("runs %v: a read that was shed freed a slot", h.starts)
		}
		h.wantAnswer(t, "a", Served, "one")
	})
}
