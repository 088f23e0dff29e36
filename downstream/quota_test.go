package downstream

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
)

// fixedQuota is a quota with a number of available rights.
type fixedQuota struct {
	mu        sync.Mutex
	available int
	onRelease func()
}

func (q *fixedQuota) add(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.available += n
}

// TryAcquire implements Quota.
func (q *fixedQuota) TryAcquire() (release func(), ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.available == 0 {
		return nil, false
	}
	q.available--
	return func() { q.add(1) }, true
}

// OnRelease implements Quota.
func (q *fixedQuota) OnRelease(f func()) { q.onRelease = f }

// recorder records what a limiter calls. It is both the limiter's dependency and its observer.
type recorder struct {
	mu       sync.Mutex
	recorded []string
}

func (r *recorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, event)
}

// Call implements dispatch.Dependency.
func (r *recorder) Call(id string, number int, wait time.Duration, _ []byte) {
	r.record(fmt.Sprint("call ", id, number, " ", wait))
}

// Abandon implements dispatch.Dependency.
func (r *recorder) Abandon(id string) { r.record("abandon " + id) }

// CallCompleted implements CallObserver.
func (r *recorder) CallCompleted(id string, number int, _ dispatch.CallOutcome, _ []byte) {
	r.record(fmt.Sprint("completed ", id, number))
}

// TestQuotaLimiter_MakesCallsWithinQuota checks that calls wait for rights in order and start
// with the remaining part of their time-outs, that abandoned calls and calls on broken
// connections keep their rights while they may still run, and that additional rights start
// more calls.
func TestQuotaLimiter_MakesCallsWithinQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, q := &recorder{}, &fixedQuota{available: 2}
		l := NewQuotaLimiter(d, q, func() time.Duration { return 200 * time.Millisecond })
		l.Attach(d)
		check := func(want ...string) {
			t.Helper()
			d.mu.Lock()
			defer d.mu.Unlock()
			if fmt.Sprint(d.recorded) != fmt.Sprint(want) {
				t.Errorf("recorded %q, want %q", d.recorded, want)
			}
			d.recorded = nil
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			l.Call(id, 1, time.Second, nil)
		}
		check("call a1 1s", "call b1 1s")
		time.Sleep(300 * time.Millisecond)
		l.CallCompleted("a", 1, decision.Succeeded, nil)
		check("completed a1", "call c1 700ms")
		l.CallCompleted("a", 1, decision.Succeeded, nil) // a duplicate reply releases no right
		check("completed a1")
		l.Abandon("d") // waiting
		l.Abandon("b") // in flight: may still run at the dependency
		check("abandon b")
		time.Sleep(199 * time.Millisecond)
		synctest.Wait()
		check()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		check("call e1 500ms")
		l.CallCompleted("c", 1, decision.ConnectionReset, nil) // may still run at the dependency
		check("completed c1")
		q.add(1)
		q.onRelease()
		check("call f1 500ms")
		time.Sleep(time.Second)
		synctest.Wait()
		l.Call("g", 1, 0, nil) // no time left: the call is not made
		check()
	})
}
