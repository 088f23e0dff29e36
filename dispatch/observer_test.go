package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// observer keeps what it is told.
type observer struct {
	mu   sync.Mutex
	told []string
}

// ObserveResponse implements Observer.
func (o *observer) ObserveResponse(class string, kind OutcomeKind, _ time.Duration, repeat bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told = append(o.told, fmt.Sprintf("%s %d %t", class, kind, repeat))
}

// TestObserver has each final answer told once, a repeat's as such, and the
// count of open requests come back to none.
func TestObserver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &observer{}
		p := newPartyWith(t, func(opt *Options) { opt.Observer = o })
		defer p.end()
		p.submit(t, "a", "gift", "k")
		p.submit(t, "b", "gift", "k")
		if n := p.InFlight(); n != 2 {
			t.Errorf("%d open", n)
		}
		p.complete("a", RunSucceeded, "tack")
		p.submit(t, "c", "read", "")
		p.each(func(c *Core) { c.CancelRequest("c", sink{p}) })
		p.wait()
		o.mu.Lock()
		defer o.mu.Unlock()
		if got := fmt.Sprint(o.told); got != "[gift 0 false gift 0 true]" || p.InFlight() != 0 {
			t.Errorf("told %s, %d open", got, p.InFlight())
		}
	})
}
