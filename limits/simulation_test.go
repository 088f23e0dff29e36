package limits

import (
	"fmt"
	"math"
	"math/rand"
	"time"
)

// machine is a model of what is downstream of the pools, in simulated time: cores that
// share their time among the runs, and whose total throughput falls with more than
// thrashAt runs a core.
type machine struct {
	cores    float64
	thrashAt float64 // runs a core from which on the throughput falls
	thrash   float64 // the share of the throughput lost for each further run a core
}

// speed is each run's share of a core with that many in flight.
func (m machine) speed(runs int) float64 {
	if runs == 0 {
		return 1
	}
	efficiency := 1.0
	if excess := float64(runs)/m.cores - m.thrashAt; excess > 0 {
		efficiency = max(0.1, 1-m.thrash*excess)
	}
	return min(1, m.cores/float64(runs)) * efficiency
}

// job is a run on the machine.
type job struct {
	id        string
	class     int
	remaining float64 // of its work, in core-seconds
	startedAt time.Duration
	arrivedAt time.Duration
	permit    Permit
}

// load is an open stream of requests of a class.
type load struct {
	rate float64       // requests a second
	work time.Duration // of a request on one core
	cv   float64       // coefficient of variation of the work, which is lognormal
}

// result is what a simulation came to.
type result struct {
	served, shed, late int
	servedByClass      []int // within the patience
	servedBySecond     []int // likewise
	limits             []float64
}

const (
	timeStep            = time.Millisecond       // of the simulated time
	limitSampleInterval = 100 * time.Millisecond // between two records of the limit of class 0
	patience            = time.Second            // of all requests
)

// simulation plays loads on a machine, with pools or without.
type simulation struct {
	machine machine
	loads   []load
	pools   *Pools // nil: every run starts at once

	random  *rand.Rand
	running []*job
	queued  map[string]*job
	jobs    int
	result  result
}

// play plays loads on a machine for a span, with pools or without (nil). change, if it
// isn't nil, may change the machine at each step.
func play(seed int64, m machine, loads []load, pools *Pools, span time.Duration, change func(now time.Duration, m *machine)) result {
	s := &simulation{
		machine: m, loads: loads, pools: pools,
		random: rand.New(rand.NewSource(seed)), queued: map[string]*job{},
		result: result{servedByClass: make([]int, len(loads))},
	}
	for now := time.Duration(0); now < span; now += timeStep {
		if change != nil {
			change(now, &s.machine)
		}
		s.arrive(now)
		for _, j := range s.work() {
			s.complete(j, now)
		}
		if pools != nil {
			s.expire(now)
			if now%limitSampleInterval == 0 {
				s.result.limits = append(s.result.limits, pools.Capacity(0))
			}
		}
	}
	return s.result
}

// arrive submits the requests of one step.
func (s *simulation) arrive(now time.Duration) {
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
	} else if s.pools.Enqueue(j.class, j.id, now, patience/2) { // half the latency objective, as the core does
		s.queued[j.id] = j
	} else {
		s.result.shed++
	}
}

func (s *simulation) start(j *job, permit Permit, now time.Duration) {
	j.permit, j.startedAt = permit, now
	s.running = append(s.running, j)
}

// work has the machine work for one step, and returns the jobs that ended.
func (s *simulation) work() (ended []*job) {
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

// complete counts a job that ended, and starts what its slot lets start.
func (s *simulation) complete(j *job, now time.Duration) {
	if took := now + timeStep - j.arrivedAt; took <= patience {
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

// expire cancels what is queued beyond its patience.
func (s *simulation) expire(now time.Duration) {
	for id, j := range s.queued {
		if now-j.arrivedAt > patience {
			s.pools.Cancel(j.class, id)
			delete(s.queued, id)
			s.result.late++
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for q := rng.Float64(); q > p; q *= rng.Float64() {
		n++
	}
	return n
}
