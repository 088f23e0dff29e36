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
	timersPerDeadlineSlack = 4 // the timer interval is at most DeadlineSlack over this
)

// Instance makes the decisions of one server. It is not safe for concurrent use.
type Instance struct {
	settings decision.Settings
	fleet    decision.FleetBounds
	host     decision.Host
	random   *rand.Rand

	now               time.Duration // time of the latest event
	started           bool          // Decide has been called
	startedAt         time.Duration
	decayedAt         time.Duration // when the averages last decayed
	timerInterval     time.Duration // between two calls of Tick
	shortestObjective time.Duration // shortest latency objective of all classes

	requests        map[string]*request // by id; a finished one stays until its cached result expires
	unfinished      []*request          // requests that are not finished, in the order of arrival
	queue           priorityQueue       // queued and preempted requests
	cached          []*request          // requests whose results are cached
	stateCount      [finished + 1]int   // number of requests in each state
	transitionCount int                 // state transitions so far
	reservedKB      float64             // reserved by requests and cached results

	tenantArrivals tenantArrivals
	concurrency    concurrencyLimit
	callQuota      callQuota
	timeouts       callTimeouts
	retries        retryBudget
	breaker        circuitBreaker
	health         healthMonitor
	load           loadReport
	idle           idleTimeout
	drain          drainState
}

// New returns an instance, or an error that names the first invalid setting.
func New(settings decision.Settings, seed int64, host decision.Host) (*Instance, error) {
	if host == nil {
		return nil, errors.New("host: must not be nil")
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	in := &Instance{
		settings:       settings,
		host:           host,
		random:         rand.New(rand.NewSource(seed)),
		requests:       make(map[string]*request),
		fleet:          decision.FleetBounds{MaxCalls: math.Inf(1)},
		tenantArrivals: make(tenantArrivals, max(1, len(settings.Tenants))),
		concurrency:    concurrencyLimit{limit: float64(settings.Cores)},
		callQuota:      callQuota{callsPerRun: make([]float64, len(settings.Classes))},
		retries:        retryBudget{tokens: maxRetryBudget},
		health:         healthMonitor{healthy: true},
		load:           loadReport{published: neverPublished},
		idle:           idleTimeout{timeout: settings.MaxIdleTime},
	}
	in.computeDerivedSettings(0)
	in.timeouts.controller.timeout = time.Duration(float64(in.shortestObjective) * initialTimeoutFraction)
	return in, nil
}

// computeDerivedSettings computes the fields that depend on the settings. Classes from the
// index firstNewClass on are new.
func (in *Instance) computeDerivedSettings(firstNewClass int) {
	s := &in.settings
	in.timerInterval = max(s.BatchInterval, min(maxTimerInterval, s.DeadlineSlack/timersPerDeadlineSlack))
	in.shortestObjective = slices.MinFunc(s.Classes, func(a, b decision.Class) int {
		return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
	}).LatencyObjective
	for class := firstNewClass; class < len(s.Classes); class++ {
		if s.Classes[class].CallsDependency {
			in.callQuota.callsPerRun[class] = initialCallsPerRun
		}
	}
	in.timeouts.optimizer.abandonedCost = float64(s.AbandonedCallDuration)
	in.timeouts.controller.minimum = s.AbandonedCallDuration
}

// UpdateSettings replaces the settings. Existing classes must keep their indices; new ones
// follow them. A request keeps the class settings with which it was read. The slow start
// settings don't change.
func (in *Instance) UpdateSettings(now time.Duration, settings decision.Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	classes := len(in.settings.Classes)
	if len(settings.Classes) < classes {
		return fmt.Errorf("classes: %d, want at least the current %d", len(settings.Classes), classes)
	}
	in.now = now
	settings.SlowStart = in.settings.SlowStart
	settings.SlowStartMinSpeed = in.settings.SlowStartMinSpeed
	settings.SlowStartDuration = in.settings.SlowStartDuration
	if settings.LoadReportMode != in.settings.LoadReportMode {
		in.load.published = neverPublished // the last report had another unit
	}
	in.settings = settings
	in.callQuota.callsPerRun = append(
		in.callQuota.callsPerRun, make([]float64, len(settings.Classes)-classes)...)
	newTenants := max(0, len(settings.Tenants)-len(in.tenantArrivals))
	in.tenantArrivals = append(in.tenantArrivals, make([]float64, newTenants)...)
	in.computeDerivedSettings(classes)
	in.recountMemory()
	return nil
}

// recountMemory recomputes the reserved memory after a change of the memory settings.
func (in *Instance) recountMemory() {
	in.reservedKB = in.settings.KeyMemoryKB * float64(len(in.cached))
	for _, req := range in.unfinished {
		in.reservedKB += in.reservedMemory(req, req.state)
	}
}

// RequestReceived records that a request was read. The next Decide admits or sheds it.
// A request of an unknown class is ignored, and so is one with the id of a request that the
// instance still holds.
func (in *Instance) RequestReceived(now time.Duration, incoming decision.Request) {
	in.now = now
	if incoming.Class < 0 || incoming.Class >= len(in.settings.Classes) || in.requests[incoming.ID] != nil {
		return
	}
	if incoming.Tenant < 0 || incoming.Tenant >= len(in.tenantArrivals) {
		incoming.Tenant = 0
	}
	in.idle.requestsRead++
	in.health.recordRead(incoming.ReadLag)
	in.load.recordCaller(incoming.Caller, now)
	in.tenantArrivals.record(incoming.Tenant, incoming.Retry) // newRequest computes a weight from it
	req := in.newRequest(incoming)
	in.requests[incoming.ID] = req
	in.unfinished = append(in.unfinished, req)
	in.stateCount[received]++
	in.reservedKB += in.reservedMemory(req, received)
}

// RunDone records that a run ended, or that a coalesced request got its result. The host has
// answered the request, unless the outcome is decision.Cancelled. The run's duration is not
// used.
func (in *Instance) RunDone(now time.Duration, id string, outcome decision.Outcome, _ time.Duration) {
	in.now = now
	req := in.requests[id]
	if req == nil || req.state == finished {
		return
	}
	if req.state == callInFlight && in.settings.AbandonedCallDuration > 0 { // its call is abandoned
		in.callQuota.recordAbandoned(now, in.settings.AbandonedCallDuration)
	}
	if req.preempting && outcome == decision.Cancelled && !req.answered {
		req.preempting = false
		in.setState(req, preempted)
		return
	}
	ranHere := req.state != coalesced
	in.setState(req, finished)
	if ranHere && (outcome == decision.Succeeded || outcome == decision.Failed) {
		in.recordRun(req, outcome)
	}
	if outcome != decision.Cancelled {
		req.answered = true // by the host, with the result of the run
	}
	in.fail(req) // unanswered only if its run was cancelled, but not by the instance
}

// recordRun updates the health, the mean run time and the calls per run after a run that
// succeeded or failed.
func (in *Instance) recordRun(req *request, outcome decision.Outcome) {
	in.health.recordRun(outcome == decision.Failed)
	in.concurrency.recordRunTime(req.runTime)
	in.callQuota.recordCallsPerRun(req.Class, req.callCount)
}

// RequestCancelled records that a request needs no answer from the instance any more, because
// its caller cancelled it or the host answered it.
func (in *Instance) RequestCancelled(now time.Duration, id string) {
	in.now = now
	req := in.requests[id]
	if req == nil || req.state == finished {
		return
	}
	req.answered = true
	in.endWork(req)
}

// Tick handles a timer that is due, and sets the next one. It updates the state that
// changes with time and with the gauges. The timer's token is not used.
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

// Decide ends a batch of events. Each of its steps may call actions of the host.
func (in *Instance) Decide(now time.Duration) {
	in.now = now
	in.startTimers()
	in.accrueCallCredit()
	in.expireDeadlines()
	in.admitReceived()
	in.makeCalls()
	in.startQueued()
	in.shedStale()
	in.shedForMemory()
	in.removeFinished()
}

// startTimers sets the first timer and reports good health, in the first batch.
func (in *Instance) startTimers() {
	if in.started {
		return
	}
	in.started, in.startedAt = true, in.now
	in.callQuota.accruedAt, in.decayedAt = in.now, in.now
	in.host.SetTimer(in.timerInterval, 0)
	in.host.SetHealth(true, true)
}

// removeFinished removes the finished requests. Those with cached results stay in
// in.requests.
func (in *Instance) removeFinished() {
	in.unfinished = slices.DeleteFunc(in.unfinished, func(req *request) bool {
		if req.state == finished && req.cachedUntil == 0 {
			delete(in.requests, req.ID)
		}
		return req.state == finished
	})
}

// decayAverages applies the time since the last timer to the averages that otherwise change
// only with events.
func (in *Instance) decayAverages() {
	elapsed := in.now - in.decayedAt
	in.decayedAt = in.now
	in.health.decay(elapsed)
	in.tenantArrivals.decay(elapsed)
}
