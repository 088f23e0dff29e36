package admission

import (
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/decision"
)

// healthCheckTimeout is the time within which a new goroutine must be scheduled for a deep
// health check to succeed. Goroutines are scheduled late if handlers that never block occupy
// all cores.
const healthCheckTimeout = 100 * time.Millisecond

// processMachine is the dispatch.Machine of a service. It reads the gauges of its own
// process; the daemon requests them from the processor instead. CoreUtilization is the CPU
// time (getrusage(2), user and system) that the process used since the last reading, as a
// fraction of the time of the configured cores. The other gauges are negative, which means
// unknown. RunnableTasks is unknown so that the decision module counts its own runs: the
// number of runnable goroutines (runtime/metrics) would include those that serve
// connections. A reading takes about a microsecond.
type processMachine struct {
	cores float64

	mu  sync.Mutex    // the core's timers may call ReadGauges at any time
	cpu time.Duration // CPU time of the process at the last reading
	at  time.Time     // time of the last reading
}

// newProcessMachine returns a machine with this number of cores. Its first reading covers the
// time since this call.
func newProcessMachine(cores int) *processMachine {
	p := &processMachine{cores: float64(cores)}
	p.cpu, p.at = cpuTime(), time.Now()
	return p
}

// cpuTime returns the CPU time that the process has used, or 0 if it can't be read.
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
	startedAt := time.Now()
	go func() { reply(time.Since(startedAt) < healthCheckTimeout) }()
}
