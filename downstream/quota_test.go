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

// fixedQuota is a quota of so many calls.
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

// recorder is a dependency and a core that record their calls.
type recorder struct {
	mu       sync.Mutex
	recorded []string
}

func (r *recorder) record(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = append(r.recorded, what)
}

// Call implements dispatch.Dependency.
func (r *recorder) Call(id string, number int, wait time.Duration, _ []byte) {
	r.record(fmt.Sprint("call ", id, number, " ", wait))
}

// Abandon implements dispatch.Dependency.
func (r *recorder) Abandon(id string) { r.record("abandon " + id) }

// CallCompleted implements CallObserver.
func (r *recorder) CallCompleted(id string, number int, _ dispatch.CallOutcome, _ []byte) {
	r.record(fmt.Sprint("called ", id, number))
}

// TestQuotaLimiter has calls wait for rights in order, and for what is left of their time;
// abandoned and broken ones keep their rights for as long as they may still run, and more
// rights let more calls start.
func TestQuotaLimiter(t *testing.T) {
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
		check("called a1", "call c1 700ms")
		l.CallCompleted("a", 1, decision.Succeeded, nil) // a second reply gives nothing back
		check("called a1")
		l.Abandon("d") // it waits
		l.Abandon("b") // it is in flight, and may run on
		check("abandon b")
		time.Sleep(199 * time.Millisecond)
		synctest.Wait()
		check()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		check("call e1 500ms")
		l.CallCompleted("c", 1, decision.ConnectionReset, nil) // it may run on
		check("called c1")
		q.add(1)
		q.onRelease()
		check("call f1 500ms")
		time.Sleep(time.Second)
		synctest.Wait()
		l.Call("g", 1, 0, nil) // no time left: the core abandons it
		check()
	})
}
