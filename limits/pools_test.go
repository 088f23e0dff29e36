package limits

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func newPools(t *testing.T, classes int, reserve int) *Pools {
	t.Helper()
	cfg := Config{ReservedSlots: reserve}
	for c := range classes {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint("c", c), Cheapest: c == classes-1})
	}
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// eight is a machine of 8 cores that thrashes past 2 runs a core: at 4 runs a
// core it gets half as much done.
var eight = machine{cores: 8, thrashAt: 2, thrash: 0.25}

// TestTwiceCapacity offers twice what the machine can do: with the pools the
// served stay within a tenth of the machine's peak, without them the machine
// thrashes and serves far less within the patience.
func TestTwiceCapacity(t *testing.T) {
	const work = 20 * time.Millisecond
	capacity := eight.cores / work.Seconds() // 400 a second at its best
	loads := []load{{rate: 2 * capacity, work: work, cv: 0.5}}
	const span = 15 * time.Second
	perSecond := func(r result) float64 { return float64(r.served) / span.Seconds() }
	for _, seed := range []int64{1, 2} {
		with := play(seed, eight, loads, newPools(t, 1, 0), span, nil)
		if got := perSecond(with); got < 0.9*capacity {
			t.Errorf("seed %d: with the pools %.0f served a second, want at least 90%% of %.0f", seed, got, capacity)
		}
		if with.shed == 0 {
			t.Errorf("seed %d: nothing was shed at twice the capacity", seed)
		}
	}
	if r := play(1, eight, loads, nil, 5*time.Second, nil); float64(r.served)/5 > 0.6*capacity {
		t.Errorf("without them %.0f a second: the model does not thrash", float64(r.served)/5)
	}
}

// TestCapacityHalves takes half of the machine's cores away midway: the limit
// follows, and what is served in time stays near what is left.
func TestCapacityHalves(t *testing.T) {
	const work = 20 * time.Millisecond
	loads := []load{{rate: 1.5 * eight.cores / work.Seconds(), work: work, cv: 0.5}}
	half := func(now time.Duration, m *machine) {
		if now >= 20*time.Second {
			m.cores = 4
		}
	}
	pools := newPools(t, 1, 0)
	r := play(3, eight, loads, pools, 40*time.Second, half)
	limitBefore, limitAfter := r.limits[199], r.limits[len(r.limits)-1]
	if limitAfter >= 4*eight.thrashAt || limitAfter >= limitBefore { // where 4 cores would thrash
		t.Errorf("limit %.1f with 8 cores, %.1f with 4", limitBefore, limitAfter)
	}
	last := 0
	for _, n := range r.servedBySecond[30:] {
		last += n
	}
	if perSecond, capacity := float64(last)/10, 4/work.Seconds(); perSecond < 0.9*capacity {
		t.Errorf("%.0f served a second in the last 10 s with 4 cores, want at least 90%% of %.0f", perSecond, capacity)
	}
}

// TestMixedSpeeds has two classes of unlike work on one machine, three
// quarters of what it can do: each pool finds a limit of its own, and both are
// served; then five quarters: the quick class is served whole, the slow one
// with what is left.
func TestMixedSpeeds(t *testing.T) {
	for _, c := range []struct {
		slow     float64 // a second, of 40 ms each; beside 400 a second of 5 ms
		wantSlow float64 // served within the patience, of all
	}{{100, 0.95}, {200, 0.6}} {
		loads := []load{{rate: c.slow, work: 40 * time.Millisecond, cv: 0.3}, {rate: 400, work: 5 * time.Millisecond, cv: 0.3}}
		pools := newPools(t, 2, 0)
		r := play(4, eight, loads, pools, 30*time.Second, nil)
		if float64(r.servedByClass[0]) < c.wantSlow*c.slow*30 || float64(r.servedByClass[1]) < 0.95*400*30 {
			t.Errorf("%.0f slow a second: served within the patience %v of %v", c.slow, r.servedByClass,
				[]float64{c.slow * 30, 400 * 30})
		}
		if pools.Capacity(0) == pools.Capacity(1) {
			t.Errorf("one limit for both: %.1f", pools.Capacity(0))
		}
	}
}

// TestReserve overloads the expensive class four times: the cheapest, with a small
// load of its own, is served in time throughout.
func TestReserve(t *testing.T) {
	loads := []load{
		{rate: 4 * eight.cores / 0.02, work: 20 * time.Millisecond, cv: 0.5},
		{rate: 20, work: 2 * time.Millisecond, cv: 0.3},
	}
	r := play(5, eight, loads, newPools(t, 2, 2), 30*time.Second, nil)
	if want := 20 * 30; float64(r.servedByClass[1]) < 0.95*float64(want) {
		t.Errorf("the cheapest class: %d of about %d served in time", r.servedByClass[1], want)
	}
}

// TestSteadyLimit plays a steady load near the capacity with noisy work: the
// limit does not swing.
func TestSteadyLimit(t *testing.T) {
	loads := []load{{rate: 0.9 * eight.cores / 0.02, work: 20 * time.Millisecond, cv: 0.8}}
	r := play(6, eight, loads, newPools(t, 1, 0), 60*time.Second, nil)
	last := r.limits[len(r.limits)/2:]
	mean, sq := 0.0, 0.0
	for _, l := range last {
		mean += l / float64(len(last))
	}
	for _, l := range last {
		sq += (l - mean) * (l - mean) / float64(len(last))
	}
	if cv := math.Sqrt(sq) / mean; cv > 0.25 {
		t.Errorf("the limit swings: mean %.1f, coefficient of variation %.2f", mean, cv)
	}
}

// TestCopies has copies of a read that is in flight: they hold no slot, and the
// limit does not follow their latency.
func TestCopies(t *testing.T) {
	p := newPools(t, 1, 0)
	first, ok := p.TryAcquire(0, "kampanj-7")
	second, ok2 := p.TryAcquire(0, "kampanj-7")
	if !ok || !ok2 || !second.copy || p.InUse(0) != 1 {
		t.Fatalf("copy %t, %d in flight", second.copy, p.InUse(0))
	}
	limit := p.Capacity(0)
	p.Release(second, time.Hour, true)
	if p.Capacity(0) != limit {
		t.Error("a copy's latency moved the limit")
	}
	p.Release(first, 10*time.Millisecond, true)
	if third, _ := p.TryAcquire(0, "kampanj-7"); third.copy || p.InUse(0) != 1 {
		t.Error("once the first was over, a further one is a copy still")
	}
}

// TestReserveSlots fills every pool: the cheapest class still begins as many
// runs as the reserve holds, and no other class takes them.
func TestReserveSlots(t *testing.T) {
	p := newPools(t, 2, 2) // class 1 is the cheapest; each pool starts at 4
	for c := range 2 {
		for range 4 {
			if _, ok := p.TryAcquire(c, ""); !ok {
				t.Fatalf("class %d: no slot below its limit", c)
			}
		}
	}
	if _, ok := p.TryAcquire(0, ""); ok {
		t.Error("the expensive class took a slot beyond all the limits")
	}
	var reserved []Permit
	for range 2 {
		permit, ok := p.TryAcquire(1, "")
		if !ok || permit.source != reservedSlot {
			t.Fatalf("the cheapest class got no reserved slot: %t", ok)
		}
		reserved = append(reserved, permit)
	}
	if _, ok := p.TryAcquire(1, ""); ok {
		t.Error("beyond the reserve")
	}
	p.Release(reserved[0], 0, false)
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("a released reserved slot is not there again")
	}
}

// TestBorrow has one pool idle: another takes its slots, and gives them back as
// its own runs end.
func TestBorrow(t *testing.T) {
	p := newPools(t, 2, 0)
	var taken []Permit
	for range 8 {
		permit, ok := p.TryAcquire(0, "")
		if !ok {
			t.Fatalf("after %d: the idle pool's slots are not lent", len(taken))
		}
		taken = append(taken, permit)
	}
	if _, ok := p.TryAcquire(0, ""); ok || taken[7].source != borrowedSlot || taken[3].source == borrowedSlot {
		t.Errorf("borrowed beyond both pools, or the wrong ones: %v", taken)
	}
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("the lender's own run waits for its own slot") // it may go over the sum, once
	}
	if !p.Enqueue(1, "later", 0, time.Second) {
		t.Error("no room in the line")
	}
	if next := p.Release(taken[7], time.Millisecond, true); len(next) != 1 || next[0].ID != "later" {
		t.Errorf("what a borrowed slot's end lets begin: %v", next)
	}
}

// TestNewClass takes a class that came with new settings: it gets a pool.
func TestNewClass(t *testing.T) {
	p := newPools(t, 1, 0)
	if _, ok := p.TryAcquire(3, ""); !ok || p.InUse(3) != 1 || p.Capacity(3) != 4 {
		t.Errorf("a class that came later: %d in flight, limit %v", p.InUse(3), p.Capacity(3))
	}
}

// TestQueueOrder queues runs of two classes: those that were queued first start first,
// whatever their class, and a cancelled one never.
func TestQueueOrder(t *testing.T) {
	p := newPools(t, 2, 0)
	var permits []Permit
	for class := range 2 {
		for range 4 {
			permit, ok := p.TryAcquire(class, "")
			if !ok {
				t.Fatalf("class %d: no slot below its limit", class)
			}
			permits = append(permits, permit)
		}
	}
	for i, id := range []string{"first", "cancelled", "second", "third"} {
		if !p.Enqueue(i%2, id, time.Duration(i), time.Second) {
			t.Fatalf("%s is not queued", id)
		}
	}
	p.Cancel(1, "cancelled")
	p.Cancel(1, "unknown")
	if p.Queued(0) != 2 || p.Queued(1) != 1 {
		t.Errorf("%d and %d queued", p.Queued(0), p.Queued(1))
	}
	var started []string
	for _, permit := range permits[1:4] { // of class 0: class 1 has no slot of its own free, and borrows
		for _, admitted := range p.Release(permit, 0, false) {
			started = append(started, admitted.ID)
		}
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(started, want) {
		t.Errorf("started %v, want %v", started, want)
	}
}

// TestPatience queues runs once a latency is known: only as many as start and end within
// their patience.
func TestPatience(t *testing.T) {
	p := newPools(t, 1, 0)
	permit, _ := p.TryAcquire(0, "")
	p.Release(permit, time.Second, true)
	const patience = 1500 * time.Millisecond // the run itself, and two queued at a limit of 4
	for i, want := range []bool{true, true, false} {
		if got := p.Enqueue(0, fmt.Sprint(i), 0, patience); got != want {
			t.Errorf("with %d queued: %t, want %t", i, got, want)
		}
	}
}

// TestConfigError makes pools of configurations that make no sense.
func TestConfigError(t *testing.T) {
	classes := []Class{{Name: "a"}}
	for want, config := range map[string]Config{
		"limits: configuration: no classes":                       {},
		"limits: configuration: start 0.5, most 1000, reserve 0":  {Classes: classes, InitialLimit: 0.5},
		"limits: configuration: start 2000, most 1000, reserve 0": {Classes: classes, InitialLimit: 2000},
		"limits: configuration: start 4, most 1000, reserve -1":   {Classes: classes, ReservedSlots: -1},
	} {
		_, err := New(config)
		var configError *ConfigError
		if !errors.As(err, &configError) || err.Error() != want {
			t.Errorf("%v, want a *ConfigError %q", err, want)
		}
	}
}
