package dispatch

import (
	"testing"
	"testing/synctest"
)

// TestPools bounds runs below the module (of 8 cores): with pools of one slot
// for each of three classes, three reads run (one their own, two borrowed from
// the idle pools); a fourth waits in the line, and one whose caller leaves
// while it waits never begins. Once a run has taken a second, a read that would
// wait longer than half its aim is turned away at once, as it never ran, and
// holds no slot to give back.
func TestPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, func(o *Options) { o.Pools, o.Settings.Cores = &PoolOptions{InitialLimit: 1}, 8 })
		defer p.end()
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			p.submit(t, id, "read", "")
		}
		if len(p.runs) != 3 || p.runs["d"] != 0 {
			t.Fatalf("runs %v with three slots", p.runs)
		}
		p.each(func(c *Core) { c.CancelRequest("d", sink{p}) }) // its caller leaves while it waits
		p.wait()
		p.complete("a", RunSucceeded, "one")
		if p.runs["d"] != 0 || p.runs["e"] != 1 {
			t.Fatalf("runs %v once the first ended", p.runs)
		}
		p.submit(t, "f", "read", "") // a run takes a second now, and all slots are taken
		p.wantAnswer(t, "f", Shed, "")
		if p.runs["f"] != 0 {
			t.Error("the turned-away read ran")
		}
		p.submit(t, "g", "read", "") // it held no slot, so it gave none back
		if p.runs["g"] != 0 {
			t.Errorf("runs %v: a read that was turned away freed a slot", p.runs)
		}
		p.wantAnswer(t, "a", Served, "one")
	})
}
