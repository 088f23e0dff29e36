package fakes

import (
	"context"
	"sync"
	"time"
)

// Machine is a fake of what a service's handlers wait for, a database say:
// cores that share their time among what runs on them, and that get less done
// in total once more than ThrashAt runs a core are on them, Thrash of their
// speed less for each further run a core (at least a tenth is left). Do waits,
// in real time, as long as the work takes on it. It is safe for concurrent use.
type Machine struct {
	Cores, ThrashAt, Thrash float64

	mu    sync.Mutex
	jobs  map[*machineJob]struct{}
	at    time.Time // when the jobs' work was last counted
	timer *time.Timer
}

type machineJob struct {
	left float64 // core-seconds of work
	done chan struct{}
}

// speed is each job's share of a core with n on the machine.
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

// Do runs work that takes so long on one idle core, until it is done or ctx
// ends; an ended ctx takes the work off the machine.
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

// advance counts the work done since the last time, and ends what is done.
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

// schedule sets the timer for the next job to end.
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
