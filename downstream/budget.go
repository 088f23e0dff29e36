package downstream

import (
	"math"
	"slices"
	"sync"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/fleet"
)

// CallObserver hears how calls ended; *dispatch.Core is one.
type CallObserver interface {
	CallCompleted(id string, number int, end dispatch.CallOutcome, reply []byte)
}

// Quota is the member's part of what the whole fleet may have in hand at
// the shared dependency; *fleet.QuotaAgent is one.
type Quota interface {
	TryAcquire() (put func(), ok bool)
	OnRelease(f func())
}

// QuotaLimiter lets calls go below only within a budget: dispatch.Dependency
// over another. What has no room waits its turn; the core gives it up in its
// time, as it does any call. The module decides which calls to make within what
// it was last told of the budget (Bound); this is what holds at every instant.
//
// A call that was given up, or whose connection broke, may linger below, and is
// counted for as long.
type QuotaLimiter struct {
	next   dispatch.Dependency
	core   CallObserver
	budget Quota
	linger func() time.Duration

	mu      sync.Mutex
	waiting []budgetedCall // in the order in which they came
	out     map[string]budgetedCall
}

type budgetedCall struct {
	id     string
	number int
	until  time.Time
	body   []byte
	put    func() // of one that is out
}

// NewQuotaLimiter makes one whose calls that were given up count for linger() longer;
// Attach has to follow.
func NewQuotaLimiter(next dispatch.Dependency, budget Quota, linger func() time.Duration) *QuotaLimiter {
	b := &QuotaLimiter{next: next, budget: budget, linger: linger, out: map[string]budgetedCall{}}
	budget.OnRelease(b.pump)
	return b
}

// Attach sets who hears how calls end; it goes before the first.
func (b *QuotaLimiter) Attach(core CallObserver) { b.core = core }

// Call implements dispatch.Dependency.
func (b *QuotaLimiter) Call(id string, number int, wait time.Duration, body []byte) {
	b.mu.Lock()
	b.waiting = append(b.waiting, budgetedCall{id: id, number: number, until: time.Now().Add(wait), body: body})
	b.mu.Unlock()
	b.pump()
}

// pump lets those go that there is room for.
func (b *QuotaLimiter) pump() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 {
		k := b.waiting[0]
		left := time.Until(k.until)
		if left > 0 {
			put, ok := b.budget.TryAcquire()
			if !ok {
				return
			}
			k.put = put
			b.out[k.id] = k
			b.next.Call(k.id, k.number, left, k.body) // only queues
		} // else the core is about to give it up
		b.waiting = b.waiting[1:]
	}
}

// Abandon implements dispatch.Dependency.
func (b *QuotaLimiter) Abandon(id string) {
	b.mu.Lock()
	b.waiting = slices.DeleteFunc(b.waiting, func(k budgetedCall) bool { return k.id == id })
	k, out := b.out[id]
	delete(b.out, id)
	b.mu.Unlock()
	if out {
		b.next.Abandon(id)
		time.AfterFunc(b.linger(), func() { b.back(k) })
	}
}

// CallCompleted implements Caller: it stands between the dependency and the core.
func (b *QuotaLimiter) CallCompleted(id string, number int, end dispatch.CallOutcome, reply []byte) {
	b.mu.Lock()
	k, out := b.out[id]
	if out = out && k.number == number; out {
		delete(b.out, id)
	}
	b.mu.Unlock()
	b.core.CallCompleted(id, number, end, reply)
	switch {
	case out && end == decision.ConnectionReset: // nobody knows whether it still runs
		time.AfterFunc(b.linger(), func() { b.back(k) })
	case out:
		b.back(k)
	}
}

func (b *QuotaLimiter) back(k budgetedCall) {
	k.put()
	b.pump()
}

// ApplyFleetBounds has the module keep to this member's part of the fleet's budgets, as they
// move, and tells the fleet what it would have in hand if only it might.
func ApplyFleetBounds(core *dispatch.Core, member *fleet.Fleet) {
	calls := member.QuotaAgent(fleet.Calls)
	b := decision.FleetBounds{MaxCalls: math.Inf(1)}
	if member.QuotaAgent(fleet.Repeats) != nil {
		b.AcquireRetry = member.Repeat
	}
	if calls == nil {
		if b.AcquireRetry != nil {
			core.SetFleetBounds(b, func(int) {})
		}
		return
	}
	latest := make(chan uint64, 1) // a core that is busy must not hold up the fleet's side
	calls.OnAvailable(func(may uint64) {
		select {
		case latest <- may:
		default:
		}
	})
	go func() {
		for may := range latest {
			b.MaxCalls = float64(may)
			if core.SetFleetBounds(b, calls.ReportDemand) != nil {
				return // it has stopped
			}
		}
	}()
}
