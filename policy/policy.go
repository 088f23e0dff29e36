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
	bufferSize   = 200                   // [page] diagnostic latencies the Optimizer keeps
	diagnostic   = 5                     // [page] every so many safe calls one is diagnostic
	solveEvery   = 20                    // [page] calls between two solutions of the sequence
	costSlope    = 0.4                   // [page] g(t) = costSlope * t
	refuseFrom   = 0.5                   // [page] share of the patience at which refusals begin
	bins         = 40                    // [ours] of the histogram: finer than its noise at 200 values
	binFloor     = 0.001                 // [ours] least share of all weight in a bin, so that f is never 0
	maxSteps     = 5                     // [ours] longest sequence; deeper steps were never reached in time
	growth       = 1.5                   // [paper] the Controller's factor after a time-out
	stepShare    = 0.1                   // [paper] the Controller's share of the distance per success
	tolerance    = 0.2                   // [paper] how alike latencies of a streak are
	cushion      = 0.3                   // [measured] share of the recent latency added to each step
	startShare   = 0.25                  // [ours] the Controller starts at this share of the shortest aim
	budgetShare  = 0.1                   // [measured] repeats earned by each first call
	budgetMost   = 10.0                  // [ours] repeats saved up at most
	repeatRest   = time.Second / 10      // [ours] until a repeat that the fleet had no room for is tried
	breakAt      = 0.5                   // [page] most recent calls failing: below is marked failed
	breakFor     = time.Second           // [ours] how long ordinary calls stop
	callGoal     = 0.4                   // [measured] of the told call share is in hand on average
	callLeast    = 0.005                 // [ours] least share taken for true: a told 0 is a rounded one
	callShare    = 0.9                   // [ours] of the told call share that hanging calls may reach
	callSaved    = time.Second           // [ours] calls that an idle instance may catch up on
	callBurst    = 2.0                   // [measured] times the pace that may be in hand while such are left
	memoryShare  = 0.92                  // [ours] of the memory that is planned for; reads come on top
	crowdShare   = 0.85                  // [ours] of the crowd that the cores survive
	hurry        = 2                     // [measured] patience is the aim over this
	learn        = 0.1                   // [ours] weight of the newest run in a mean
	rateSpan     = 5 * time.Second       // [ours] over which a tenant's arrivals are counted
	chanceSpread = 2                     // [ours] deviations by which a count exceeds what it should be
	smooth       = time.Second           // [ours] time constant of what callers are told
	errorsFrom   = 0.4                   // [measured] of own runs failing or hanging: health is bad
	errorsSpan   = 8 * time.Second       // [measured] in which it fades, and between two spans out for lag
	leastShare   = 0.1                   // [ours] of the free value's full size that is always left
	retryWorth   = 0.75                  // [measured] of a first try's worth: it orders, no more
	wayWorth     = 0.5                   // [ours] of a newcomer's worth: below, a run makes way for it
	busyFrom     = 1.5                   // [measured] on the cores for each core: disk waits end in bursts
	idleBelow    = 0.95                  // [measured] busy share under which cores count as idle
	stormFrom    = 0.6                   // [measured] share of the cores at reads and handshakes: a storm
	tickMost     = 25 * time.Millisecond // [ours] between looks at the clock and the gauges
	idleLeast    = 10 * time.Millisecond // [page] shortest idle time that can be asked for
	sayStep      = 0.02                  // [ours] least change of the free value that is sent
)

type state int

const (
	fresh    state = iota // read in this batch, undecided
	held                  // waiting to be run
	paused                // begun, waiting to be taken up again
	joining               // waits for the request that it repeats
	running               // on the cores or at the disk
	standing              // at a call that has not been made
	calling               // its call is out
	over
)

type request struct {
	decision.Request
	class        *decision.Class
	arrived, due time.Duration
	worth        float64 // by which the hold is ordered
	state        state
	answered     bool // it has its answer, whatever still runs
	ran          bool // it may have had its effect
	stopping     bool // it was told to make way
	keptTill     time.Duration
	onCores      time.Duration // time that it has run; while it runs, less the clock
	notYet       time.Duration // a repeat of its call waits until then
	calls        int           // that it has come to
	step, tries  int           // of its call: place in the sequence of time-outs, times made
	probe, last  bool          // its call is diagnostic, has the sequence's last time-out
}

type caller struct {
	from int
	at   time.Duration
}

// Instance decides for one server. It is not safe for concurrent use.
type Instance struct {
	set            decision.Settings
	bounds         decision.FleetBounds
	host           decision.Host
	rng            *rand.Rand
	now, born, gap time.Duration // gap: between two looks at the clock
	shortest       time.Duration // of the aims
	fadedAt        time.Duration // when what was seen last lost weight
	staysTill      time.Duration // lagging reads alone don't count until then

	requests map[string]*request // by id; what is over stays while its key is kept
	live     []*request          // in order of arrival
	queue    []*request          // held, most worth first, then oldest
	kept     []*request          // those with an entry in the table
	count    [over + 1]int
	moves    int     // between states, so far
	toCome   float64 // calls that what is in hand is still to make, as of
	toComeAt int     // so many moves
	memory   float64 // kilobytes needed, entries included

	begun, draining, broken, well bool // well: fit for traffic
	storm                         bool // reads and handshakes take most of the cores
	drainedAt, stopAt, brokenTill time.Duration

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
	heard                      []caller        // callers of late, the newest last
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
		set: s, host: host, rng: rand.New(rand.NewSource(seed)), requests: make(map[string]*request),
		runLimit: float64(s.Cores), calls: make([]float64, len(s.Classes)),
		rates: make([]float64, max(1, len(s.Tenants))), budget: budgetMost,
		said: -1, well: true, idle: s.MaxIdleTime, bounds: decision.FleetBounds{MaxCalls: math.Inf(1)},
	}
	in.tune(0)
	in.controller.timeout = time.Duration(float64(in.shortest) * startShare)
	return in, nil
}

// tune derives what follows from the settings. Classes from the given one on are new.
func (in *Instance) tune(newFrom int) {
	s := &in.set
	in.gap = max(s.BatchInterval, min(tickMost, s.DeadlineSlack/4))
	in.shortest = slices.MinFunc(s.Classes,
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
	old := len(in.set.Classes)
	if len(s.Classes) < old {
		return fmt.Errorf("classes: %d, want at least the %d that there were", len(s.Classes), old)
	}
	in.now = now
	s.SlowStart = in.set.SlowStart
	s.SlowStartMinSpeed = in.set.SlowStartMinSpeed
	s.SlowStartDuration = in.set.SlowStartDuration
	if s.LoadReportMode != in.set.LoadReportMode {
		in.said = -1 // what was said means another thing
	}
	in.set = s
	in.calls = append(in.calls, make([]float64, len(s.Classes)-old)...)
	in.rates = append(in.rates, make([]float64, max(0, len(s.Tenants)-len(in.rates)))...)
	in.tune(old)
	in.memory = in.set.KeyMemoryKB * float64(len(in.kept))
	for _, q := range in.live {
		in.memory += in.weight(q, q.state)
	}
	return nil
}

// RequestReceived takes in a request that was read. Decide settles what becomes of it.
func (in *Instance) RequestReceived(now time.Duration, r decision.Request) {
	in.now = now
	if r.Class < 0 || r.Class >= len(in.set.Classes) || in.requests[r.ID] != nil {
		return
	}
	if r.Tenant < 0 || r.Tenant >= len(in.rates) {
		r.Tenant = 0
	}
	c := &in.set.Classes[r.Class]
	q := &request{Request: r, class: c, arrived: now - r.Waited, due: r.Deadline, state: fresh}
	if q.due <= 0 {
		q.due = max(now, q.arrived+c.Deadline)
	}
	in.requests[r.ID] = q
	in.live = append(in.live, q)
	in.count[fresh]++
	in.reads++
	in.lag += learn * (r.Waited.Seconds() - in.lag)
	in.memory += in.weight(q, fresh)
	in.heard = slices.DeleteFunc(in.heard, func(c caller) bool { return c.from == r.Caller })
	in.heard = append(in.heard, caller{r.Caller, now})
	if !r.Retry {
		in.rates[r.Tenant]++
	}
	q.worth = c.Weight * in.share(r.Tenant)
	if r.Retry { // part of its aim is gone: where there is not room for all it goes after first tries
		q.worth *= retryWorth
	}
}

// RunDone takes in the end of a run or of a joined request.
func (in *Instance) RunDone(now time.Duration, id string, outcome decision.Outcome, _ time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == over {
		return
	}
	// A call that ends with its request was given up.
	if q.state == calling && in.set.AbandonedCallDuration > 0 {
		in.lingering = append(in.lingering, now+in.set.AbandonedCallDuration)
	}
	if q.stopping && outcome == decision.Cancelled && !q.answered {
		q.stopping = false
		in.move(q, paused)
		return
	}
	joined := q.state == joining
	in.move(q, over)
	if !joined && (outcome == decision.Succeeded || outcome == decision.Failed) {
		in.ownRun(outcome == decision.Failed)
		in.runTime += time.Duration(learn * float64(q.onCores-in.runTime))
		in.calls[q.Class] += learn * (float64(q.calls) - in.calls[q.Class])
	}
	q.answered = q.answered || outcome != decision.Cancelled
	in.fail(q) // stopped by nobody here, it still owes an answer
}

// CallNeeded takes in that a running request stands at a call.
func (in *Instance) CallNeeded(now time.Duration, id string) {
	in.now = now
	if q := in.requests[id]; q != nil && q.state == running {
		q.notYet, q.step, q.tries, q.calls, q.stopping = 0, 0, 0, q.calls+1, false
		in.move(q, standing)
	}
}

// CallDone takes in how a call ended.
func (in *Instance) CallDone(now time.Duration, id string, outcome decision.Outcome, took time.Duration) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state != calling {
		return
	}
	in.learnCall(q, outcome, took)
	if outcome == decision.Succeeded {
		in.move(q, running)
		return
	}
	in.move(q, standing)
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
	in.giveUpCall(q)
}

// CallerGone takes in that nobody waits for a request.
func (in *Instance) CallerGone(now time.Duration, id string) {
	in.now = now
	q := in.requests[id]
	if q == nil || q.state == over {
		return
	}
	q.answered = true
	in.settle(q)
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
	in.host.SetTimer(in.gap, 0)
	in.fade()
	in.tuneRunLimit(g)
	in.watchSelf()
	in.speak()
	in.closeIdle()
	in.expireKeys()
}

// Decide settles one batch of events.
func (in *Instance) Decide(now time.Duration) {
	in.now = now
	if !in.begun {
		in.begun, in.born, in.creditAt, in.fadedAt = true, now, now, now
		in.host.SetTimer(in.gap, 0)
		in.host.SetHealth(true, true)
	}
	in.payCalls()
	in.guardDue()
	for _, q := range in.live {
		if q.state == fresh {
			in.intake(q)
		}
	}
	in.makeCalls()
	in.startRuns()
	in.clearOut()
	in.guardMemory()
	in.live = slices.DeleteFunc(in.live, func(q *request) bool {
		if q.state == over && q.keptTill == 0 {
			delete(in.requests, q.ID)
		}
		return q.state == over
	})
}

// fade lets what was seen lose weight from tick to tick.
func (in *Instance) fade() {
	past := float64(in.now - in.fadedAt)
	in.fadedAt = in.now
	in.lag *= math.Exp(-past / float64(smooth))
	in.errors *= math.Exp(-past / float64(errorsSpan))
	for i := range in.rates {
		in.rates[i] *= math.Exp(-past / float64(rateSpan))
	}
}

// move changes a request's state and keeps the sums that depend on it.
func (in *Instance) move(q *request, to state) {
	in.payCalls()
	in.moves++
	if q.state == held || q.state == paused {
		in.queue = slices.DeleteFunc(in.queue, func(o *request) bool { return o == q })
	}
	if q.state == running {
		q.onCores += in.now
	} else if to == running {
		q.onCores -= in.now
	}
	in.memory += in.weight(q, to) - in.weight(q, q.state)
	in.count[q.state]--
	in.count[to]++
	q.state = to
	if to == held || to == paused {
		at, _ := slices.BinarySearchFunc(in.queue, q, before)
		in.queue = slices.Insert(in.queue, at, q)
	}
}

// weight is the memory that a request needs in a state.
func (in *Instance) weight(q *request, s state) float64 {
	switch s {
	case over:
		return 0
	case fresh, held, joining:
		return q.ReservedKB
	}
	return q.ReservedKB * in.set.RunningMemoryFactor
}

// before orders work: most worth first, then oldest.
func before(a, b *request) int {
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.arrived, b.arrived))
}

// --- Answers ---

func (in *Instance) fail(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	in.host.Fail(q.ID)
	in.settle(q)
}

// refuse turns away a request, with advice to stay away as far as reading is
// the burden. last is the chance of the wish that it is not tried elsewhere.
func (in *Instance) refuse(q *request, chance, last float64) {
	if q.ran && q.class.Effect != decision.Idempotent {
		in.fail(q)
		return
	}
	q.answered = true
	burden := max(in.readsLate(), in.reading) // else advice keeps work from cores that idle a moment later
	away := time.Duration(chance * burden * (0.5 + in.rng.Float64()) * float64(in.set.MaxRetryAfter))
	if in.draining {
		away = in.set.MaxRetryAfter
	}
	slow := in.runTime > in.aim(q)/hurry // then peers are likely quicker
	stay := !in.draining && (in.rng.Float64() < last && !slow || in.now-q.arrived > in.aim(q)/hurry)
	in.host.Shed(q.ID, min(away, in.set.MaxRetryAfter), stay)
	if q.keptTill != 0 && !q.ran {
		in.host.EvictResult(q.ID)
		q.keptTill = in.now // the next tick takes it out
	}
	in.settle(q)
}

// settle ends what an answered request still does, where that is possible.
func (in *Instance) settle(q *request) {
	switch q.state {
	case fresh, held, paused, joining:
		in.move(q, over)
	case running:
		if in.set.CancelMode != decision.CancelNever {
			in.host.Cancel(q.ID)
		}
	}
}

// --- Guards ---

// guardDue answers what is due before the clock is looked at again. Work that
// can't be stopped goes on and still weighs on the cores and in memory.
func (in *Instance) guardDue() {
	for _, q := range in.live {
		due := q.due + in.set.DeadlineSlack/2 // an early answer would cut runs short
		if over := q.arrived + in.aim(q); q.class.LateWeight == 0 && over < q.due && q.state != joining &&
			q.state != calling && (q.state != running || in.set.CancelMode != decision.CancelNever) {
			due = over // the cores are for others
		}
		if in.draining {
			due = min(due, in.stopAt-2*in.gap)
		}
		if q.answered || due > in.now+in.gap {
			continue
		}
		if q.state == running { // it hangs, or the cores are far too slow
			in.ownRun(true)
		}
		if q.state == fresh && q.DuplicateOf == "" || q.state == held ||
			q.ran && q.class.Effect == decision.Idempotent {
			in.refuse(q, 1, in.pressure)
		} else {
			in.fail(q)
		}
	}
}

// guardMemory sheds what only waits, the newest first, when reads, runs and
// keys together outgrow the memory.
func (in *Instance) guardMemory() {
	for i := len(in.live) - 1; i >= 0 && in.memory > in.set.MemoryKB*memoryShare; i-- {
		switch q := in.live[i]; q.state {
		case held, paused:
			in.refuse(q, 1, in.pressure)
		case joining:
			in.fail(q)
		}
	}
}

// crowdLimit is how many requests may be in hand so that, if all came back
// to the cores at once, the instance would survive. A cold one survives less.
func (in *Instance) crowdLimit() float64 {
	speed := 1.0
	if age := in.now - in.born; in.set.SlowStart && age < in.set.SlowStartDuration {
		slowest := in.set.SlowStartMinSpeed
		speed = slowest + (1-slowest)*float64(age)/float64(in.set.SlowStartDuration)
	}
	cores := float64(in.set.Cores)
	return max(1, crowdShare*cores*(1+max(0, in.set.OverloadRatio-1)*speed))
}

func (in *Instance) expireKeys() {
	in.kept = slices.DeleteFunc(in.kept, func(q *request) bool {
		if q.keptTill > in.now {
			return false
		}
		q.keptTill = 0
		in.memory -= in.set.KeyMemoryKB
		if q.state == over {
			delete(in.requests, q.ID)
		}
		return true
	})
}

// watchSelf guards against an instance that is the trouble itself: one whose
// runs fail fast looks idle and attracts work, one that hangs or is slow still
// reads, late. Were all to lag at once, only few would leave the list: each
// stays in it for a while after it was out.
func (in *Instance) watchSelf() {
	lags := in.readsLate() > 1 && (!in.well || in.now > in.staysTill)
	well := in.errors <= errorsFrom && !lags
	if well != in.well && !in.draining {
		in.well, in.staysTill = well, in.now+errorsSpan
		in.host.SetHealth(well, true)
		in.host.Log(fmt.Sprintf("well: %v; share of own runs failing or hanging %.2f, reads late by %.1f s",
			well, in.errors, in.lag))
	}
}

// readsLate is how far reads lag, as a part of what makes all that is read useless.
func (in *Instance) readsLate() float64 { return in.lag / (refuseFrom * in.shortest.Seconds()) }

// ownRun counts one of the instance's own runs.
func (in *Instance) ownRun(bad bool) {
	in.errors -= learn * in.errors
	if bad {
		in.errors += learn
	}
}

// --- Intake refusal ---

func (in *Instance) intake(q *request) {
	if q.DuplicateOf != "" {
		prior := in.requests[q.DuplicateOf]
		if prior == nil || prior.ran || prior.state != over {
			in.host.ServeCached(q.ID)
			q.ran = q.class.Effect != decision.Idempotent // its effect may have been had
			in.move(q, joining)
			return
		}
	}
	if in.draining && q.arrived > in.drainedAt+in.set.DrainGrace {
		in.refuse(q, 1, in.pressure)
		return
	}
	chance, below := in.chance(q), ramp(in.callWait(q), in.patience(q))
	in.pressed = max(in.pressed, chance, ramp(in.now-q.arrived, in.patience(q)))
	if in.rng.Float64() < chance || in.memory > in.set.MemoryKB*memoryShare {
		in.refuse(q, max(chance, refuseFrom), max(chance, in.pressure))
		return
	}
	if in.rng.Float64() < below { // others share what it lacks, and here is room for other work
		in.refuse(q, 0, below)
		return
	}
	in.move(q, held)
	ttl := q.class.KeyWindow - (in.now - q.arrived)
	if q.class.Effect == decision.Idempotent && in.set.CacheTTL > 0 && q.CacheKey != "" && !q.Write {
		ttl = q.class.LatencyObjective + in.set.CacheTTL
	} else if q.class.Effect != decision.Keyed {
		return
	}
	if ttl > 0 {
		in.host.CacheResult(q.ID, ttl+in.gap)
		q.keptTill = in.now + ttl + in.gap
		in.kept = append(in.kept, q)
		in.memory += in.set.KeyMemoryKB
	}
}

// chance is the chance at which a newcomer is refused. It rises from zero to
// one with the oldest wait among the work that would run before it, so that
// aged work of less worth turns nobody away.
func (in *Instance) chance(q *request) float64 {
	c := 0.0
	for _, h := range in.queue {
		if before(q, h) < 0 {
			break
		}
		c = max(c, ramp(in.now-h.arrived, in.patience(h)))
	}
	return c
}

// callWait is how long a request would wait for a call to the shared
// dependency behind the work that calls before it: all in hand, and what is
// held before it. Work that can't get its call costs cores and memory first.
func (in *Instance) callWait(q *request) time.Duration {
	if !q.class.CallsDependency || in.set.Dependency != decision.SharedDependency ||
		q.class.DegradedWeight > 0 && q.state != standing {
		return 0
	}
	calls := in.callsToCome()
	for _, s := range in.queue {
		if before(s, q) >= 0 {
			break
		}
		if s.state == held {
			calls += max(0, in.calls[s.Class]-float64(s.calls))
		}
	}
	return time.Duration(max(0, calls*float64(in.callTime)-float64(in.credit)) / in.callPace())
}

// callsToCome is how many calls what is in hand is still to make. It is the same
// for all that ask between two moves, and many do where calls are scarce.
func (in *Instance) callsToCome() float64 {
	if in.toComeAt != in.moves {
		in.toComeAt, in.toCome = in.moves, 0
		for _, s := range in.live {
			if s.state == standing {
				in.toCome++
			} else if s.state == running {
				in.toCome += max(0, in.calls[s.Class]-float64(s.calls))
			}
		}
	}
	return in.toCome
}

// ramp is the chance of refusal for a wait.
func ramp(wait, patience time.Duration) float64 {
	used := float64(wait) / float64(patience)
	return min(1, max(0, (used-refuseFrom)/(1-refuseFrom)))
}

// aim is how long after its arrival a request's answer earns full worth.
func (in *Instance) aim(q *request) time.Duration {
	ofCost := time.Duration(q.class.ObjectivePerCost * float64(q.CostHint))
	return min(q.due-q.arrived, q.class.LatencyObjective+ofCost)
}

// patience is how long a request may wait: the rest of its aim is for its run.
// Where runs take most of it, be it that cores are slow or crowded, nothing may.
func (in *Instance) patience(q *request) time.Duration {
	return min(in.aim(q)/hurry, max(in.gap, in.aim(q)-in.runTime))
}

// clearOut turns away held work that can no longer make its aim, while there
// is more to do than the cores can: run late it would make others late too.
// It comes after startRuns: when reads lag, all that is read is old, and an
// instance that cleared it out first would do nothing but read.
func (in *Instance) clearOut() {
	for i := len(in.queue) - 1; i >= 0; i-- {
		if q := in.queue[i]; q.state == held && in.now-q.arrived > in.patience(q) {
			in.refuse(q, 1, in.pressure)
		}
	}
}

// share is what a request of a tenant is worth, by how far its tenant is over
// its quota. Only local arrivals are seen: each instance takes an even part, and
// what a count of that size reaches by chance is no excess.
func (in *Instance) share(tenant int) float64 {
	if tenant >= len(in.set.Tenants) || in.set.Tenants[tenant].Quota <= 0 {
		return 1
	}
	quota := in.set.Tenants[tenant].Quota / float64(max(1, in.set.Servers)) * rateSpan.Seconds()
	if in.rates[tenant] <= quota+chanceSpread*math.Sqrt(quota) {
		return 1
	}
	in4 := math.Round(4*quota/in.rates[tenant]) / 4 // in quarters: order of arrival within each
	return max(in.set.OverQuotaWeight, in4)
}

// --- Run limit ---

// tuneRunLimit lets more run while cores idle and work waits, and falls back
// toward the cores while they are busy.
func (in *Instance) tuneRunLimit(g decision.Gauges) {
	cores := float64(in.set.Cores)
	on := g.RunnableTasks
	if on < 0 {
		on = float64(in.count[running])
	}
	youngest := time.Duration(math.MaxInt64) // all runs old: slow, before one has ended
	for _, q := range in.live {
		if q.state == running {
			youngest = min(youngest, q.onCores+in.now)
		}
	}
	if in.count[running] >= in.set.Cores {
		in.runTime = max(in.runTime, youngest)
	}
	reading := max(0, on-float64(in.count[running])) / max(1, on)
	in.reading += (reading - in.reading) * min(1, float64(in.gap)/float64(smooth))
	switch {
	case on > busyFrom*cores || g.CoreUtilization >= idleBelow:
		in.runLimit -= (in.runLimit - cores) * 0.05
	case len(in.queue) > 0:
		in.runLimit += 0.25
	}
	in.runLimit = min(max(in.runLimit, cores), max(cores, in.crowdLimit()))
}

// startRuns runs held work, most worth first, while the run limit, the crowd
// and the memory allow. Work that would only queue for a call is passed over.
func (in *Instance) startRuns() {
	for i := 0; i < len(in.queue); {
		q := in.queue[i]
		inHand := float64(in.count[running] + in.count[standing] + in.count[calling])
		limit := max(1, in.runLimit/(1+in.readsLate())) // reads share the cores: late ones come first
		more := in.weight(q, running) - in.weight(q, q.state)
		if in.memory+more > in.set.MemoryKB*memoryShare || ramp(in.callWait(q), in.patience(q)) > 0 {
			i++
			continue
		}
		if inHand >= in.crowdLimit() || float64(in.count[running]) >= limit && !in.makeWay(q) {
			return
		}
		q.ran = true
		in.host.Run(q.ID)
		in.move(q, running)
	}
}

// makeWay pauses the run of least worth for one that is worth far more, where
// nothing done is lost: with few cores a long run holds up all that comes.
func (in *Instance) makeWay(q *request) bool {
	var least *request
	for _, r := range in.live {
		if r.state == running && !r.stopping && !r.answered && (least == nil || before(least, r) < 0) {
			least = r
		}
	}
	if in.set.CancelMode != decision.CancelPause || least == nil || least.worth > q.worth*wayWorth {
		return false
	}
	least.stopping = true
	in.host.Cancel(least.ID)
	return true
}

// --- Calls ---

// makeCalls makes the calls that requests stand at, most worth first.
func (in *Instance) makeCalls() {
	var waiting []*request
	for _, q := range in.live {
		if q.state == standing && !q.answered && q.notYet <= in.now {
			waiting = append(waiting, q)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *request) int {
		gainA, gainB := a.worth*(1-a.class.DegradedWeight), b.worth*(1-b.class.DegradedWeight)
		return cmp.Or(cmp.Compare(gainB, gainA), before(a, b))
	})
	for _, q := range waiting {
		if in.mayCall() {
			in.call(q)
		} else if q.class.DegradedWeight > 0 && ramp(in.callWait(q), in.patience(q)) > 0 {
			in.giveUpCall(q)
		}
	}
}

// call makes one call: a safe one under the Controller's time-out when it is
// diagnostic, else under the sequence; any other once, for the time left.
func (in *Instance) call(q *request) {
	left := q.due - in.now - in.gap
	timeout := left
	q.probe, q.last = false, false
	if q.class.Effect == decision.Idempotent {
		if in.safeCalls++; in.safeCalls%solveEvery == 0 {
			in.optimizer.solve()
		}
		sequence := in.optimizer.sequence
		q.probe = len(in.optimizer.buffer) < bufferSize || in.safeCalls%diagnostic == 0
		switch {
		case q.probe:
			timeout = in.controller.timeout
			q.last = len(in.optimizer.buffer) < bufferSize
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
		in.giveUpCall(q)
		return
	}
	// Others may have made all the retries that there are for now.
	if q.tries > 0 && in.bounds.AcquireRetry != nil && !in.bounds.AcquireRetry() {
		if q.notYet = in.now + repeatRest; q.class.DegradedWeight > 0 {
			in.giveUpCall(q)
		}
		return
	}
	if q.tries == 0 {
		in.budget = min(budgetMost, in.budget+budgetShare)
	}
	q.tries++
	in.host.Call(q.ID, max(time.Millisecond, min(timeout, left, in.longestCall())))
	in.move(q, calling)
}

// giveUpCall goes on without the call where that still earns something.
func (in *Instance) giveUpCall(q *request) {
	if q.class.DegradedWeight > 0 {
		in.host.SkipCall(q.ID)
		in.move(q, running)
		return
	}
	in.fail(q)
}

// learnCall feeds what a call showed to the Optimizer, the Controller and
// the breaker.
func (in *Instance) learnCall(q *request, outcome decision.Outcome, took time.Duration) {
	spent := took
	if outcome == decision.TimedOut && in.set.AbandonedCallDuration > 0 {
		in.lingering = append(in.lingering, in.now+in.set.AbandonedCallDuration)
		spent += in.set.AbandonedCallDuration
	}
	in.callTime += time.Duration(learn * float64(spent-in.callTime))
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
	in.failing -= learn * in.failing
	if outcome != decision.Succeeded {
		in.failing += learn
	}
	switch {
	case outcome == decision.Succeeded:
		in.brokenTill = in.now
	case in.failing > breakAt:
		in.brokenTill = in.now + breakFor
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

// callsOut counts calls in hand, with those given up that still linger.
func (in *Instance) callsOut() int { return in.count[calling] + len(in.lingering) }

// SetFleetBounds takes in this server's part of what its fleet shares, and gives how many
// calls it has in hand or would make now, if only it might.
func (in *Instance) SetFleetBounds(b decision.FleetBounds) (wanted int) {
	in.bounds = b
	return in.callsOut() + in.count[standing]
}

// callPace is how many calls may be in hand on average.
func (in *Instance) callPace() float64 {
	return min(callGoal*max(callLeast, in.set.CallQuota), max(callLeast, in.bounds.MaxCalls))
}

// payCalls keeps the account of the time that calls spend below. It earns the
// pace, saved up for a while, and pays for what is in hand, so that a share of
// less than one call becomes a rest after each call, the longer the slower it was.
func (in *Instance) payCalls() {
	past := in.now - in.creditAt
	earned := time.Duration((in.callPace() - float64(in.callsOut())) * float64(past))
	in.credit = min(in.credit+earned, time.Duration(in.callPace()*float64(callSaved)))
	in.creditAt = in.now
	in.lingering = slices.DeleteFunc(in.lingering, func(t time.Duration) bool { return t <= in.now })
}

// mayCall says whether the call cap has room for one more.
func (in *Instance) mayCall() bool {
	out := float64(in.callsOut())
	if out >= in.bounds.MaxCalls {
		return false
	} else if in.set.Dependency != decision.SharedDependency {
		return out < in.runLimit
	}
	return out < max(1, in.callsAtOnce()) && in.credit >= 0
}

// callsAtOnce is how many calls may be in hand at a time: more than the pace as far
// as time is saved up for them, so that a few which hang or linger don't hold up
// all others while the mean is far from its bound.
func (in *Instance) callsAtOnce() float64 {
	saved := float64(in.credit) / (in.callPace() * float64(callSaved))
	return in.callPace() * (1 + (callBurst-1)*min(1, max(0, saved)))
}

// longestCall bounds a call's time-out so that the shared dependency survives
// when the calls of all instances hang at once: what they may overdraw then,
// with what they have saved, stays under the told share in the told span.
func (in *Instance) longestCall() time.Duration {
	if in.set.Dependency != decision.SharedDependency {
		return math.MaxInt64
	}
	window := float64(in.set.CallQuotaWindow)
	spare := (callShare-callGoal)*in.set.CallQuota*window - in.callPace()*float64(callSaved)
	each := time.Duration(spare / math.Ceil(max(1, in.callPace()*callBurst)))
	return max(in.controller.timeout, each-in.set.AbandonedCallDuration)
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
		c.timeout = min(time.Duration(float64(c.timeout)*growth), most)
		return
	}
	x := float64(took)
	if c.streak > 0 && math.Abs(x-c.mean) > tolerance*c.mean {
		c.streak = 0
	}
	c.streak++
	c.mean += (x - c.mean) / float64(c.streak)
	step := (stepShare*(x-float64(c.timeout)) + cushion*c.mean) / max(1, math.Log(float64(c.streak+1)))
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
	if len(o.buffer) == bufferSize {
		o.buffer = o.buffer[1:]
	}
	o.buffer = append(o.buffer, max(took, time.Microsecond))
	if len(o.buffer) == bufferSize && o.sequence == nil {
		o.solve()
	}
}

// solve works back from t_z, the greatest latency seen. Each earlier time-out
// is a root of the paper's equation (6) where E turns from falling to rising.
func (o *optimizer) solve() {
	if len(o.buffer) < bufferSize {
		return
	}
	top := slices.Max(o.buffer)
	width := float64(top) / bins
	var f, tail, mass [bins + 1]float64 // share in a bin, share beyond its start, integral of x f before it
	total := 0.0
	for i, d := range o.buffer {
		k := min(int(float64(d)/width), bins-1)
		f[k] += float64(i + 1)
		total += float64(i + 1)
	}
	floored := 0.0
	for k := range bins {
		f[k] = max(f[k]/total, binFloor)
		floored += f[k]
	}
	tail[0] = 1
	for k := range bins {
		f[k] /= floored
		tail[k+1] = max(0, tail[k]-f[k])
		mass[k+1] = mass[k] + f[k]*(float64(k)+0.5)*width
	}
	at := func(t float64) (beyond, mean float64) { // P(t) and a(t)
		k := min(int(t/width), bins-1)
		part := t/width - float64(k)
		beyond = max(0, tail[k]-f[k]*part)
		return beyond, mass[k] + f[k]*part*(float64(k)*width+t)/2 + t*beyond + costSlope*t
	}
	next := float64(top)
	p, a := at(next)
	e := a / (1 - p)
	o.sequence = []time.Duration{top}
	for len(o.sequence) < maxSteps {
		bestT, bestE := 0.0, e
		for k := range bins {
			start, density := float64(k)*width, f[k]/width
			// The slope falls inside a bin: E turns to rising where a thinner one begins.
			if k == 0 || start >= next {
				continue
			}
			left := tail[k] + costSlope - (e+o.lost)*f[k-1]/width
			right := tail[k] + costSlope - (e+o.lost)*density
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

// closeIdle keeps idle connections only where their callers come back while
// they are open. Among many callers few do: then a full table costs cores and
// turns callers away, and saves hardly a handshake. In a storm of tries, when
// reads and handshakes take most of the cores, that is just what is wanted: a
// full table turns tries away before they cost any work. A full one leaves few
// reads to be seen, so the storm counts as over only when hardly any are left.
func (in *Instance) closeIdle() {
	in.storm = in.reading > stormFrom || in.storm && in.reading > stormFrom/10
	after := in.set.MaxIdleTime
	if float64(in.set.Callers)*float64(in.now-in.born) > float64(after)*float64(in.reads) && !in.storm {
		after = min(after, idleLeast)
	}
	if after != in.idle {
		in.idle = after
		in.host.SetIdleTimeout(after)
	}
}

// speak sends the free value, from the refusal chance, smoothed.
func (in *Instance) speak() {
	in.pressure += (in.pressed - in.pressure) * min(1, float64(in.gap)/float64(smooth))
	in.pressed = in.chance(&request{arrived: math.MaxInt64}) // of one that would run last
	value, full := in.said, 1.0
	in.heard = slices.DeleteFunc(in.heard, func(c caller) bool { return c.at < in.now-in.set.LoadReportTTL })
	switch in.set.LoadReportMode {
	case decision.LoadReportMinRank:
		value = in.pressure
	case decision.LoadReportCredit: // heeded by those that heard it of late, each to its own even part
		full = in.crowdLimit() / float64(max(1, len(in.heard)))
		value = full * (1 - in.pressure*(1-leastShare))
	case decision.LoadReportWeight:
		value = 1 - in.pressure*(1-leastShare)
	}
	if math.Abs(value-in.said) >= sayStep*full {
		in.said = value
		in.host.PublishLoad(value)
	}
}
