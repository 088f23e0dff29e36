package admission

import (
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/decision"
)

// healthCheckTimeout is how soon a new goroutine must be scheduled for a deep health
// check to be good: a process whose cores are taken by handlers that never
// wait answers late.
const healthCheckTimeout = 100 * time.Millisecond

// process gives the module the gauge of the process it runs in that the
// processor gives the daemon (dispatch.Machine): CoreUtilization, the process's CPU time
// (getrusage(2), user and system) over the wall time since the last reading,
// for the configured cores. RunnableTasks is not given (negative), so the module counts
// its own runs: the number of runnable goroutines (runtime/metrics) would count the
// service's callers and readers as much as its runs. Memory and connections are not given
// either. Reading takes a microsecond, once a tick of the module.
type process struct {
	cores float64

	mu  sync.Mutex    // readings come from the core's timers
	cpu time.Duration // at the last reading
	at  time.Time
}

func newProcess(cores int) *process {
	p := &process{cores: float64(cores)}
	p.cpu, p.at = cpuTime(), time.Now()
	return p
}

// cpuTime is the CPU time that the process has used, 0 where it can't be had.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ReadGauges implements dispatch.Machine. It answers at once.
func (p *process) ReadGauges(reply func(decision.Gauges)) {
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

// CheckHealth implements dispatch.Machine: good when a new goroutine is scheduled
// within trialWithin.
func (p *process) CheckHealth(reply func(good bool)) {
	asked := time.Now()
	go func() { reply(time.Since(asked) < healthCheckTimeout) }()
}
