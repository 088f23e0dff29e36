package fakes

import (
	"context"
	"sync"
	"time"
)

// Machine is a fake of a resource that a service's handlers wait for, for example a
// database. Its cores divide their time equally among the running jobs. It slows down
// under overload: above ThrashAt jobs per core, each further job per core reduces the
// speed by the fraction Thrash, but never below a tenth of the full speed. Do waits in real time until its job is
// done. A Machine is safe for concurrent use.
type Machine struct {
	Cores    float64
	ThrashAt float64 // jobs per core above which the speed falls
	Thrash   float64 // fraction of the full speed that is lost for each further job per core

	mu    sync.Mutex
	jobs  map[*machineJob]struct{}
	at    time.Time // when advance last updated the jobs
	timer *time.Timer
}

type machineJob struct {
	left float64 // remaining work in core-seconds
	done chan struct{}
}

// speed returns the work that each of n jobs gets done per second, in core-seconds.
func (m *Machine) speed(n int) float64 {
	if n == 0 {
		return 1
	}
	efficiency := 1.0
	if over := float64(n)/m.Cores - m.ThrashAt; over > 0 {
		efficiency = max(0.1, 1-m.Thrash*over)
	}
	return min(1, m.Cores/float64(n)) * efficiency
}

// Do runs a job and returns when it is done. work is its duration on one idle core. When
// ctx ends first, Do removes the job and returns ctx.Err().
func (m *Machine) Do(ctx context.Context, work time.Duration) error {
	j := &machineJob{left: work.Seconds(), done: make(chan struct{})}
	m.mu.Lock()
	m.advance()
	if m.jobs == nil {
		m.jobs = map[*machineJob]struct{}{}
	}
	m.jobs[j] = struct{}{}
	m.schedule()
	m.mu.Unlock()
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		m.mu.Lock()
		m.advance()
		delete(m.jobs, j)
		m.schedule()
		m.mu.Unlock()
		return ctx.Err()
	}
}

// advance subtracts the work done since its last call from each job and completes the jobs
// without remaining work. The lock is held.
func (m *Machine) advance() {
	now := time.Now()
	elapsed := now.Sub(m.at).Seconds()
	m.at = now
	speed := m.speed(len(m.jobs))
	for j := range m.jobs {
		if j.left -= elapsed * speed; j.left <= 1e-6 {
			close(j.done)
			delete(m.jobs, j)
		}
	}
}

// schedule sets the timer to the time at which the next job will be done. The lock is held.
func (m *Machine) schedule() {
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.jobs) == 0 {
		return
	}
	least := -1.0
	for j := range m.jobs {
		if least < 0 || j.left < least {
			least = j.left
		}
	}
	wait := time.Duration(least / m.speed(len(m.jobs)) * float64(time.Second))
	m.timer = time.AfterFunc(wait, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.advance()
		m.schedule()
	})
}
