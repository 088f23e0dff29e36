package limits

import (
	"fmt"
	"math"
	"math/rand"
	"time"
)

// machine models the downstream of the pools in simulated time. Its cores share their time
// among the runs, and thrash if there are more than thrashingThreshold runs per core: the
// total throughput falls.
type machine struct {
	cores              float64
	thrashingThreshold float64 // runs per core
	thrashingLoss      float64 // share of the throughput lost for each run per core above the threshold
}

// speed returns each run's share of a core if the given number of runs is in flight.
func (m machine) speed(runs int) float64 {
	if runs == 0 {
		return 1
	}
	efficiency := 1.0
	if excess := float64(runs)/m.cores - m.thrashingThreshold; excess > 0 {
		efficiency = max(0.1, 1-m.thrashingLoss*excess)
	}
	return min(1, m.cores/float64(runs)) * efficiency
}

// job is a simulated request, which runs on the machine.
type job struct {
	id        string
	class     int
	remaining float64 // remaining work in core-seconds
	startedAt time.Duration
	arrivedAt time.Duration
	permit    Permit
}

// load is an open-loop stream of the requests of one class.
type load struct {
	rate float64       // requests per second
	work time.Duration // mean time that a request takes on one core
	cv   float64       // coefficient of variation of the work, which is lognormally distributed
}

// result holds the counts of a simulation. Served requests are those that ended within
// requestTimeout; late ones ended after it, or were still queued.
type result struct {
	served, shed, late int
	servedByClass      []int
	servedBySecond     []int
	limits             []float64 // of class 0, one for each limitSampleInterval
}

const (
	timeStep            = time.Millisecond // of the simulated time
	limitSampleInterval = 100 * time.Millisecond
	requestTimeout      = time.Second // of all requests
)

// simulation runs loads on a machine, with pools or without.
type simulation struct {
	machine machine
	loads   []load
	pools   *Pools // nil if every request runs at once

	random  *rand.Rand
	running []*job
	queued  map[string]*job
	jobs    int // number of jobs so far
	result  result
}

// simulate runs loads on a machine for a duration, with pools or, if pools is nil, without.
// modify may change the machine before each step; it may be nil.
func simulate(seed int64, m machine, loads []load, pools *Pools, duration time.Duration, modify func(now time.Duration, m *machine)) result {
	s := &simulation{
		machine: m, loads: loads, pools: pools,
		random: rand.New(rand.NewSource(seed)), queued: map[string]*job{},
		result: result{servedByClass: make([]int, len(loads))},
	}
	for now := time.Duration(0); now < duration; now += timeStep {
		if modify != nil {
			modify(now, &s.machine)
		}
		s.generateRequests(now)
		for _, j := range s.advance() {
			s.complete(j, now)
		}
		if pools != nil {
			s.expire(now)
			if now%limitSampleInterval == 0 {
				s.result.limits = append(s.result.limits, pools.Limit(0))
			}
		}
	}
	return s.result
}

// generateRequests submits the requests that arrive in one step.
func (s *simulation) generateRequests(now time.Duration) {
	for class, l := range s.loads {
		for n := poisson(s.random, l.rate*timeStep.Seconds()); n > 0; n-- {
			s.jobs++
			work := l.work.Seconds() * math.Exp(l.cv*s.random.NormFloat64()-l.cv*l.cv/2)
			s.submit(&job{id: fmt.Sprint(s.jobs), class: class, remaining: work, arrivedAt: now}, now)
		}
	}
}

// submit starts, queues or sheds a job.
func (s *simulation) submit(j *job, now time.Duration) {
	if s.pools == nil {
		s.start(j, Permit{}, now)
		return
	}
	if permit, ok := s.pools.TryAcquire(j.class, ""); ok {
		s.start(j, permit, now)
	} else if s.pools.Enqueue(j.class, j.id, now, requestTimeout/2) { // as the core does with half of the latency objective
		s.queued[j.id] = j
	} else {
		s.result.shed++
	}
}

func (s *simulation) start(j *job, permit Permit, now time.Duration) {
	j.permit, j.startedAt = permit, now
	s.running = append(s.running, j)
}

// advance runs the machine for one step, and returns the jobs that ended.
func (s *simulation) advance() (ended []*job) {
	speed := s.machine.speed(len(s.running))
	remaining := s.running[:0]
	for _, j := range s.running {
		if j.remaining -= speed * timeStep.Seconds(); j.remaining > 0 {
			remaining = append(remaining, j)
		} else {
			ended = append(ended, j)
		}
	}
	s.running = remaining
	return ended
}

// complete counts a job that ended, and starts the jobs that its released slot admits.
func (s *simulation) complete(j *job, now time.Duration) {
	if took := now + timeStep - j.arrivedAt; took <= requestTimeout {
		s.served(j.class, now)
	} else {
		s.result.late++
	}
	if s.pools == nil {
		return
	}
	for _, admitted := range s.pools.Release(j.permit, now+timeStep-j.startedAt, true) {
		next := s.queued[admitted.ID]
		delete(s.queued, admitted.ID)
		s.start(next, admitted.Permit, now+timeStep)
	}
}

func (s *simulation) served(class int, now time.Duration) {
	r := &s.result
	r.served++
	r.servedByClass[class]++
	for int(now/time.Second) >= len(r.servedBySecond) {
		r.servedBySecond = append(r.servedBySecond, 0)
	}
	r.servedBySecond[now/time.Second]++
}

// expire cancels the jobs that have been queued for longer than requestTimeout.
func (s *simulation) expire(now time.Duration) {
	for id, j := range s.queued {
		if now-j.arrivedAt > requestTimeout {
			s.pools.Cancel(j.class, id)
			delete(s.queued, id)
			s.result.late++
		}
	}
}

// poisson returns a Poisson-distributed random number.
func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for q := rng.Float64(); q > p; q *= rng.Float64() {
		n++
	}
	return n
}
