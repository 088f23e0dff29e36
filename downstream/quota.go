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

// Quota is the member's part of the calls that the whole fleet may have in flight;
// *fleet.QuotaAgent is one.
type Quota interface {
	// TryAcquire acquires the right to one call, if there is one. release gives it back.
	TryAcquire() (release func(), ok bool)

	// OnRelease has f called whenever there may be rights again.
	OnRelease(f func())
}

// QuotaLimiter is a dispatch.Dependency that makes calls through another one, and only
// within a quota. Calls without a right wait in the order of their arrival; the core abandons
// them at their time-outs, as it does any call. The decision module plans by what it was last
// told of the quota (ApplyFleetBounds), which may be out of date; the limiter asks the quota
// at every call.
//
// A call that was abandoned, or whose connection broke, may go on running at the dependency.
// Its right is released only after the duration that NewQuotaLimiter is given.
type QuotaLimiter struct {
	next                  dispatch.Dependency
	core                  CallObserver
	quota                 Quota
	abandonedCallDuration func() time.Duration

	mu       sync.Mutex
	waiting  []limitedCall // in the order of their arrival
	inFlight map[string]limitedCall
}

// limitedCall is a call that waits or is in flight.
type limitedCall struct {
	id       string
	number   int // tells the calls of one run apart
	deadline time.Time
	body     []byte
	release  func() // nil while it waits
}

// NewQuotaLimiter makes a limiter of the calls to next. Calls of which nobody knows whether
// they still run count for abandonedCallDuration() longer. Attach must be called before the
// first call.
func NewQuotaLimiter(next dispatch.Dependency, quota Quota, abandonedCallDuration func() time.Duration) *QuotaLimiter {
	l := &QuotaLimiter{
		next: next, quota: quota, abandonedCallDuration: abandonedCallDuration, inFlight: make(map[string]limitedCall),
	}
	quota.OnRelease(l.makeWaitingCalls)
	return l
}

// Attach sets who is told how calls end. It must be called before the first call.
func (l *QuotaLimiter) Attach(core CallObserver) { l.core = core }

// Call implements dispatch.Dependency.
func (l *QuotaLimiter) Call(id string, number int, wait time.Duration, body []byte) {
	l.mu.Lock()
	l.waiting = append(l.waiting, limitedCall{id: id, number: number, deadline: time.Now().Add(wait), body: body})
	l.mu.Unlock()
	l.makeWaitingCalls()
}

// makeWaitingCalls makes the waiting calls for which there are rights.
func (l *QuotaLimiter) makeWaitingCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.waiting) > 0 {
		c := l.waiting[0]
		remaining := time.Until(c.deadline)
		if remaining > 0 { // else the core is about to abandon it
			release, ok := l.quota.TryAcquire()
			if !ok {
				return
			}
			c.release = release
			l.inFlight[c.id] = c
			l.next.Call(c.id, c.number, remaining, c.body) // it does not block, so the lock may be held
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

// CallCompleted implements CallObserver: the limiter stands between the dependency and the
// core.
func (l *QuotaLimiter) CallCompleted(id string, number int, end dispatch.CallOutcome, reply []byte) {
	l.mu.Lock()
	c, ok := l.inFlight[id]
	if ok = ok && c.number == number; ok { // else it is late, or a duplicate
		delete(l.inFlight, id)
	}
	l.mu.Unlock()
	l.core.CallCompleted(id, number, end, reply)
	switch {
	case ok && end == decision.ConnectionReset: // nobody knows whether it still runs
		l.releaseLater(c)
	case ok:
		l.release(c)
	}
}

// release gives a call's right back.
func (l *QuotaLimiter) release(c limitedCall) {
	c.release()
	l.makeWaitingCalls()
}

// releaseLater gives a call's right back after abandonedCallDuration: by then the dependency
// is taken to have ended the call.
func (l *QuotaLimiter) releaseLater(c limitedCall) {
	time.AfterFunc(l.abandonedCallDuration(), func() { l.release(c) })
}

// ApplyFleetBounds has the core keep to this member's part of the fleet's quotas, and follow
// its changes, in a goroutine of its own until the core has stopped. It reports to the fleet
// how many calls the core would have in flight without the quotas.
func ApplyFleetBounds(core *dispatch.Core, member *fleet.Fleet) {
	bounds := decision.FleetBounds{MaxCalls: math.Inf(1)}
	if member.QuotaAgent(fleet.RetryQuota) != nil {
		bounds.AcquireRetry = member.AcquireRetry
	}
	calls := member.QuotaAgent(fleet.CallQuota)
	if calls == nil {
		if bounds.AcquireRetry != nil {
			_ = core.SetFleetBounds(bounds, func(int) {}) // it fails once the core has stopped
		}
		return
	}
	latest := make(chan uint64, 1) // a busy core must not block the fleet's goroutine
	calls.OnAvailable(func(rights uint64) {
		select {
		case latest <- rights:
		default:
		}
	})
	go func() {
		for rights := range latest {
			bounds.MaxCalls = float64(rights)
			if core.SetFleetBounds(bounds, calls.ReportDemand) != nil {
				return // the core has stopped
			}
		}
	}()
}
