package admission

import (
	"runtime"
	"sync/atomic"
	"testing"

	"quincerail.example/quincerail/decision"
)

// TestProcessGauges has goroutines take the cores without waiting: the gauge
// counts the cores as busy; what wants a core is not told.
func TestProcessGauges(t *testing.T) {
	const spinners = 3
	var stop atomic.Bool
	started := make(chan struct{}, spinners)
	defer stop.Store(true)
	for range spinners {
		go func() {
			started <- struct{}{}
			for !stop.Load() {
			}
		}()
	}
	for range spinners {
		<-started
	}
	p := newProcessMachine(runtime.GOMAXPROCS(0))
	for cpuTime() == p.cpu { // until the spinners' time is counted
		runtime.Gosched()
	}
	var g decision.Gauges
	p.ReadGauges(func(read decision.Gauges) { g = read })
	if !(g.CoreUtilization > 0 && g.CoreUtilization <= 1) {
		t.Errorf("core use %v, want a share above 0", g.CoreUtilization)
	}
	if g.RunnableTasks >= 0 || g.MemoryUtilization >= 0 || g.Connections >= 0 {
		t.Errorf("on the cores %v, memory %v, connections %v: none is known", g.RunnableTasks, g.MemoryUtilization, g.Connections)
	}
	good := make(chan bool)
	p.CheckHealth(func(ok bool) { good <- ok })
	<-good // with spinners on every core it may be late; that it answers is what counts here
}
