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

// rights is a budget of so many.
type rights struct {
	mu    sync.Mutex
	left  int
	freed func()
}

func (r *rights) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += n
}

// Take implements Budget.
func (r *rights) TryAcquire() (func(), bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == 0 {
		return nil, false
	}
	r.left--
	return func() { r.add(1) }, true
}

// OnRelease implements Budget.
func (r *rights) OnRelease(f func()) { r.freed = f }

// below is a dependency that notes what it is told, and a core that notes what
// it hears.
type below struct {
	mu   sync.Mutex
	told []string
}

func (b *below) tell(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = append(b.told, what)
}

// Call implements dispatch.Dependency.
func (b *below) Call(id string, number int, wait time.Duration, _ []byte) {
	b.tell(fmt.Sprint("call ", id, number, " ", wait))
}

// Abandon implements dispatch.Dependency.
func (b *below) Abandon(id string) { b.tell("abandon " + id) }

// CallCompleted implements Caller.
func (b *below) CallCompleted(id string, number int, _ dispatch.CallOutcome, _ []byte) {
	b.tell(fmt.Sprint("called ", id, number))
}

// TestBudgetedCalls has calls wait for room in order and for what is left of
// their time, those that are given up or broken count for as long as they may
// linger, and more rights let more go.
func TestBudgetedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, r := &below{}, &rights{left: 2}
		b := NewQuotaLimiter(d, r, func() time.Duration { return 200 * time.Millisecond })
		b.Attach(d)
		check := func(want ...string) {
			t.Helper()
			d.mu.Lock()
			defer d.mu.Unlock()
			if fmt.Sprint(d.told) != fmt.Sprint(want) {
				t.Errorf("told %q, want %q", d.told, want)
			}
			d.told = nil
		}
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			b.Call(id, 1, time.Second, nil)
		}
		check("call a1 1s", "call b1 1s")
		time.Sleep(300 * time.Millisecond)
		b.CallCompleted("a", 1, decision.Succeeded, nil)
		check("called a1", "call c1 700ms")
		b.CallCompleted("a", 1, decision.Succeeded, nil) // a second reply gives nothing back
		check("called a1")
		b.Abandon("d") // it waits
		b.Abandon("b") // it is out, and lingers
		check("abandon b")
		time.Sleep(199 * time.Millisecond)
		synctest.Wait()
		check()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		check("call e1 500ms")
		b.CallCompleted("c", 1, decision.ConnectionReset, nil) // it may run on
		check("called c1")
		r.add(1)
		r.freed()
		check("call f1 500ms")
		time.Sleep(time.Second)
		synctest.Wait()
		b.Call("g", 1, 0, nil) // no time left: the core gives it up
		check()
	})
}
