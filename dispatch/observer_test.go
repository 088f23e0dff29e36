package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// observer is an Observer that records all answers.
type observer struct {
	mu        sync.Mutex
	responses []string
}

// ObserveResponse implements Observer.
func (o *observer) ObserveResponse(class string, kind OutcomeKind, _ time.Duration, duplicate bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses = append(o.responses, fmt.Sprintf("%s %d %t", class, kind, duplicate))
}

// TestObserver_GetsEachAnswerOnce checks that each answer is reported once, with duplicate set
// for the answer to a duplicate, and that InFlight returns to 0.
func TestObserver_GetsEachAnswerOnce(t *testing.T) {
	o := &observer{}
	runTestWith(t, func(opt *Options) { opt.Observer = o }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "gift", "k")
		if n := h.InFlight(); n != 2 {
			t.Errorf("InFlight() = %d, want 2", n)
		}
		h.completeRun("a", RunSucceeded, "tack")
		h.submit(t, "c", "read", "")
		h.forEachCore(func(c *Core) { c.CancelRequest("c", responder{h}) })
		h.wait()
		o.mu.Lock()
		defer o.mu.Unlock()
		if got := fmt.Sprint(o.responses); got != "[gift 0 false gift 0 true]" || h.InFlight() != 0 {
			t.Errorf("observed %s with InFlight() = %d, want the answers to a and b, and 0", got, h.InFlight())
		}
	})
}
