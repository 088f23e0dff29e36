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

// mustAcquire acquires slots for runs of a class, which have to be there.
func mustAcquire(t *testing.T, p *Pools, class, runs int) []Permit {
	t.Helper()
	permits := make([]Permit, runs)
	for i := range permits {
		var ok bool
		if permits[i], ok = p.TryAcquire(class, ""); !ok {
			t.Fatalf("class %d: no slot for run %d of %d", class, i+1, runs)
		}
	}
	return permits
}

// eightCores is a machine that thrashes beyond 2 runs a core: at 4 runs a core its
// throughput is half of its best.
var eightCores = machine{cores: 8, thrashAt: 2, thrash: 0.25}

// TestTwiceCapacity offers twice what the machine can do: with the pools the
// served stay within a tenth of the machine's peak, without them the machine
// thrashes and serves far less within the patience.
func TestTwiceCapacity(t *testing.T) {
	const work = 20 * time.Millisecond
	capacity := eightCores.cores / work.Seconds() // 400 a second at its best
	loads := []load{{rate: 2 * capacity, work: work, cv: 0.5}}
	const span = 15 * time.Second
	perSecond := func(r result) float64 { return float64(r.served) / span.Seconds() }
	for _, seed := range []int64{1, 2} {
		with := play(seed, eightCores, loads, newPools(t, 1, 0), span, nil)
		if got := perSecond(with); got < 0.9*capacity {
			t.Errorf("seed %d: with the pools %.0f served a second, want at least 90%% of %.0f", seed, got, capacity)
		}
		if with.shed == 0 {
			t.Errorf("seed %d: nothing was shed at twice the capacity", seed)
		}
	}
	if r := play(1, eightCores, loads, nil, 5*time.Second, nil); float64(r.served)/5 > 0.6*capacity {
		t.Errorf("without them %.0f a second: the model does not thrash", float64(r.served)/5)
	}
}

// TestCapacityHalves takes half of the machine's cores away midway: the limit
// follows, and what is served in time stays near what is left.
func TestCapacityHalves(t *testing.T) {
	const work = 20 * time.Millisecond
	loads := []load{{rate: 1.5 * eightCores.cores / work.Seconds(), work: work, cv: 0.5}}
	half := func(now time.Duration, m *machine) {
		if now >= 20*time.Second {
			m.cores = 4
		}
	}
	pools := newPools(t, 1, 0)
	r := play(3, eightCores, loads, pools, 40*time.Second, half)
	limitBefore, limitAfter := r.limits[199], r.limits[len(r.limits)-1]
	if limitAfter >= 4*eightCores.thrashAt || limitAfter >= limitBefore { // where 4 cores would thrash
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
		r := play(4, eightCores, loads, pools, 30*time.Second, nil)
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
		{rate: 4 * eightCores.cores / 0.02, work: 20 * time.Millisecond, cv: 0.5},
		{rate: 20, work: 2 * time.Millisecond, cv: 0.3},
	}
	r := play(5, eightCores, loads, newPools(t, 2, 2), 30*time.Second, nil)
	if want := 20 * 30; float64(r.servedByClass[1]) < 0.95*float64(want) {
		t.Errorf("the cheapest class: %d of about %d served in time", r.servedByClass[1], want)
	}
}

// TestSteadyLimit plays a steady load near the capacity with noisy work: the
// limit does not swing.
func TestSteadyLimit(t *testing.T) {
	loads := []load{{rate: 0.9 * eightCores.cores / 0.02, work: 20 * time.Millisecond, cv: 0.8}}
	r := play(6, eightCores, loads, newPools(t, 1, 0), 60*time.Second, nil)
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
	if !ok || !ok2 || !second.coalesced || p.InUse(0) != 1 {
		t.Fatalf("coalesced %t, %d in flight", second.coalesced, p.InUse(0))
	}
	limit := p.Capacity(0)
	p.Release(second, time.Hour, true)
	if p.Capacity(0) != limit {
		t.Error("a copy's latency moved the limit")
	}
	p.Release(first, 10*time.Millisecond, true)
	if third, _ := p.TryAcquire(0, "kampanj-7"); third.coalesced || p.InUse(0) != 1 {
		t.Error("once the first was over, a further one is a copy still")
	}
}

// TestReserveSlots fills every pool: the cheapest class still begins as many
// runs as the reserve holds, and no other class takes them.
func TestReserveSlots(t *testing.T) {
	p := newPools(t, 2, 2) // class 1 is the cheapest; each pool starts at 4
	mustAcquire(t, p, 0, 4)
	mustAcquire(t, p, 1, 4)
	if _, ok := p.TryAcquire(0, ""); ok {
		t.Error("the expensive class took a slot beyond all the limits")
	}
	reserved := mustAcquire(t, p, 1, 2)
	for _, permit := range reserved {
		if permit.source != reservedSlot {
			t.Fatalf("the cheapest class got no reserved slot: %+v", permit)
		}
	}
	if _, ok := p.TryAcquire(1, ""); ok {
		t.Error("beyond the reserve")
	}
	p.Release(reserved[0], 0, false)
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("a released reserved slot is not there again")
	}
}

// TestBorrow has one pool idle: runs of another class borrow its slots, and return them as
// they end.
func TestBorrow(t *testing.T) {
	p := newPools(t, 2, 0)
	permits := mustAcquire(t, p, 0, 8)
	if _, ok := p.TryAcquire(0, ""); ok || permits[7].source != borrowedSlot || permits[3].source == borrowedSlot {
		t.Errorf("borrowed beyond both pools, or the wrong ones: %v", permits)
	}
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("a run gets no slot of its own pool because of borrowed ones") // the sum is exceeded by one
	}
	if !p.Enqueue(1, "later", 0, time.Second) {
		t.Error("the run is not queued")
	}
	if next := p.Release(permits[7], time.Millisecond, true); len(next) != 1 || next[0].ID != "later" {
		t.Errorf("a released borrowed slot admits %v", next)
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
	permits := mustAcquire(t, p, 0, 4)
	mustAcquire(t, p, 1, 4)
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
	for _, permit := range permits[1:] { // of class 0: the run of class 1 borrows its slot
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
