package policy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"quincerail.example/quincerail/decision"
)

const (
	maxTimerInterval       = 25 * time.Millisecond
	timersPerDeadlineSlack = 4 // so that an answer is not late by more than a part of it
)

// Instance decides for one server. It is not safe for concurrent use.
type Instance struct {
	settings decision.Settings
	fleet    decision.FleetBounds
	host     decision.Host
	random   *rand.Rand

	now               time.Duration // of the latest event
	started           bool          // Decide was called
	startedAt         time.Duration
	decayedAt         time.Duration // when averages last faded
	timerInterval     time.Duration // between two calls of Tick
	shortestObjective time.Duration // latency objective of the strictest class

	requests    map[string]*request // by id; finished ones stay while their results are cached
	live        []*request          // not finished, in the order of arrival
	queue       priorityQueue       // queued and preempted ones
	cached      []*request          // those whose results are cached
	count       [finished + 1]int   // requests in each state
	transitions int                 // between states, so far
	reservedKB  float64             // memory of the requests and of the cached results

	tenantArrivals tenantArrivals
	concurrency    concurrencyLimit
	quota          callQuota
	timeouts       callTimeouts
	retries        retryBudget
	breaker        circuitBreaker
	health         healthMonitor
	load           loadReport
	idle           idleTimeout
	drain          drainState
}

// New makes an instance. The error names the first setting that makes no sense.
func New(s decision.Settings, seed int64, host decision.Host) (*Instance, error) {
	if host == nil {
		return nil, errors.New("host: none, one is needed")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	in := &Instance{
		settings: s, host: host, random: rand.New(rand.NewSource(seed)), requests: make(map[string]*request),
		fleet:          decision.FleetBounds{MaxCalls: math.Inf(1)},
		tenantArrivals: make(tenantArrivals, max(1, len(s.Tenants))),
		concurrency:    concurrencyLimit{limit: float64(s.Cores)},
		quota:          callQuota{callsPerRun: make([]float64, len(s.Classes))},
		retries:        retryBudget{tokens: maxRetryBudget},
		health:         healthMonitor{healthy: true},
		load:           loadReport{published: neverPublished},
		idle:           idleTimeout{timeout: s.MaxIdleTime},
	}
	in.applySettings(0)
	in.timeouts.controller.timeout = time.Duration(float64(in.shortestObjective) * initialTimeoutFraction)
	return in, nil
}

// applySettings derives what follows from the settings. Classes from the given index on
// are new.
func (in *Instance) applySettings(firstNewClass int) {
	s := &in.settings
	in.timerInterval = max(s.BatchInterval, min(maxTimerInterval, s.DeadlineSlack/timersPerDeadlineSlack))
	in.shortestObjective = slices.MinFunc(s.Classes, func(a, b decision.Class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	}).LatencyObjective
	for class := firstNewClass; class < len(s.Classes); class++ {
		if s.Classes[class].CallsDependency {
			in.quota.callsPerRun[class] = initialCallsPerRun
		}
	}
	in.timeouts.optimizer.abandonedCost = float64(s.AbandonedCallDuration)
	in.timeouts.controller.minimum = s.AbandonedCallDuration
}

// UpdateSettings takes over other settings. Classes keep their places, and new ones
// follow them; requests keep what their class was when they were read. What describes the
// instance's cold start stays as it was.
func (in *Instance) UpdateSettings(now time.Duration, s decision.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	classes := len(in.settings.Classes)
	if len(s.Classes) < classes {
		return fmt.Errorf("classes: %d, want at least the %d that there were", len(s.Classes), classes)
	}
	in.now = now
	s.SlowStart = in.settings.SlowStart
	s.SlowStartMinSpeed = in.settings.SlowStartMinSpeed
	s.SlowStartDuration = in.settings.SlowStartDuration
	if s.LoadReportMode != in.settings.LoadReportMode {
		in.load.published = neverPublished // the former report means something else
	}
	in.settings = s
	in.quota.callsPerRun = append(in.quota.callsPerRun, make([]float64, len(s.Classes)-classes)...)
	newTenants := max(0, len(s.Tenants)-len(in.tenantArrivals))
	in.tenantArrivals = append(in.tenantArrivals, make([]float64, newTenants)...)
	in.applySettings(classes)
	in.recountMemory()
	return nil
}

// recountMemory computes the reserved memory anew.
func (in *Instance) recountMemory() {
	in.reservedKB = in.settings.KeyMemoryKB * float64(len(in.cached))
	for _, q := range in.live {
		in.reservedKB += in.reservedMemory(q, q.state)
	}
}

// RequestReceived takes in a request that was read. Decide settles what becomes of it. A
// request of an unknown class is ignored, as is one whose id is known from an earlier one.
func (in *Instance) RequestReceived(now time.Duration, r decision.Request) {
	in.now = now
	if r.Class < 0 || r.Class >= len(in.settings.Classes) || in.requests[r.ID] != nil {
		return
	}
	if r.Tenant < 0 || r.Tenant >= len(in.tenantArrivals) {
		r.Tenant = 0
	}
	in.idle.requestsRead++
	in.health.recordRead(r.Waited)
	in.load.recordCaller(r.Caller, now)
	in.tenantArrivals.record(r.Tenant, r.Retry) // before the weight, which depends on it
	q := in.newRequest(r)
	in.requests[r.ID] = q
	in.live = append(in.live, q)
	in.count[received]++
	in.reservedKB += in.reservedMemory(q, received)
}

// RunDone takes in that a run ended, or that a coalesced request got its result. Unless the
// run was cancelled, the host has answered the request. The time that it took is not used.
func (in *Instance) RunDone(now time.Duration, id string, outcome decision.Outcome, _ time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == finished {
		return
	}
	if q.state == callInFlight && in.settings.AbandonedCallDuration > 0 { // nobody waits for its call
		in.quota.recordAbandoned(now, in.settings.AbandonedCallDuration)
	}
	if q.preempting && outcome == decision.Cancelled && !q.answered {
		q.preempting = false
		in.moveTo(q, preempted)
		return
	}
	ranHere := q.state != coalesced
	in.moveTo(q, finished)
	if ranHere && (outcome == decision.Succeeded || outcome == decision.Failed) {
		in.recordRun(q, outcome)
	}
	if outcome != decision.Cancelled {
		q.answered = true // by the host, with what the run came to
	}
	in.fail(q) // a run that was cancelled without the instance's asking has no answer yet
}

// recordRun takes in what a run that ended by itself shows.
func (in *Instance) recordRun(q *request, outcome decision.Outcome) {
	in.health.recordRun(outcome == decision.Failed)
	in.concurrency.recordRunTime(q.runTime)
	in.quota.recordCallsPerRun(q.Class, q.callCount)
}

// CallerGone takes in that nobody waits for a request any more: it needs no answer.
func (in *Instance) CallerGone(now time.Duration, id string) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == finished {
		return
	}
	q.answered = true
	in.endAnswered(q)
}

// Tick takes in that a timer is due, with the latest gauges, and asks for the next timer.
// It adjusts what changes with time alone. The host passes back the timer's token, which
// is not needed here.
func (in *Instance) Tick(now time.Duration, _ int64, g decision.Gauges) {
	in.now = now
	in.host.SetTimer(in.timerInterval, 0)
	in.decayAverages()
	in.adjustConcurrencyLimit(g)
	in.updateHealth()
	in.publishLoad()
	in.adjustIdleTimeout()
	in.expireCachedResults()
}

// Decide settles one batch of events: each step below may give actions to the host.
func (in *Instance) Decide(now time.Duration) {
	in.now = now
	in.startTimers()
	in.accrueCallCredit()
	in.expireDeadlines()
	in.admitReceived()
	in.makeCalls()
	in.startQueued()
	in.dropStale()
	in.shedForMemory()
	in.forgetFinished()
}

// startTimers asks for the first timer and reports good health, in the first batch.
func (in *Instance) startTimers() {
	if in.started {
		return
	}
	in.started, in.startedAt = true, in.now
	in.quota.accruedAt, in.decayedAt = in.now, in.now
	in.host.SetTimer(in.timerInterval, 0)
	in.host.SetHealth(true, true)
}

// forgetFinished drops the requests that are finished; those whose results are cached
// are still found by their ids.
func (in *Instance) forgetFinished() {
	in.live = slices.DeleteFunc(in.live, func(q *request) bool {
		if q.state == finished && q.cachedUntil == 0 {
			delete(in.requests, q.ID)
		}
		return q.state == finished
	})
}

// decayAverages fades, by the time since the last timer, the averages that no event
// would change otherwise.
func (in *Instance) decayAverages() {
	elapsed := in.now - in.decayedAt
	in.decayedAt = in.now
	in.health.decay(elapsed)
	in.tenantArrivals.decay(elapsed)
}
