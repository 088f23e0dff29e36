package limits

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// newPools returns pools for some classes, the last of which is the cheapest.
func newPools(t *testing.T, classes int, reservedSlots int) *Pools {
	t.Helper()
	cfg := Config{ReservedSlots: reservedSlots}
	for c := range classes {
		cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint("c", c), Cheapest: c == classes-1})
	}
	p, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// mustAcquire acquires slots for runs of a class, and fails the test if there are too few.
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

// eightCores thrashes above 2 runs per core. At 4 runs per core its throughput is half of its
// peak.
var eightCores = machine{cores: 8, thrashingThreshold: 2, thrashingLoss: 0.25}

// TestPools_KeepPeakThroughputAtTwiceCapacity offers twice the load that the machine can
// serve. With the pools, the throughput stays within a tenth of the machine's peak. Without
// them, the machine thrashes and serves far fewer requests in time.
func TestPools_KeepPeakThroughputAtTwiceCapacity(t *testing.T) {
	const work = 20 * time.Millisecond
	capacity := eightCores.cores / work.Seconds() // 400 requests per second at its peak
	loads := []load{{rate: 2 * capacity, work: work, cv: 0.5}}
	const duration = 15 * time.Second
	perSecond := func(r result) float64 { return float64(r.served) / duration.Seconds() }
	for _, seed := range []int64{1, 2} {
		with := simulate(seed, eightCores, loads, newPools(t, 1, 0), duration, nil)
		if got := perSecond(with); got < 0.9*capacity {
			t.Errorf("seed %d: with pools, %.0f requests served per second, want at least 90%% of %.0f", seed, got, capacity)
		}
		if with.shed == 0 {
			t.Errorf("seed %d: no request was shed at twice the capacity", seed)
		}
	}
	if r := simulate(1, eightCores, loads, nil, 5*time.Second, nil); float64(r.served)/5 > 0.6*capacity {
		t.Errorf("without pools, %.0f requests served per second, want at most 60%% of %.0f: the machine must thrash", float64(r.served)/5, capacity)
	}
}

// TestPools_LimitFollowsLossOfCores removes half of the machine's cores midway. The limit
// falls, and the throughput stays near what the remaining cores can serve.
func TestPools_LimitFollowsLossOfCores(t *testing.T) {
	const work = 20 * time.Millisecond
	loads := []load{{rate: 1.5 * eightCores.cores / work.Seconds(), work: work, cv: 0.5}}
	removeCores := func(now time.Duration, m *machine) {
		if now >= 20*time.Second {
			m.cores = 4
		}
	}
	pools := newPools(t, 1, 0)
	r := simulate(3, eightCores, loads, pools, 40*time.Second, removeCores)
	limitBefore, limitAfter := r.limits[199], r.limits[len(r.limits)-1]
	if limitAfter >= 4*eightCores.thrashingThreshold || limitAfter >= limitBefore { // 4 cores would thrash
		t.Errorf("limit %.1f with 8 cores and %.1f with 4, want a lower one with 4, below %.1f", limitBefore, limitAfter, 4*eightCores.thrashingThreshold)
	}
	last := 0
	for _, n := range r.servedBySecond[30:] {
		last += n
	}
	if perSecond, capacity := float64(last)/10, 4/work.Seconds(); perSecond < 0.9*capacity {
		t.Errorf("%.0f requests served per second in the last 10 s with 4 cores, want at least 90%% of %.0f", perSecond, capacity)
	}
}

// TestPools_FindLimitsOfSlowAndFastClass offers a class of slow requests and one of fast
// requests to one machine. Each pool finds a limit of its own. At three quarters of the
// machine's capacity both classes are served. At five quarters the fast class is still
// served, and the slow one with the rest of the capacity.
func TestPools_FindLimitsOfSlowAndFastClass(t *testing.T) {
	for _, c := range []struct {
		slowRate float64 // requests per second of 40 ms each; the fast class has 400 of 5 ms
		wantSlow float64 // share of the slow requests served in time
	}{{100, 0.95}, {200, 0.6}} {
		loads := []load{{rate: c.slowRate, work: 40 * time.Millisecond, cv: 0.3}, {rate: 400, work: 5 * time.Millisecond, cv: 0.3}}
		pools := newPools(t, 2, 0)
		r := simulate(4, eightCores, loads, pools, 30*time.Second, nil)
		if float64(r.servedByClass[0]) < c.wantSlow*c.slowRate*30 || float64(r.servedByClass[1]) < 0.95*400*30 {
			t.Errorf("%.0f slow requests per second: served in time by class = %v of %v, want at least %v and 0.95 of them",
				c.slowRate, r.servedByClass, []float64{c.slowRate * 30, 400 * 30}, c.wantSlow)
		}
		if pools.Limit(0) == pools.Limit(1) {
			t.Errorf("limits of both classes = %.1f, want different limits", pools.Limit(0))
		}
	}
}

// TestPools_ServeCheapestClassUnderOverload offers four times the machine's capacity in the
// expensive class. The cheapest class, which has a small load, is still served in time.
func TestPools_ServeCheapestClassUnderOverload(t *testing.T) {
	loads := []load{
		{rate: 4 * eightCores.cores / 0.02, work: 20 * time.Millisecond, cv: 0.5},
		{rate: 20, work: 2 * time.Millisecond, cv: 0.3},
	}
	r := simulate(5, eightCores, loads, newPools(t, 2, 2), 30*time.Second, nil)
	if want := 20 * 30; float64(r.servedByClass[1]) < 0.95*float64(want) {
		t.Errorf("%d requests of the cheapest class served in time, want at least 95%% of %d", r.servedByClass[1], want)
	}
}

// TestPools_LimitIsStableUnderSteadyLoad checks that the limit doesn't oscillate under a
// steady load near the capacity whose requests differ much in their work.
func TestPools_LimitIsStableUnderSteadyLoad(t *testing.T) {
	loads := []load{{rate: 0.9 * eightCores.cores / 0.02, work: 20 * time.Millisecond, cv: 0.8}}
	r := simulate(6, eightCores, loads, newPools(t, 1, 0), 60*time.Second, nil)
	secondHalf := r.limits[len(r.limits)/2:]
	mean, variance := 0.0, 0.0
	for _, l := range secondHalf {
		mean += l / float64(len(secondHalf))
	}
	for _, l := range secondHalf {
		variance += (l - mean) * (l - mean) / float64(len(secondHalf))
	}
	if cv := math.Sqrt(variance) / mean; cv > 0.25 {
		t.Errorf("limit has mean %.1f and coefficient of variation %.2f, want a coefficient of at most 0.25", mean, cv)
	}
}

// TestTryAcquire_CoalescesReads checks that a read of an item that is being read holds no
// slot, and that the limit doesn't follow its latency.
func TestTryAcquire_CoalescesReads(t *testing.T) {
	p := newPools(t, 1, 0)
	first, ok := p.TryAcquire(0, "kampanj-7")
	second, ok2 := p.TryAcquire(0, "kampanj-7")
	if !ok || !ok2 || !second.coalesced || p.InUse(0) != 1 {
		t.Fatalf("two reads of one item: acquired = %t and %t, second coalesced = %t, slots in use = %d; want true, true, true, 1", ok, ok2, second.coalesced, p.InUse(0))
	}
	limit := p.Limit(0)
	p.Release(second, time.Hour, true)
	if p.Limit(0) != limit {
		t.Errorf("the latency of a coalesced run changed the limit from %v to %v", limit, p.Limit(0))
	}
	p.Release(first, 10*time.Millisecond, true)
	if third, _ := p.TryAcquire(0, "kampanj-7"); third.coalesced || p.InUse(0) != 1 {
		t.Errorf("after both runs ended: third run coalesced = %t, slots in use = %d; want false, 1", third.coalesced, p.InUse(0))
	}
}

// TestTryAcquire_ReservedSlotsOnlyForCheapestClass fills every pool. After that, only the
// cheapest class gets slots, as many as are reserved.
func TestTryAcquire_ReservedSlotsOnlyForCheapestClass(t *testing.T) {
	p := newPools(t, 2, 2) // each pool's limit starts at 4
	mustAcquire(t, p, 0, 4)
	mustAcquire(t, p, 1, 4)
	if _, ok := p.TryAcquire(0, ""); ok {
		t.Error("the expensive class got a slot although all pools are full")
	}
	reserved := mustAcquire(t, p, 1, 2)
	for _, permit := range reserved {
		if permit.source != reservedSlot {
			t.Fatalf("the cheapest class got %+v, want a reserved slot", permit)
		}
	}
	if _, ok := p.TryAcquire(1, ""); ok {
		t.Error("the cheapest class got a slot although all reserved slots are in use")
	}
	p.Release(reserved[0], 0, false)
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("no slot after a reserved slot was released")
	}
}

// TestTryAcquire_BorrowsUnusedSlots checks that runs of one class borrow the slots of an idle
// pool, and return them when they end.
func TestTryAcquire_BorrowsUnusedSlots(t *testing.T) {
	p := newPools(t, 2, 0)
	permits := mustAcquire(t, p, 0, 8)
	if _, ok := p.TryAcquire(0, ""); ok || permits[7].source != borrowedSlot || permits[3].source == borrowedSlot {
		t.Errorf("9th run got a slot = %t, permits = %+v; want false, the 4th slot not borrowed and the 8th borrowed", ok, permits)
	}
	if _, ok := p.TryAcquire(1, ""); !ok {
		t.Error("TryAcquire(1) = false while slots of pool 1 are lent, want true") // the sum of the limits is exceeded by one
	}
	if !p.Enqueue(1, "later", 0, time.Second) {
		t.Error("Enqueue(later) = false, want true")
	}
	if next := p.Release(permits[7], time.Millisecond, true); len(next) != 1 || next[0].ID != "later" {
		t.Errorf("Release of a borrowed slot admits %v, want only the run \"later\"", next)
	}
}

// TestTryAcquire_AddsPoolForNewClass acquires a slot for a class that new settings have added.
func TestTryAcquire_AddsPoolForNewClass(t *testing.T) {
	p := newPools(t, 1, 0)
	if _, ok := p.TryAcquire(3, ""); !ok || p.InUse(3) != 1 || p.Limit(3) != 4 {
		t.Errorf("new class: acquired = %t, slots in use = %d, limit = %v; want true, 1, 4", ok, p.InUse(3), p.Limit(3))
	}
}

// TestRelease_AdmitsInQueueOrder queues runs of two classes. They are admitted in the order
// in which they were queued, regardless of their class, except for a cancelled one.
func TestRelease_AdmitsInQueueOrder(t *testing.T) {
	p := newPools(t, 2, 0)
	permits := mustAcquire(t, p, 0, 4)
	mustAcquire(t, p, 1, 4)
	for i, id := range []string{"first", "cancelled", "second", "third"} {
		if !p.Enqueue(i%2, id, time.Duration(i), time.Second) {
			t.Fatalf("Enqueue(%s) = false, want true", id)
		}
	}
	p.Cancel(1, "cancelled")
	p.Cancel(1, "unknown")
	if p.Queued(0) != 2 || p.Queued(1) != 1 {
		t.Errorf("after Cancel: %d and %d runs queued, want 2 and 1", p.Queued(0), p.Queued(1))
	}
	var admittedIDs []string
	for _, permit := range permits[1:] { // of class 0, so the run of class 1 borrows its slot
		for _, admitted := range p.Release(permit, 0, false) {
			admittedIDs = append(admittedIDs, admitted.ID)
		}
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(admittedIDs, want) {
		t.Errorf("admitted %v, want %v", admittedIDs, want)
	}
}

// TestEnqueue_RefusesRunsOverMaxTime checks that, once a latency was observed, only as many
// runs are queued as are expected to end in time.
func TestEnqueue_RefusesRunsOverMaxTime(t *testing.T) {
	p := newPools(t, 1, 0)
	permit, _ := p.TryAcquire(0, "")
	p.Release(permit, time.Second, true)
	const maxTime = 1500 * time.Millisecond // enough for the run itself and two queued ones at a limit of 4
	for i, want := range []bool{true, true, false} {
		if got := p.Enqueue(0, fmt.Sprint(i), 0, maxTime); got != want {
			t.Errorf("with %d runs queued, Enqueue = %t, want %t", i, got, want)
		}
	}
}

func TestNew_RejectsInvalidConfig(t *testing.T) {
	classes := []Class{{Name: "a"}}
	for want, config := range map[string]Config{
		"limits: configuration: Classes is empty": {},
		"limits: configuration: InitialLimit 0.5, MaxLimit 1000, ReservedSlots 0; want 1 <= InitialLimit <= MaxLimit and ReservedSlots >= 0":  {Classes: classes, InitialLimit: 0.5},
		"limits: configuration: InitialLimit 2000, MaxLimit 1000, ReservedSlots 0; want 1 <= InitialLimit <= MaxLimit and ReservedSlots >= 0": {Classes: classes, InitialLimit: 2000},
		"limits: configuration: InitialLimit 4, MaxLimit 1000, ReservedSlots -1; want 1 <= InitialLimit <= MaxLimit and ReservedSlots >= 0":   {Classes: classes, ReservedSlots: -1},
	} {
		_, err := New(config)
		var configError *ConfigError
		if !errors.As(err, &configError) || err.Error() != want {
			t.Errorf("New = %v, want a *ConfigError with the text %q", err, want)
		}
	}
}
