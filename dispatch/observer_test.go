package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// observer records what is reported to it.
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

// TestObserver: each final answer is reported once, a duplicate's as such, and the number of
// open requests returns to 0.
func TestObserver(t *testing.T) {
	o := &observer{}
	runTestWith(t, func(opt *Options) { opt.Observer = o }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		h.submit(t, "b", "gift", "k")
		if n := h.InFlight(); n != 2 {
			t.Errorf("%d open", n)
		}
		h.complete("a", RunSucceeded, "tack")
		h.submit(t, "c", "read", "")
		h.each(func(c *Core) { c.CancelRequest("c", responder{h}) })
		h.wait()
		o.mu.Lock()
		defer o.mu.Unlock()
		if got := fmt.Sprint(o.responses); got != "[gift 0 false gift 0 true]" || h.InFlight() != 0 {
			t.Errorf("reported %s, %d open", got, h.InFlight())
		}
	})
}
