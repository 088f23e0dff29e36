package admission

import (
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/decision"
)

// healthCheckTimeout is how soon a new goroutine must be scheduled for the process to
// be healthy in a deep health check. Where handlers that never wait occupy all cores,
// it is scheduled late.
const healthCheckTimeout = 100 * time.Millisecond

// processMachine is the dispatch.Machine of a service: it reads the gauges of this process,
// where the daemon asks the processor for them. CoreUtilization is the part of the
// configured cores' time since the last reading that the process used (getrusage(2), user
// and system). The other gauges are negative, which means unknown. RunnableTasks is one of
// them, so that the module counts its own runs: the number of runnable goroutines
// (runtime/metrics) would include those that serve connections. A reading takes about a
// microsecond.
type processMachine struct {
	cores float64

	mu  sync.Mutex    // the core's timers read at any time
	cpu time.Duration // at the last reading
	at  time.Time
}

// newProcessMachine makes a machine of so many cores. Its first reading covers the time
// from now on.
func newProcessMachine(cores int) *processMachine {
	p := &processMachine{cores: float64(cores)}
	p.cpu, p.at = cpuTime(), time.Now()
	return p
}

// cpuTime returns the CPU time that the process has used, or 0 if that is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ReadGauges implements dispatch.Machine. It calls reply before it returns.
func (p *processMachine) ReadGauges(reply func(decision.Gauges)) {
	g := decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1}
	p.mu.Lock()
	cpu, now := cpuTime(), time.Now()
	if wall := now.Sub(p.at); cpu > 0 && wall > 0 {
		g.CoreUtilization = min(1, float64(cpu-p.cpu)/float64(wall)/p.cores)
	}
	p.cpu, p.at = cpu, now
	p.mu.Unlock()
	reply(g)
}

// CheckHealth implements dispatch.Machine: the process is healthy if a new goroutine is
// scheduled within healthCheckTimeout.
func (p *processMachine) CheckHealth(reply func(healthy bool)) {
	asked := time.Now()
	go func() { reply(time.Since(asked) < healthCheckTimeout) }()
}
