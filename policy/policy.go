// Package policy decides, inside one server, what it takes, runs and turns away.
// Its types (settings, events, actions) are in package decision.
// Reading order: the constants; the instance and its events; Decide, which
// names the steps of one batch in order; then each part: guards, intake
// refusal, run limit, calls (Optimizer, Controller, retry budget, breaker,
// call cap), and what callers are told. docs/design.md says what comes from
// the paper and what was changed.
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

// The figures of the mechanism: [page] the design's own, [ours] chosen here.
const (
	latencyBufferSize        = 200                   // [page] diagnostic latencies the Optimizer keeps
	diagnosticInterval       = 5                     // [page] every so many safe calls one is diagnostic
	callsPerSolve            = 20                    // [page] calls between two solutions of the sequence
	timeoutCostSlope         = 0.4                   // [page] g(t) = costSlope * t
	shedOnsetFraction        = 0.5                   // [page] share of the patience at which refusals begin
	histogramBins            = 40                    // [ours] of the histogram: finer than its noise at 200 values
	minBinProbability        = 0.001                 // [ours] least share of all weight in a bin, so that f is never 0
	maxSequenceLength        = 5                     // [ours] longest sequence; deeper steps were never reached in time
	timeoutGrowthFactor      = 1.5                   // [paper] the Controller's factor after a time-out
	timeoutGain              = 0.1                   // [paper] the Controller's share of the distance per success
	streakTolerance          = 0.2                   // [paper] how alike latencies of a streak are
	timeoutHeadroom          = 0.3                   // [measured] share of the recent latency added to each step
	initialTimeoutFraction   = 0.25                  // [ours] the Controller starts at this share of the shortest aim
	retryBudgetPerCall       = 0.1                   // [measured] repeats earned by each first call
	maxRetryBudget           = 10.0                  // [ours] repeats saved up at most
	fleetRetryBackoff        = time.Second / 10      // [ours] until a repeat that the fleet had no room for is tried
	breakerFailureRate       = 0.5                   // [page] most recent calls failing: below is marked failed
	breakerOpenDuration      = time.Second           // [ours] how long ordinary calls stop
	callUtilizationTarget    = 0.4                   // [measured] of the told call share is in hand on average
	minCallQuota             = 0.005                 // [ours] least share taken for true: a told 0 is a rounded one
	hungCallUtilizationLimit = 0.9                   // [ours] of the told call share that hanging calls may reach
	callCreditWindow         = time.Second           // [ours] calls that an idle instance may catch up on
	callBurstFactor          = 2.0                   // [measured] times the pace that may be in hand while such are left
	memoryUtilizationLimit   = 0.92                  // [ours] of the memory that is planned for; reads come on top
	inFlightUtilizationLimit = 0.85                  // [ours] of the crowd that the cores survive
	objectivePerQueueWait    = 2                     // [measured] patience is the aim over this
	ewmaWeight               = 0.1                   // [ours] weight of the newest run in a mean
	arrivalRateTimeConstant  = 5 * time.Second       // [ours] over which a tenant's arrivals are counted
	quotaToleranceSigma      = 2                     // [ours] deviations by which a count exceeds what it should be
	pressureTimeConstant     = time.Second           // [ours] time constant of what callers are told
	unhealthyErrorRate       = 0.4                   // [measured] of own runs failing or hanging: health is bad
	errorRateTimeConstant    = 8 * time.Second       // [measured] in which it fades, and between two spans out for lag
	minAdvertisedFraction    = 0.1                   // [ours] of the free value's full size that is always left
	retryWeightFactor        = 0.75                  // [measured] of a first try's worth: it orders, no more
	preemptionWeightRatio    = 0.5                   // [ours] of a newcomer's worth: below, a run makes way for it
	busyRunnablePerCore      = 1.5                   // [measured] on the cores for each core: disk waits end in bursts
	idleCoreUtilization      = 0.95                  // [measured] busy share under which cores count as idle
	handshakeStormOnset      = 0.6                   // [measured] share of the cores at reads and handshakes: a storm
	maxTimerInterval         = 25 * time.Millisecond // [ours] between looks at the clock and the gauges
	minIdleTimeout           = 10 * time.Millisecond // [page] shortest idle time that can be asked for
	minAdvertisedChange      = 0.02                  // [ours] least change of the free value that is sent
)

type state int

const (
	received     state = iota // read in this batch, undecided
	queued                    // waiting to be run
	preempted                 // begun, waiting to be taken up again
	coalesced                 // waits for the request that it repeats
	running                   // on the cores or at the disk
	awaitingCall              // at a call that has not been made
	callInFlight              // its call is out
	finished
)

type request struct {
	decision.Request
	class            *decision.Class
	arrivedAt, dueAt time.Duration
	weight           float64 // by which the hold is ordered
	state            state
	answered         bool // it has its answer, whatever still runs
	mayHaveRun       bool // it may have had its effect
	preempting       bool // it was told to make way
	cachedUntil      time.Duration
	runTime          time.Duration // time that it has run; while it runs, less the clock
	notYet           time.Duration // a repeat of its call waits until then
	callCount        int           // that it has come to
	step, tries      int           // of its call: place in the sequence of time-outs, times made
	probe, last      bool          // its call is diagnostic, has the sequence's last time-out
}

type callerSeen struct {
	caller int
	at     time.Duration
}

// Instance decides for one server. It is not safe for concurrent use.
type Instance struct {
	settings                      decision.Settings
	bounds                        decision.FleetBounds
	host                          decision.Host
	random                        *rand.Rand
	now, startedAt, timerInterval time.Duration // gap: between two looks at the clock
	shortestObjective             time.Duration // of the aims
	decayedAt                     time.Duration // when what was seen last lost weight
	staysTill                     time.Duration // lagging reads alone don't count until then

	requests    map[string]*request // by id; what is over stays while its key is kept
	live        []*request          // in order of arrival
	queue       []*request          // held, most worth first, then oldest
	cached      []*request          // those with an entry in the table
	count       [finished + 1]int
	transitions int     // between states, so far
	toCome      float64 // calls that what is in hand is still to make, as of
	toComeAt    int     // so many moves
	reservedKB  float64 // kilobytes needed, entries included

	started, draining, broken, well bool // well: fit for traffic
	storm                           bool // reads and handshakes take most of the cores
	drainedAt, stopAt, brokenTill   time.Duration

	runTime                    time.Duration // that a run is on the cores, in the mean
	calls                      []float64     // that runs of a class make, in the mean
	rates                      []float64     // per tenant: first tries, fading over rateSpan
	runLimit, errors, lag      float64       // errors: share of own runs failing; lag: of reads, seconds
	reading                    float64       // share of what is on the cores that only reads or shakes hands
	pressure, pressed, said    float64       // pressed: highest refusal chance since the last tick
	optimizer                  optimizer
	controller                 controller
	budget, failing            float64 // failing: share of recent calls that failed or timed out at t_z
	safeCalls, reads           int
	idle                       time.Duration   // connections idle for this long are closed
	heard                      []callerSeen    // callers of late, the newest last
	lingering                  []time.Duration // ends of given-up calls' stay below
	credit, creditAt, callTime time.Duration   // time that calls may still spend below; that one takes
}

// New makes an instance. The error names the setting that makes no sense.
func New(s decision.Settings, seed int64, host decision.Host) (*Instance, error) {
	if host == nil {
		return nil, errors.New("host: none, one is needed")
	} else if err := s.Validate(); err != nil {
		return nil, err
	}
	in := &Instance{
		settings: s, host: host, random: rand.New(rand.NewSource(seed)), requests: make(map[string]*request),
		runLimit: float64(s.Cores), calls: make([]float64, len(s.Classes)),
		rates: make([]float64, max(1, len(s.Tenants))), budget: maxRetryBudget,
		said: -1, well: true, idle: s.MaxIdleTime, bounds: decision.FleetBounds{MaxCalls: math.Inf(1)},
	}
	in.tune(0)
	in.controller.timeout = time.Duration(float64(in.shortestObjective) * initialTimeoutFraction)
	return in, nil
}

// tune derives what follows from the settings. Classes from the given one on are new.
func (in *Instance) tune(newFrom int) {
	s := &in.settings
	in.timerInterval = max(s.BatchInterval, min(maxTimerInterval, s.DeadlineSlack/4))
	in.shortestObjective = slices.MinFunc(s.Classes,
		func(a, b decision.Class) int {
			return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
		}).LatencyObjective
	for i := newFrom; i < len(s.Classes); i++ {
		if s.Classes[i].CallsDependency {
			in.calls[i] = 1 // until seen
		}
	}
	in.optimizer.lost, in.controller.least = float64(s.AbandonedCallDuration), s.AbandonedCallDuration
}

// UpdateSettings takes over other settings. A class keeps its place, and new ones follow;
// what is held or runs keeps what its class was. How cold it started stays.
func (in *Instance) UpdateSettings(now time.Duration, s decision.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	old := len(in.settings.Classes)
	if len(s.Classes) < old {
		return fmt.Errorf("classes: %d, want at least the %d that there were", len(s.Classes), old)
	}
	in.now = now
	s.SlowStart = in.settings.SlowStart
	s.SlowStartMinSpeed = in.settings.SlowStartMinSpeed
	s.SlowStartDuration = in.settings.SlowStartDuration
	if s.LoadReportMode != in.settings.LoadReportMode {
		in.said = -1 // what was said means another thing
	}
	in.settings = s
	in.calls = append(in.calls, make([]float64, len(s.Classes)-old)...)
	in.rates = append(in.rates, make([]float64, max(0, len(s.Tenants)-len(in.rates)))...)
	in.tune(old)
	in.reservedKB = in.settings.KeyMemoryKB * float64(len(in.cached))
	for _, q := range in.live {
		in.reservedKB += in.reservedMemory(q, q.state)
	}
	return nil
}

// RequestReceived takes in a request that was read. Decide settles what becomes of it.
func (in *Instance) RequestReceived(now time.Duration, r decision.Request) {
	in.now = now
	if r.Class < 0 || r.Class >= len(in.settings.Classes) || in.requests[r.ID] != nil {
		return
	}
	if r.Tenant < 0 || r.Tenant >= len(in.rates) {
		r.Tenant = 0
	}
	c := &in.settings.Classes[r.Class]
	q := &request{Request: r, class: c, arrivedAt: now - r.Waited, dueAt: r.Deadline, state: received}
	if q.dueAt <= 0 {
		q.dueAt = max(now, q.arrivedAt+c.Deadline)
	}
	in.requests[r.ID] = q
	in.live = append(in.live, q)
	in.count[received]++
	in.reads++
	in.lag += ewmaWeight * (r.Waited.Seconds() - in.lag)
	in.reservedKB += in.reservedMemory(q, received)
	in.heard = slices.DeleteFunc(in.heard, func(c callerSeen) bool { return c.caller == r.Caller })
	in.heard = append(in.heard, callerSeen{r.Caller, now})
	if !r.Retry {
		in.rates[r.Tenant]++
	}
	q.weight = c.Weight * in.tenantWeight(r.Tenant)
	if r.Retry { // part of its aim is gone: where there is not room for all it goes after first tries
		q.weight *= retryWeightFactor
	}
}

// RunDone takes in the end of a run or of a joined request.
func (in *Instance) RunDone(now time.Duration, id string, outcome decision.Outcome, _ time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == finished {
		return
	}
	// A call that ends with its request was given up.
	if q.state == callInFlight && in.settings.AbandonedCallDuration > 0 {
		in.lingering = append(in.lingering, now+in.settings.AbandonedCallDuration)
	}
	if q.preempting && outcome == decision.Cancelled && !q.answered {
		q.preempting = false
		in.moveTo(q, preempted)
		return
	}
	joined := q.state == coalesced
	in.moveTo(q, finished)
	if !joined && (outcome == decision.Succeeded || outcome == decision.Failed) {
		in.recordRun(outcome == decision.Failed)
		in.runTime += time.Duration(ewmaWeight * float64(q.runTime-in.runTime))
		in.calls[q.Class] += ewmaWeight * (float64(q.callCount) - in.calls[q.Class])
	}
	q.answered = q.answered || outcome != decision.Cancelled
	in.fail(q) // stopped by nobody here, it still owes an answer
}

// CallNeeded takes in that a running request stands at a call.
func (in *Instance) CallNeeded(now time.Duration, id string) {
	in.now = now
	if q := in.requests[id]; q != nil && q.state == running {
		q.notYet, q.step, q.tries, q.callCount, q.preempting = 0, 0, 0, q.callCount+1, false
		in.moveTo(q, awaitingCall)
	}
}

// CallDone takes in how a call ended.
func (in *Instance) CallDone(now time.Duration, id string, outcome decision.Outcome, took time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state != callInFlight {
		return
	}
	in.recordCall(q, outcome, took)
	if outcome == decision.Succeeded {
		in.moveTo(q, running)
		return
	}
	in.moveTo(q, awaitingCall)
	if q.answered {
		return
	}
	unseen := outcome == decision.Rejected || outcome == decision.ConnectFailed
	if q.class.Effect == decision.Idempotent && in.budget >= 1 || unseen && q.class.DegradedWeight == 0 {
		in.budget = max(0, in.budget-1)
		if unseen { // it came back at once: the same again at once would too
			q.notYet = now + in.controller.timeout/4<<min(q.tries, 4)
		} else {
			q.step++
		}
		return
	}
	in.abandonCall(q)
}

// CallerGone takes in that nobody waits for a request.
func (in *Instance) CallerGone(now time.Duration, id string) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == finished {
		return
	}
	q.answered = true
	in.endAnswered(q)
}

// Drain takes in that the process is stopped at a time.
func (in *Instance) Drain(now, stopAt time.Duration) {
	in.now = now
	in.draining, in.drainedAt, in.stopAt = true, now, stopAt
	in.host.SetHealth(false, true)
	in.host.Log(fmt.Sprintf("drain: leaving in %v", stopAt-now))
}

// Tick takes in a timer with the gauges of the moment.
func (in *Instance) Tick(now time.Duration, _ int64, g decision.Gauges) {
	in.now = now
	in.host.SetTimer(in.timerInterval, 0)
	in.fade()
	in.adjustConcurrencyLimit(g)
	in.updateHealth()
	in.publishLoad()
	in.adjustIdleTimeout()
	in.expireCachedResults()
}

// Decide settles one batch of events.
func (in *Instance) Decide(now time.Duration) {
	in.now = now
	if !in.started {
		in.started, in.startedAt, in.creditAt, in.decayedAt = true, now, now, now
		in.host.SetTimer(in.timerInterval, 0)
		in.host.SetHealth(true, true)
	}
	in.accrueCallCredit()
	in.expireDeadlines()
	for _, q := range in.live {
		if q.state == received {
			in.admit(q)
		}
	}
	in.makeCalls()
	in.dispatch()
	in.dropStale()
	in.shedForMemory()
	in.live = slices.DeleteFunc(in.live, func(q *request) bool {
		if q.state == finished && q.cachedUntil == 0 {
			delete(in.requests, q.ID)
		}
		return q.state == finished
	})
}

// fade lets what was seen lose weight from tick to tick.
func (in *Instance) fade() {
	past := float64(in.now - in.decayedAt)
	in.decayedAt = in.now
	in.lag *= math.Exp(-past / float64(pressureTimeConstant))
	in.errors *= math.Exp(-past / float64(errorRateTimeConstant))
	for i := range in.rates {
		in.rates[i] *= math.Exp(-past / float64(arrivalRateTimeConstant))
	}
}

// moveTo changes a request's state and keeps the sums that depend on it.
func (in *Instance) moveTo(q *request, to state) {
	in.accrueCallCredit()
	in.transitions++
	if q.state == queued || q.state == preempted {
		in.queue = slices.DeleteFunc(in.queue, func(o *request) bool { return o == q })
	}
	if q.state == running {
		q.runTime += in.now
	} else if to == running {
		q.runTime -= in.now
	}
	in.reservedKB += in.reservedMemory(q, to) - in.reservedMemory(q, q.state)
	in.count[q.state]--
	in.count[to]++
	q.state = to
	if to == queued || to == preempted {
		at, _ := slices.BinarySearchFunc(in.queue, q, comparePriority)
		in.queue = slices.Insert(in.queue, at, q)
	}
}

// reservedMemory is the memory that a request needs in a state.
func (in *Instance) reservedMemory(q *request, s state) float64 {
	switch s {
	case finished:
		return 0
	case received, queued, coalesced:
		return q.ReservedKB
	}
	return q.ReservedKB * in.settings.RunningMemoryFactor
}

// comparePriority orders work: most worth first, then oldest.
func comparePriority(a, b *request) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.arrivedAt, b.arrivedAt))
}

// --- Answers ---

func (in *Instance) fail(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	in.host.Fail(q.ID)
	in.endAnswered(q)
}

// shed turns away a request, with advice to stay away as far as reading is
// the burden. last is the chance of the wish that it is not tried elsewhere.
func (in *Instance) shed(q *request, chance, last float64) {
	if q.mayHaveRun && q.class.Effect != decision.Idempotent {
		in.fail(q)
		return
	}
	q.answered = true
	burden := max(in.readsLate(), in.reading) // else advice keeps work from cores that idle a moment later
	away := time.Duration(chance * burden * (0.5 + in.random.Float64()) * float64(in.settings.MaxRetryAfter))
	if in.draining {
		away = in.settings.MaxRetryAfter
	}
	slow := in.runTime > in.latencyObjective(q)/objectivePerQueueWait // then peers are likely quicker
	stay := !in.draining && (in.random.Float64() < last && !slow || in.now-q.arrivedAt > in.latencyObjective(q)/objectivePerQueueWait)
	in.host.Shed(q.ID, min(away, in.settings.MaxRetryAfter), stay)
	if q.cachedUntil != 0 && !q.mayHaveRun {
		in.host.EvictResult(q.ID)
		q.cachedUntil = in.now // the next tick takes it out
	}
	in.endAnswered(q)
}

// endAnswered ends what an answered request still does, where that is possible.
func (in *Instance) endAnswered(q *request) {
	switch q.state {
	case received, queued, preempted, coalesced:
		in.moveTo(q, finished)
	case running:
		if in.settings.CancelMode != decision.CancelNever {
			in.host.Cancel(q.ID)
		}
	}
}

// --- Guards ---

// expireDeadlines answers what is due before the clock is looked at again. Work that
// can't be stopped goes on and still weighs on the cores and in memory.
func (in *Instance) expireDeadlines() {
	for _, q := range in.live {
		due := q.dueAt + in.settings.DeadlineSlack/2 // an early answer would cut runs short
		if over := q.arrivedAt + in.latencyObjective(q); q.class.LateWeight == 0 && over < q.dueAt && q.state != coalesced &&
			q.state != callInFlight && (q.state != running || in.settings.CancelMode != decision.CancelNever) {
			due = over // the cores are for others
		}
		if in.draining {
			due = min(due, in.stopAt-2*in.timerInterval)
		}
		if q.answered || due > in.now+in.timerInterval {
			continue
		}
		if q.state == running { // it hangs, or the cores are far too slow
			in.recordRun(true)
		}
		if q.state == received && q.DuplicateOf == "" || q.state == queued ||
			q.mayHaveRun && q.class.Effect == decision.Idempotent {
			in.shed(q, 1, in.pressure)
		} else {
			in.fail(q)
		}
	}
}

// shedForMemory sheds what only waits, the newest first, when reads, runs and
// keys together outgrow the memory.
func (in *Instance) shedForMemory() {
	for i := len(in.live) - 1; i >= 0 && in.reservedKB > in.settings.MemoryKB*memoryUtilizationLimit; i-- {
		switch q := in.live[i]; q.state {
		case queued, preempted:
			in.shed(q, 1, in.pressure)
		case coalesced:
			in.fail(q)
		}
	}
}

// maxInFlight is how many requests may be in hand so that, if all came back
// to the cores at once, the instance would survive. A cold one survives less.
func (in *Instance) maxInFlight() float64 {
	speed := 1.0
	if age := in.now - in.startedAt; in.settings.SlowStart && age < in.settings.SlowStartDuration {
		slowest := in.settings.SlowStartMinSpeed
		speed = slowest + (1-slowest)*float64(age)/float64(in.settings.SlowStartDuration)
	}
	cores := float64(in.settings.Cores)
	return max(1, inFlightUtilizationLimit*cores*(1+max(0, in.settings.OverloadRatio-1)*speed))
}

func (in *Instance) expireCachedResults() {
	in.cached = slices.DeleteFunc(in.cached, func(q *request) bool {
		if q.cachedUntil > in.now {
			return false
		}
		q.cachedUntil = 0
		in.reservedKB -= in.settings.KeyMemoryKB
		if q.state == finished {
			delete(in.requests, q.ID)
		}
		return true
	})
}

// updateHealth guards against an instance that is the trouble itself: one whose
// runs fail fast looks idle and attracts work, one that hangs or is slow still
// reads, late. Were all to lag at once, only few would leave the list: each
// stays in it for a while after it was out.
func (in *Instance) updateHealth() {
	lags := in.readsLate() > 1 && (!in.well || in.now > in.staysTill)
	well := in.errors <= unhealthyErrorRate && !lags
	if well != in.well && !in.draining {
		in.well, in.staysTill = well, in.now+errorRateTimeConstant
		in.host.SetHealth(well, true)
		in.host.Log(fmt.Sprintf("well: %v; share of own runs failing or hanging %.2f, reads late by %.1f s",
			well, in.errors, in.lag))
	}
}

// readsLate is how far reads lag, as a part of what makes all that is read useless.
func (in *Instance) readsLate() float64 {
	return in.lag / (shedOnsetFraction * in.shortestObjective.Seconds())
}

// recordRun counts one of the instance's own runs.
func (in *Instance) recordRun(bad bool) {
	in.errors -= ewmaWeight * in.errors
	if bad {
		in.errors += ewmaWeight
	}
}

// --- Intake refusal ---

func (in *Instance) admit(q *request) {
	if q.DuplicateOf != "" {
		prior := in.requests[q.DuplicateOf]
		if prior == nil || prior.mayHaveRun || prior.state != finished {
			in.host.ServeCached(q.ID)
			q.mayHaveRun = q.class.Effect != decision.Idempotent // its effect may have been had
			in.moveTo(q, coalesced)
			return
		}
	}
	if in.draining && q.arrivedAt > in.drainedAt+in.settings.DrainGrace {
		in.shed(q, 1, in.pressure)
		return
	}
	chance, below := in.shedProbability(q), linearRamp(in.expectedCallWait(q), in.maxQueueWait(q))
	in.pressed = max(in.pressed, chance, linearRamp(in.now-q.arrivedAt, in.maxQueueWait(q)))
	if in.random.Float64() < chance || in.reservedKB > in.settings.MemoryKB*memoryUtilizationLimit {
		in.shed(q, max(chance, shedOnsetFraction), max(chance, in.pressure))
		return
	}
	if in.random.Float64() < below { // others share what it lacks, and here is room for other work
		in.shed(q, 0, below)
		return
	}
	in.moveTo(q, queued)
	ttl := q.class.KeyWindow - (in.now - q.arrivedAt)
	if q.class.Effect == decision.Idempotent && in.settings.CacheTTL > 0 && q.CacheKey != "" && !q.Write {
		ttl = q.class.LatencyObjective + in.settings.CacheTTL
	} else if q.class.Effect != decision.Keyed {
		return
	}
	if ttl > 0 {
		in.host.CacheResult(q.ID, ttl+in.timerInterval)
		q.cachedUntil = in.now + ttl + in.timerInterval
		in.cached = append(in.cached, q)
		in.reservedKB += in.settings.KeyMemoryKB
	}
}

// shedProbability is the chance at which a newcomer is refused. It rises from zero to
// one with the oldest wait among the work that would run before it, so that
// aged work of less worth turns nobody away.
func (in *Instance) shedProbability(q *request) float64 {
	c := 0.0
	for _, h := range in.queue {
		if comparePriority(q, h) < 0 {
			break
		}
		c = max(c, linearRamp(in.now-h.arrivedAt, in.maxQueueWait(h)))
	}
	return c
}

// expectedCallWait is how long a request would wait for a call to the shared
// dependency behind the work that calls before it: all in hand, and what is
// held before it. Work that can't get its call costs cores and memory first.
func (in *Instance) expectedCallWait(q *request) time.Duration {
	if !q.class.CallsDependency || in.settings.Dependency != decision.SharedDependency ||
		q.class.DegradedWeight > 0 && q.state != awaitingCall {
		return 0
	}
	calls := in.expectedCalls()
	for _, s := range in.queue {
		if comparePriority(s, q) >= 0 {
			break
		}
		if s.state == queued {
			calls += max(0, in.calls[s.Class]-float64(s.callCount))
		}
	}
	return time.Duration(max(0, calls*float64(in.callTime)-float64(in.credit)) / in.targetCallConcurrency())
}

// expectedCalls is how many calls what is in hand is still to make. It is the same
// for all that ask between two moves, and many do where calls are scarce.
func (in *Instance) expectedCalls() float64 {
	if in.toComeAt != in.transitions {
		in.toComeAt, in.toCome = in.transitions, 0
		for _, s := range in.live {
			if s.state == awaitingCall {
				in.toCome++
			} else if s.state == running {
				in.toCome += max(0, in.calls[s.Class]-float64(s.callCount))
			}
		}
	}
	return in.toCome
}

// linearRamp is the chance of refusal for a wait.
func linearRamp(wait, patience time.Duration) float64 {
	used := float64(wait) / float64(patience)
	return min(1, max(0, (used-shedOnsetFraction)/(1-shedOnsetFraction)))
}

// latencyObjective is how long after its arrival a request's answer earns full worth.
func (in *Instance) latencyObjective(q *request) time.Duration {
	ofCost := time.Duration(q.class.ObjectivePerCost * float64(q.CostHint))
	return min(q.dueAt-q.arrivedAt, q.class.LatencyObjective+ofCost)
}

// maxQueueWait is how long a request may wait: the rest of its aim is for its run.
// Where runs take most of it, be it that cores are slow or crowded, nothing may.
func (in *Instance) maxQueueWait(q *request) time.Duration {
	return min(in.latencyObjective(q)/objectivePerQueueWait, max(in.timerInterval, in.latencyObjective(q)-in.runTime))
}

// dropStale turns away held work that can no longer make its aim, while there
// is more to do than the cores can: run late it would make others late too.
// It comes after startRuns: when reads lag, all that is read is old, and an
// instance that cleared it out first would do nothing but read.
func (in *Instance) dropStale() {
	for i := len(in.queue) - 1; i >= 0; i-- {
		if q := in.queue[i]; q.state == queued && in.now-q.arrivedAt > in.maxQueueWait(q) {
			in.shed(q, 1, in.pressure)
		}
	}
}

// tenantWeight is what a request of a tenant is worth, by how far its tenant is over
// its quota. Only local arrivals are seen: each instance takes an even part, and
// what a count of that size reaches by chance is no excess.
func (in *Instance) tenantWeight(tenant int) float64 {
	if tenant >= len(in.settings.Tenants) || in.settings.Tenants[tenant].Quota <= 0 {
		return 1
	}
	quota := in.settings.Tenants[tenant].Quota / float64(max(1, in.settings.Servers)) * arrivalRateTimeConstant.Seconds()
	if in.rates[tenant] <= quota+quotaToleranceSigma*math.Sqrt(quota) {
		return 1
	}
	in4 := math.Round(4*quota/in.rates[tenant]) / 4 // in quarters: order of arrival within each
	return max(in.settings.OverQuotaWeight, in4)
}

// --- Run limit ---

// adjustConcurrencyLimit lets more run while cores idle and work waits, and falls back
// toward the cores while they are busy.
func (in *Instance) adjustConcurrencyLimit(g decision.Gauges) {
	cores := float64(in.settings.Cores)
	on := g.RunnableTasks
	if on < 0 {
		on = float64(in.count[running])
	}
	youngest := time.Duration(math.MaxInt64) // all runs old: slow, before one has ended
	for _, q := range in.live {
		if q.state == running {
			youngest = min(youngest, q.runTime+in.now)
		}
	}
	if in.count[running] >= in.settings.Cores {
		in.runTime = max(in.runTime, youngest)
	}
	reading := max(0, on-float64(in.count[running])) / max(1, on)
	in.reading += (reading - in.reading) * min(1, float64(in.timerInterval)/float64(pressureTimeConstant))
	switch {
	case on > busyRunnablePerCore*cores || g.CoreUtilization >= idleCoreUtilization:
		in.runLimit -= (in.runLimit - cores) * 0.05
	case len(in.queue) > 0:
		in.runLimit += 0.25
	}
	in.runLimit = min(max(in.runLimit, cores), max(cores, in.maxInFlight()))
}

// dispatch runs held work, most worth first, while the run limit, the crowd
// and the memory allow. Work that would only queue for a call is passed over.
func (in *Instance) dispatch() {
	for i := 0; i < len(in.queue); {
		q := in.queue[i]
		inHand := float64(in.count[running] + in.count[awaitingCall] + in.count[callInFlight])
		limit := max(1, in.runLimit/(1+in.readsLate())) // reads share the cores: late ones come first
		more := in.reservedMemory(q, running) - in.reservedMemory(q, q.state)
		if in.reservedKB+more > in.settings.MemoryKB*memoryUtilizationLimit || linearRamp(in.expectedCallWait(q), in.maxQueueWait(q)) > 0 {
			i++
			continue
		}
		if inHand >= in.maxInFlight() || float64(in.count[running]) >= limit && !in.preemptFor(q) {
			return
		}
		q.mayHaveRun = true
		in.host.Run(q.ID)
		in.moveTo(q, running)
	}
}

// preemptFor pauses the run of least worth for one that is worth far more, where
// nothing done is lost: with few cores a long run holds up all that comes.
func (in *Instance) preemptFor(q *request) bool {
	var least *request
	for _, r := range in.live {
		if r.state == running && !r.preempting && !r.answered && (least == nil || comparePriority(least, r) < 0) {
			least = r
		}
	}
	if in.settings.CancelMode != decision.CancelPause || least == nil || least.weight > q.weight*preemptionWeightRatio {
		return false
	}
	least.preempting = true
	in.host.Cancel(least.ID)
	return true
}

// --- Calls ---

// makeCalls makes the calls that requests stand at, most worth first.
func (in *Instance) makeCalls() {
	var waiting []*request
	for _, q := range in.live {
		if q.state == awaitingCall && !q.answered && q.notYet <= in.now {
			waiting = append(waiting, q)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int {
		gainA, gainB := a.weight*(1-a.class.DegradedWeight), b.weight*(1-b.class.DegradedWeight)
		return cmp.Or(cmp.Compare(gainB, gainA), comparePriority(a, b))
	})
	for _, q := range waiting {
		if in.tryAcquireCall() {
			in.call(q)
		} else if q.class.DegradedWeight > 0 && linearRamp(in.expectedCallWait(q), in.maxQueueWait(q)) > 0 {
			in.abandonCall(q)
		}
	}
}

// call makes one call: a safe one under the Controller's time-out when it is
// diagnostic, else under the sequence; any other once, for the time left.
func (in *Instance) call(q *request) {
	left := q.dueAt - in.now - in.timerInterval
	timeout := left
	q.probe, q.last = false, false
	if q.class.Effect == decision.Idempotent {
		if in.safeCalls++; in.safeCalls%callsPerSolve == 0 {
			in.optimizer.solve()
		}
		sequence := in.optimizer.sequence
		q.probe = len(in.optimizer.buffer) < latencyBufferSize || in.safeCalls%diagnosticInterval == 0
		switch {
		case q.probe:
			timeout = in.controller.timeout
			q.last = len(in.optimizer.buffer) < latencyBufferSize
		case q.step >= len(sequence)-1 || in.budget < 1: // a lower step needs a repeat to pay for
			timeout, q.last = sequence[len(sequence)-1], true
			if in.budget < 1 && q.class.DegradedWeight == 0 {
				timeout = left // giving up would only lose the request
			}
		default:
			timeout = sequence[q.step]
		}
	}
	if in.isBroken() && !q.probe {
		if q.class.Effect != decision.Idempotent && q.class.DegradedWeight == 0 {
			q.notYet = in.brokenTill // nobody can run it again: it waits
			return
		}
		in.abandonCall(q)
		return
	}
	// Others may have made all the retries that there are for now.
	if q.tries > 0 && in.bounds.AcquireRetry != nil && !in.bounds.AcquireRetry() {
		if q.notYet = in.now + fleetRetryBackoff; q.class.DegradedWeight > 0 {
			in.abandonCall(q)
		}
		return
	}
	if q.tries == 0 {
		in.budget = min(maxRetryBudget, in.budget+retryBudgetPerCall)
	}
	q.tries++
	in.host.Call(q.ID, max(time.Millisecond, min(timeout, left, in.maxCallTimeout())))
	in.moveTo(q, callInFlight)
}

// abandonCall goes on without the call where that still earns something.
func (in *Instance) abandonCall(q *request) {
	if q.class.DegradedWeight > 0 {
		in.host.SkipCall(q.ID)
		in.moveTo(q, running)
		return
	}
	in.fail(q)
}

// recordCall feeds what a call showed to the Optimizer, the Controller and
// the breaker.
func (in *Instance) recordCall(q *request, outcome decision.Outcome, took time.Duration) {
	spent := took
	if outcome == decision.TimedOut && in.settings.AbandonedCallDuration > 0 {
		in.lingering = append(in.lingering, in.now+in.settings.AbandonedCallDuration)
		spent += in.settings.AbandonedCallDuration
	}
	in.callTime += time.Duration(ewmaWeight * float64(spent-in.callTime))
	if q.class.Effect == decision.Idempotent {
		if q.probe && (outcome == decision.Succeeded || outcome == decision.TimedOut) {
			in.controller.update(outcome == decision.Succeeded, took, q.class.Deadline)
			if outcome == decision.TimedOut { // longer than seen: as long as the Controller now allows for
				took = in.controller.timeout
			}
			in.optimizer.add(took)
		}
	}
	if outcome == decision.TimedOut && !q.last && !q.probe {
		return // a lower step's time-out says little
	}
	in.failing -= ewmaWeight * in.failing
	if outcome != decision.Succeeded {
		in.failing += ewmaWeight
	}
	switch {
	case outcome == decision.Succeeded:
		in.brokenTill = in.now
	case in.failing > breakerFailureRate:
		in.brokenTill = in.now + breakerOpenDuration
	}
	in.isBroken()
}

func (in *Instance) isBroken() bool {
	if broken := in.now < in.brokenTill; broken != in.broken {
		in.broken = broken
		in.host.Log(fmt.Sprintf("below failed: %v", broken))
	}
	return in.broken
}

// callsInFlight counts calls in hand, with those given up that still linger.
func (in *Instance) callsInFlight() int { return in.count[callInFlight] + len(in.lingering) }

// SetFleetBounds takes in this server's part of what its fleet shares, and gives how many
// calls it has in hand or would make now, if only it might.
func (in *Instance) SetFleetBounds(b decision.FleetBounds) (wanted int) {
	in.bounds = b
	return in.callsInFlight() + in.count[awaitingCall]
}

// targetCallConcurrency is how many calls may be in hand on average.
func (in *Instance) targetCallConcurrency() float64 {
	return min(callUtilizationTarget*max(minCallQuota, in.settings.CallQuota), max(minCallQuota, in.bounds.MaxCalls))
}

// accrueCallCredit keeps the account of the time that calls spend below. It earns the
// pace, saved up for a while, and pays for what is in hand, so that a share of
// less than one call becomes a rest after each call, the longer the slower it was.
func (in *Instance) accrueCallCredit() {
	past := in.now - in.creditAt
	earned := time.Duration((in.targetCallConcurrency() - float64(in.callsInFlight())) * float64(past))
	in.credit = min(in.credit+earned, time.Duration(in.targetCallConcurrency()*float64(callCreditWindow)))
	in.creditAt = in.now
	in.lingering = slices.DeleteFunc(in.lingering, func(t time.Duration) bool { return t <= in.now })
}

// tryAcquireCall says whether the call cap has room for one more.
func (in *Instance) tryAcquireCall() bool {
	out := float64(in.callsInFlight())
	if out >= in.bounds.MaxCalls {
		return false
	} else if in.settings.Dependency != decision.SharedDependency {
		return out < in.runLimit
	}
	return out < max(1, in.burstConcurrency()) && in.credit >= 0
}

// burstConcurrency is how many calls may be in hand at a time: more than the pace as far
// as time is saved up for them, so that a few which hang or linger don't hold up
// all others while the mean is far from its bound.
func (in *Instance) burstConcurrency() float64 {
	saved := float64(in.credit) / (in.targetCallConcurrency() * float64(callCreditWindow))
	return in.targetCallConcurrency() * (1 + (callBurstFactor-1)*min(1, max(0, saved)))
}

// maxCallTimeout bounds a call's time-out so that the shared dependency survives
// when the calls of all instances hang at once: what they may overdraw then,
// with what they have saved, stays under the told share in the told span.
func (in *Instance) maxCallTimeout() time.Duration {
	if in.settings.Dependency != decision.SharedDependency {
		return math.MaxInt64
	}
	window := float64(in.settings.CallQuotaWindow)
	spare := (hungCallUtilizationLimit-callUtilizationTarget)*in.settings.CallQuota*window - in.targetCallConcurrency()*float64(callCreditWindow)
	each := time.Duration(spare / math.Ceil(max(1, in.targetCallConcurrency()*callBurstFactor)))
	return max(in.controller.timeout, each-in.settings.AbandonedCallDuration)
}

// controller holds the time-out of diagnostic calls (the paper's 4.4). least is
// how long a call that was given up stays below: giving up sooner frees nothing
// there, and costs many times what waiting for the tail of quick calls does.
type controller struct {
	timeout time.Duration
	least   time.Duration
	mean    float64 // of the latencies of the streak
	streak  int
}

func (c *controller) update(ok bool, took, most time.Duration) {
	if !ok {
		c.streak = 0
		c.timeout = min(time.Duration(float64(c.timeout)*timeoutGrowthFactor), most)
		return
	}
	x := float64(took)
	if c.streak > 0 && math.Abs(x-c.mean) > streakTolerance*c.mean {
		c.streak = 0
	}
	c.streak++
	c.mean += (x - c.mean) / float64(c.streak)
	step := (timeoutGain*(x-float64(c.timeout)) + timeoutHeadroom*c.mean) / max(1, math.Log(float64(c.streak+1)))
	c.timeout = min(max(c.timeout+time.Duration(step), c.least, time.Millisecond), most)
}

// optimizer holds the diagnostic latencies and the rising time-outs solved
// from them (the paper's 3.6 and 4.3).
type optimizer struct {
	buffer   []time.Duration // oldest first
	sequence []time.Duration
	lost     float64 // what a call that was given up still takes below
}

func (o *optimizer) add(took time.Duration) {
	if len(o.buffer) == latencyBufferSize {
		o.buffer = o.buffer[1:]
	}
	o.buffer = append(o.buffer, max(took, time.Microsecond))
	if len(o.buffer) == latencyBufferSize && o.sequence == nil {
		o.solve()
	}
}

// solve works back from t_z, the greatest latency seen. Each earlier time-out
// is a root of the paper's equation (6) where E turns from falling to rising.
func (o *optimizer) solve() {
	if len(o.buffer) < latencyBufferSize {
		return
	}
	top := slices.Max(o.buffer)
	width := float64(top) / histogramBins
	var f, tail, mass [histogramBins + 1]float64 // share in a bin, share beyond its start, integral of x f before it
	total := 0.0
	for i, d := range o.buffer {
		k := min(int(float64(d)/width), histogramBins-1)
		f[k] += float64(i + 1)
		total += float64(i + 1)
	}
	floored := 0.0
	for k := range histogramBins {
		f[k] = max(f[k]/total, minBinProbability)
		floored += f[k]
	}
	tail[0] = 1
	for k := range histogramBins {
		f[k] /= floored
		tail[k+1] = max(0, tail[k]-f[k])
		mass[k+1] = mass[k] + f[k]*(float64(k)+0.5)*width
	}
	at := func(t float64) (beyond, mean float64) { // P(t) and a(t)
		k := min(int(t/width), histogramBins-1)
		part := t/width - float64(k)
		beyond = max(0, tail[k]-f[k]*part)
		return beyond, mass[k] + f[k]*part*(float64(k)*width+t)/2 + t*beyond + timeoutCostSlope*t
	}
	next := float64(top)
	p, a := at(next)
	e := a / (1 - p)
	o.sequence = []time.Duration{top}
	for len(o.sequence) < maxSequenceLength {
		bestT, bestE := 0.0, e
		for k := range histogramBins {
			start, density := float64(k)*width, f[k]/width
			// The slope falls inside a bin: E turns to rising where a thinner one begins.
			if k == 0 || start >= next {
				continue
			}
			left := tail[k] + timeoutCostSlope - (e+o.lost)*f[k-1]/width
			right := tail[k] + timeoutCostSlope - (e+o.lost)*density
			if left > 0 || right < 0 {
				continue
			}
			p, a := at(start)
			if v := a + p*(e+o.lost); v < bestE {
				bestT, bestE = start, v
			}
		}
		if bestT == 0 {
			break
		}
		o.sequence = append([]time.Duration{time.Duration(bestT)}, o.sequence...)
		next, e = bestT, bestE
	}
}

// --- What callers are told ---

// adjustIdleTimeout keeps idle connections only where their callers come back while
// they are open. Among many callers few do: then a full table costs cores and
// turns callers away, and saves hardly a handshake. In a storm of tries, when
// reads and handshakes take most of the cores, that is just what is wanted: a
// full table turns tries away before they cost any work. A full one leaves few
// reads to be seen, so the storm counts as over only when hardly any are left.
func (in *Instance) adjustIdleTimeout() {
	in.storm = in.reading > handshakeStormOnset || in.storm && in.reading > handshakeStormOnset/10
	after := in.settings.MaxIdleTime
	if float64(in.settings.Callers)*float64(in.now-in.startedAt) > float64(after)*float64(in.reads) && !in.storm {
		after = min(after, minIdleTimeout)
	}
	if after != in.idle {
		in.idle = after
		in.host.SetIdleTimeout(after)
	}
}

// publishLoad sends the free value, from the refusal chance, smoothed.
func (in *Instance) publishLoad() {
	in.pressure += (in.pressed - in.pressure) * min(1, float64(in.timerInterval)/float64(pressureTimeConstant))
	in.pressed = in.shedProbability(&request{arrivedAt: math.MaxInt64}) // of one that would run last
	value, full := in.said, 1.0
	in.heard = slices.DeleteFunc(in.heard, func(c callerSeen) bool { return c.at < in.now-in.settings.LoadReportTTL })
	switch in.settings.LoadReportMode {
	case decision.LoadReportMinRank:
		value = in.pressure
	case decision.LoadReportCredit: // heeded by those that heard it of late, each to its own even part
		full = in.maxInFlight() / float64(max(1, len(in.heard)))
		value = full * (1 - in.pressure*(1-minAdvertisedFraction))
	case decision.LoadReportWeight:
		value = 1 - in.pressure*(1-minAdvertisedFraction)
	}
	if math.Abs(value-in.said) >= minAdvertisedChange*full {
		in.said = value
		in.host.PublishLoad(value)
	}
}
