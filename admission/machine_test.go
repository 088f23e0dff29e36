package admission

import (
	"runtime"
	"sync/atomic"
	"testing"

	"quincerail.example/quincerail/decision"
)

// TestProcessMachine_ReportsCoreUtilizationOnly runs goroutines that use the cores without
// blocking: CoreUtilization is above 0, and the other gauges are unknown.
func TestProcessMachine_ReportsCoreUtilizationOnly(t *testing.T) {
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
	for cpuTime() == p.cpu { // until the process's CPU time includes the spinners
		runtime.Gosched()
	}
	var g decision.Gauges
	p.ReadGauges(func(read decision.Gauges) { g = read })
	if !(g.CoreUtilization > 0 && g.CoreUtilization <= 1) {
		t.Errorf("CoreUtilization = %v, want above 0 and at most 1", g.CoreUtilization)
	}
	if g.RunnableTasks >= 0 || g.MemoryUtilization >= 0 || g.Connections >= 0 {
		t.Errorf("RunnableTasks = %v, MemoryUtilization = %v, Connections = %v, want negative values", g.RunnableTasks, g.MemoryUtilization, g.Connections)
	}
	healthy := make(chan bool)
	p.CheckHealth(func(ok bool) { healthy <- ok })
	<-healthy // either value: with spinners on every core the goroutine may be scheduled late
}
