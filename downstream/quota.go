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

// Quota is this member's part of the calls that the fleet may have in flight;
// *fleet.QuotaAgent implements it.
type Quota interface {
	// TryAcquire acquires the right to one call. ok is false if no right is available.
	// release returns the right.
	TryAcquire() (release func(), ok bool)

	// OnRelease sets a function that is called whenever rights may be available again.
	OnRelease(f func())
}

// QuotaLimiter is a dispatch.Dependency that passes calls to another dependency within a
// quota. Calls for which no right is available wait in the order of their arrival. The core
// abandons them at their time-outs, like any other call. The decision module plans with the
// last quota that ApplyFleetBounds passed to it, which may be out of date; QuotaLimiter
// acquires a right from the quota for each call.
//
// A call that was abandoned, or whose connection broke, may still run at the dependency. Its
// right is released after the duration that is passed to NewQuotaLimiter.
type QuotaLimiter struct {
	next                  dispatch.Dependency
	observer              CallObserver
	quota                 Quota
	abandonedCallDuration func() time.Duration

	mu       sync.Mutex
	waiting  []limitedCall          // in the order of their arrival
	inFlight map[string]limitedCall // by run ID
}

// limitedCall is a call that waits for a right or is in flight.
type limitedCall struct {
	id       string // of the run
	number   int    // distinguishes the calls of one run
	deadline time.Time
	body     []byte
	release  func() // nil while the call waits
}

// NewQuotaLimiter returns a limiter of the calls to next. A call that was abandoned or whose
// connection broke holds its right for abandonedCallDuration() longer. Attach must be called
// before the first call.
func NewQuotaLimiter(next dispatch.Dependency, quota Quota, abandonedCallDuration func() time.Duration) *QuotaLimiter {
	l := &QuotaLimiter{
		next: next, quota: quota, abandonedCallDuration: abandonedCallDuration, inFlight: make(map[string]limitedCall),
	}
	quota.OnRelease(l.startWaitingCalls)
	return l
}

// Attach sets the observer of the calls' outcomes. It must be called before the first call.
func (l *QuotaLimiter) Attach(observer CallObserver) { l.observer = observer }

// Call implements dispatch.Dependency.
func (l *QuotaLimiter) Call(id string, number int, wait time.Duration, body []byte) {
	l.mu.Lock()
	l.waiting = append(l.waiting, limitedCall{id: id, number: number, deadline: time.Now().Add(wait), body: body})
	l.mu.Unlock()
	l.startWaitingCalls()
}

// startWaitingCalls starts waiting calls in order while rights are available.
func (l *QuotaLimiter) startWaitingCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		c := l.waiting[0]
		remaining := time.Until(c.deadline)
		if remaining > 0 { // else the call is dropped here: the core is about to abandon it
			release, ok := l.quota.TryAcquire()
			if !ok {
				return
			}
			c.release = release
			l.inFlight[c.id] = c
			l.next.Call(c.id, c.number, remaining, c.body) // does not block, so l.mu may be held
		}
		l.waiting = l.waiting[1:]
	}
}

// Abandon implements dispatch.Dependency.
func (l *QuotaLimiter) Abandon(id string) {
	l.mu.Lock()
	l.waiting = slices.DeleteFunc(l.waiting, func(c limitedCall) bool { return c.id == id })
	c, ok := l.inFlight[id]
	delete(l.inFlight, id)
	l.mu.Unlock()
	if ok {
		l.next.Abandon(id)
		l.releaseLater(c)
	}
}

// CallCompleted implements CallObserver. The limiter observes the calls of next, releases
// their rights and passes the outcomes to its own observer.
func (l *QuotaLimiter) CallCompleted(id string, number int, outcome dispatch.CallOutcome, reply []byte) {
	l.mu.Lock()
	c, ok := l.inFlight[id]
	if ok = ok && c.number == number; ok { // else the reply is late or a duplicate
		delete(l.inFlight, id)
	}
	l.mu.Unlock()
	l.observer.CallCompleted(id, number, outcome, reply)
	switch {
	case ok && outcome == decision.ConnectionReset: // the call may still run at the dependency
		l.releaseLater(c)
	case ok:
		l.release(c)
	}
}

// release returns a call's right and starts waiting calls.
func (l *QuotaLimiter) release(c limitedCall) {
	c.release()
	l.startWaitingCalls()
}

// releaseLater returns a call's right after abandonedCallDuration. The call is assumed to have
// ended at the dependency by then.
func (l *QuotaLimiter) releaseLater(c limitedCall) {
	time.AfterFunc(l.abandonedCallDuration(), func() { l.release(c) })
}

// ApplyFleetBounds sets the core's fleet bounds to this member's part of the fleet's quotas.
// If there is a quota of calls, it starts a goroutine that applies changes of the quota until
// the core has stopped. In this case the core also reports to the fleet how many calls it
// would have in flight without the quota.
func ApplyFleetBounds(core *dispatch.Core, member *fleet.Fleet) {
	bounds := decision.FleetBounds{MaxCalls: math.Inf(1)}
	if member.QuotaAgent(fleet.RetryQuota) != nil {
		bounds.AcquireRetry = member.AcquireRetry
	}
	calls := member.QuotaAgent(fleet.CallQuota)
	if calls == nil {
		if bounds.AcquireRetry != nil {
			_ = core.SetFleetBounds(bounds, func(int) {}) // fails only if the core has stopped
		}
		return
	}
	updates := make(chan uint64, 1) // an update is dropped if the core is busy: the fleet's goroutine must not block
	calls.OnAvailable(func(rights uint64) {
		select {
		case updates <- rights:
		default:
		}
	})
	go func() {
		for rights := range updates {
			bounds.MaxCalls = float64(rights)
			if core.SetFleetBounds(bounds, calls.ReportDemand) != nil {
				return // the core has stopped
			}
		}
	}()
}
