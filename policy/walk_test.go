package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// ruleChecker is a Host that checks the four rules: a request that must run once runs
// once; none is shed after it may have had its effect; each is answered, once, by its
// deadline; memory and the requests in flight stay within what the instance survives. It
// knows nothing of cores or load.
type ruleChecker struct {
	recorder
	t         *testing.T
	s         decision.Settings
	now       time.Duration
	attempts  map[string]*attempt
	order     []*attempt
	keyed     []*attempt               // those with a key, which may be retried
	entries   map[string]time.Duration // when the cached result of a request expires
	wakes     []time.Duration
	drainedAt time.Duration
	drained   bool
	stopAt    time.Duration
}

// attemptState is where an attempt is, as the actions on it tell.
type attemptState string

const (
	isQueued       attemptState = "queued"
	isCoalesced    attemptState = "coalesced"
	isRunning      attemptState = "running"
	isPreempting   attemptState = "being preempted"
	isPreempted    attemptState = "preempted"
	isAwaitingCall attemptState = "awaiting its call"
	isInCall       attemptState = "in its call"
	isFinished     attemptState = "finished"
)

// attempt is what the checker knows of an attempt of a request.
type attempt struct {
	id, duplicateOf string
	original        int // number of the request that it is an attempt of
	class           decision.Class
	kb              float64
	arrived, due    time.Duration
	readAt          time.Duration
	at              attemptState
	answered        bool
	ran             bool
	callEndsAt      time.Duration
	mayHaveCalled   bool // its call was made, and may have had its effect
}

func (c *ruleChecker) get(id, action string) *attempt {
	q := c.attempts[id]
	if q == nil {
		c.t.Fatalf("%v: %s names %s, which was never read", c.now, action, id)
	}
	return q
}

func (c *ruleChecker) answer(q *attempt, action string) {
	if q.answered {
		c.t.Fatalf("%v: %s answers %s again", c.now, action, q.id)
	}
	q.answered = true
}

func (c *ruleChecker) Run(id string) {
	c.recorder.Run(id)
	q := c.get(id, "run")
	if q.at != isQueued && q.at != isPreempted || q.answered {
		c.t.Fatalf("%v: run of %s, which is %s", c.now, id, q.at)
	}
	if c.drained && q.arrived > c.drainedAt+c.s.DrainGrace {
		c.t.Fatalf("%v: %s run, which came after the grace", c.now, id)
	}
	for _, o := range c.order {
		if o != q && o.ran && o.original == q.original && q.class.Effect != decision.Idempotent &&
			(q.class.Effect == decision.NonIdempotent || q.arrived <= o.arrived+q.class.KeyWindow) {
			c.t.Fatalf("%v: %s and %s both run, attempts of one request", c.now, o.id, id)
		}
	}
	q.at, q.ran = isRunning, true
}

func (c *ruleChecker) Shed(id string, away time.Duration, last bool) {
	c.recorder.Shed(id, away, last)
	q := c.get(id, "shed")
	c.answer(q, "shed")
	for _, o := range c.order {
		if o.ran && o.original == q.original && q.class.Effect != decision.Idempotent && (o == q || q.arrived <= o.arrived+q.class.KeyWindow) {
			c.t.Fatalf("%v: %s shed after an attempt of it ran", c.now, id)
		}
	}
	if q.at == isQueued || q.at == isCoalesced || q.at == isPreempted {
		q.at = isFinished
	}
}

func (c *ruleChecker) Fail(id string) {
	c.recorder.Fail(id)
	q := c.get(id, "fail")
	c.answer(q, "fail")
	if q.at == isQueued || q.at == isCoalesced || q.at == isPreempted {
		q.at = isFinished
	}
}

func (c *ruleChecker) Call(id string, d time.Duration) {
	c.recorder.Call(id, d)
	q := c.get(id, "call")
	if q.mayHaveCalled && q.class.Effect != decision.Idempotent {
		c.t.Fatalf("%v: the call of %s is retried", c.now, id)
	}
	if q.at == isAwaitingCall {
		q.at, q.mayHaveCalled, q.callEndsAt = isInCall, true, c.now+d
	}
}

func (c *ruleChecker) SkipCall(id string) {
	c.recorder.SkipCall(id)
	q := c.get(id, "skip")
	if q.class.DegradedWeight == 0 {
		c.t.Fatalf("%v: the call of %s may not be skipped", c.now, id)
	}
	q.at = isRunning
}

func (c *ruleChecker) CacheResult(id string, ttl time.Duration) {
	c.recorder.CacheResult(id, ttl)
	c.entries[id] = c.now + ttl
}

func (c *ruleChecker) EvictResult(id string) {
	c.recorder.EvictResult(id)
	delete(c.entries, id)
}

func (c *ruleChecker) ServeCached(id string) {
	c.recorder.ServeCached(id)
	q := c.get(id, "coalesce")
	if q.duplicateOf == "" {
		c.t.Fatalf("%v: %s is coalesced, and repeats nothing", c.now, id)
	}
	q.at = isCoalesced
}

func (c *ruleChecker) Cancel(id string) {
	c.recorder.Cancel(id)
	if c.s.CancelMode == decision.CancelNever {
		c.t.Fatalf("%v: %s is cancelled, where runs can't be", c.now, id)
	}
	if q := c.get(id, "cancel"); q.at == isRunning && !q.answered {
		if c.s.CancelMode != decision.CancelPause {
			c.t.Fatalf("%v: what was done of %s is lost", c.now, id)
		}
		q.at = isPreempting
	}
}

func (c *ruleChecker) PublishLoad(v float64) {
	c.recorder.PublishLoad(v)
	if c.s.LoadReportMode == decision.LoadReportNone || v < 0 {
		c.t.Fatalf("%v: says %v", c.now, v)
	}
}

func (c *ruleChecker) SetTimer(d time.Duration, token int64) {
	c.recorder.SetTimer(d, token)
	c.wakes = append(c.wakes, c.now+d)
}

// check asserts what must hold after each batch.
func (c *ruleChecker) check() {
	kb := 0.0
	for id, till := range c.entries {
		if till <= c.now {
			delete(c.entries, id)
			continue
		}
		kb += c.s.KeyMemoryKB
	}
	inFlight := 0
	for _, q := range c.order {
		switch q.at {
		case isQueued, isCoalesced:
			kb += q.kb
		case isPreempted:
			kb += q.kb * c.s.RunningMemoryFactor
		case isRunning, isAwaitingCall, isInCall, isPreempting:
			kb += q.kb * c.s.RunningMemoryFactor
			inFlight++
		}
		due := q.due
		if c.drained {
			due = min(due, c.stopAt)
		}
		if !q.answered && c.now > due+c.s.DeadlineSlack {
			c.t.Fatalf("%v: %s lost, due at %v, is %s", c.now, q.id, due, q.at)
		}
	}
	if kb > c.s.MemoryKB {
		c.t.Fatalf("%v: %v KB needed of %v", c.now, kb, c.s.MemoryKB)
	}
	if limit := float64(c.s.Cores) * c.s.OverloadRatio; float64(inFlight) > limit {
		c.t.Fatalf("%v: %d in hand, %v survive", c.now, inFlight, limit)
	}
}

// walkDay is how long a random walk lasts, and walkDrain the last part of it.
const (
	walkDay      = 20 * time.Second
	walkDrain    = 8 * time.Second
	walkStopTime = 5 * time.Second
)

// walk plays a random but legal day and returns the actions. Requests come in one of thin
// steps: at a hundred, a couple a second.
func walk(t *testing.T, s decision.Settings, seed int64, thin int) []string {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	c := &ruleChecker{t: t, s: s, attempts: map[string]*attempt{}, entries: map[string]time.Duration{}}
	in, err := New(s, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	in.Decide(0)
	for c.now < walkDay {
		c.now += s.BatchInterval + time.Duration(rng.Int63n(int64(8*ms)))
		c.tick(in, rng)
		if !c.drained && c.now > walkDay-walkDrain {
			c.drained, c.drainedAt, c.stopAt = true, c.now, c.now+walkStopTime
			in.Drain(c.now, c.stopAt)
		}
		if c.drained && c.now > c.stopAt {
			break
		}
		for n := rng.Intn(3); n > 0 && rng.Intn(thin) == 0; n-- {
			c.send(in, rng)
		}
		for _, q := range c.order {
			c.progress(in, q, rng)
		}
		in.Decide(c.now)
		c.check()
	}
	return c.acts
}

// tick passes the timers that are due to the instance.
func (c *ruleChecker) tick(in *Instance, rng *rand.Rand) {
	wakes := c.wakes
	c.wakes = nil
	for _, at := range wakes {
		if at > c.now {
			c.wakes = append(c.wakes, at)
			continue
		}
		in.Tick(c.now, 0, decision.Gauges{
			CoreUtilization: rng.Float64(), RunnableTasks: 8 * rng.Float64(), MemoryUtilization: 0.5, Connections: 9,
		})
	}
}

// send passes a request to the instance: a keyed one is a retry as often as not.
func (c *ruleChecker) send(in *Instance, rng *rand.Rand) {
	class := rng.Intn(len(c.s.Classes))
	q := &attempt{
		id: fmt.Sprint(len(c.order)), original: len(c.order), class: c.s.Classes[class], at: isQueued, readAt: c.now,
		kb: 10 + 20*rng.Float64(), arrived: c.now - time.Duration(rng.Int63n(int64(20*ms))),
	}
	keyed := q.class.Effect == decision.Keyed
	if len(c.keyed) > 0 && keyed && rng.Intn(2) == 0 {
		c.repeat(q, c.keyed[rng.Intn(len(c.keyed))])
	}
	q.due = q.arrived + time.Duration(float64(q.class.Deadline)*(0.3+0.7*rng.Float64()))
	c.attempts[q.id], c.order = q, append(c.order, q)
	if keyed {
		c.keyed = append(c.keyed, q)
	}
	in.RequestReceived(c.now, decision.Request{
		ID: q.id, Class: class, Deadline: q.due, ReservedKB: q.kb, Waited: c.now - q.arrived, DuplicateOf: q.duplicateOf,
		Rank: rng.Float64(),
	})
}

// repeat makes a request a retry of another, with the link that the key table gives.
func (c *ruleChecker) repeat(q, earlier *attempt) {
	q.original = earlier.original
	for _, o := range c.order {
		if o.original == earlier.original && (o.readAt == c.now || c.entries[o.id] > q.arrived) {
			q.duplicateOf = o.id
		}
	}
}

// progress lets the world go on with one request.
func (c *ruleChecker) progress(in *Instance, q *attempt, rng *rand.Rand) {
	outcome := decision.Succeeded
	if rng.Intn(8) == 0 {
		outcome = decision.Failed
	}
	if c.progressState(in, q, rng, outcome) || q.answered || rng.Intn(2000) != 0 {
		return
	}
	q.answered = true
	if q.at == isQueued || q.at == isCoalesced {
		q.at = isFinished
	}
	in.CallerGone(c.now, q.id)
}

// progressState lets a request leave its state, and tells whether nothing else happens to
// it in this step.
func (c *ruleChecker) progressState(in *Instance, q *attempt, rng *rand.Rand, outcome decision.Outcome) bool {
	switch q.at {
	case isFinished:
		return true
	case isPreempting:
		q.at = isPreempted
		if q.answered {
			q.at = isFinished
		}
		in.RunDone(c.now, q.id, decision.Cancelled, 0)
		return true
	case isRunning:
		return c.progressRun(in, q, rng, outcome)
	case isAwaitingCall, isInCall:
		return c.progressCall(in, q, rng)
	case isCoalesced:
		if rng.Intn(50) != 0 {
			return false
		}
		c.endRun(in, q, outcome)
		return true
	default:
		return false
	}
}

// progressRun lets a run come to its call, or end.
func (c *ruleChecker) progressRun(in *Instance, q *attempt, rng *rand.Rand, outcome decision.Outcome) bool {
	if rng.Intn(60) == 0 && q.class.CallsDependency && !q.answered {
		q.at, q.mayHaveCalled = isAwaitingCall, false
		in.CallNeeded(c.now, q.id)
		return true
	}
	if rng.Intn(60) == 0 {
		c.endRun(in, q, outcome)
		return true
	}
	return false
}

// endRun ends a run, or the wait of a joined request, with an answer.
func (c *ruleChecker) endRun(in *Instance, q *attempt, outcome decision.Outcome) {
	q.at, q.answered = isFinished, true
	in.RunDone(c.now, q.id, outcome, 0)
}

// progressCall lets a call end: with its request, at its time-out, or in any other way.
func (c *ruleChecker) progressCall(in *Instance, q *attempt, rng *rand.Rand) bool {
	switch {
	case q.answered:
		q.at = isFinished
		in.RunDone(c.now, q.id, decision.Cancelled, 0)
	case q.at == isInCall && c.now >= q.callEndsAt:
		q.at = isAwaitingCall
		in.CallDone(c.now, q.id, decision.TimedOut, c.now)
	case q.at == isInCall && rng.Intn(40) == 0:
		c.endCall(in, q, callOutcomes[rng.Intn(len(callOutcomes))])
	default:
		return false
	}
	return true
}

// callOutcomes are how calls end that do not time out: half of them succeed.
var callOutcomes = []decision.Outcome{
	decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded,
	decision.Failed, decision.Rejected, decision.ConnectFailed, decision.ConnectionReset,
}

// endCall ends a call with an outcome.
func (c *ruleChecker) endCall(in *Instance, q *attempt, outcome decision.Outcome) {
	q.at = isAwaitingCall
	if outcome == decision.Succeeded {
		q.at = isRunning
	}
	if outcome == decision.Rejected || outcome == decision.ConnectFailed {
		q.mayHaveCalled = false
	}
	in.CallDone(c.now, q.id, outcome, 50*ms)
}

func TestRandomWalkKeepsTheFourRules(t *testing.T) {
	for i, change := range []func(*decision.Settings){
		func(*decision.Settings) {},
		func(s *decision.Settings) {
			s.CancelMode, s.LoadReportMode, s.SlowStart = decision.CancelDiscard, decision.LoadReportWeight, true
		},
		func(s *decision.Settings) {
			s.CancelMode, s.LoadReportMode, s.MemoryKB = decision.CancelPause, decision.LoadReportMinRank, 600
		},
		func(s *decision.Settings) {
			s.Dependency, s.LoadReportMode, s.Classes[0].DegradedWeight = decision.NextTier, decision.LoadReportCredit, 0.5
		},
		func(s *decision.Settings) {
			s.Dependency = decision.NoDependency
			s.Tenants = []decision.Tenant{{Quota: 10}, {Quota: 500}}
			s.OverQuotaWeight = 0.1
		},
		func(s *decision.Settings) { s.CallQuota, s.Servers, s.Callers = 0.2, 3000, 1200 },
		func(s *decision.Settings) {
			s.CallQuota, s.Servers, s.Callers, s.CancelMode = 0, 1, 0, decision.CancelDiscard
		},
	} {
		for seed := int64(1); seed <= 3; seed++ {
			s := settings()
			change(&s)
			thin := []int{1, 1, 100}[seed-1]
			t.Run(fmt.Sprintf("settings %d seed %d", i, seed), func(t *testing.T) {
				acts := walk(t, s, seed, thin)
				if r := (&recorder{acts: acts}); r.count("run") == 0 || r.count("refuse") == 0 {
					t.Fatal("nothing was run, or nothing shed")
				}
				if !reflect.DeepEqual(acts, walk(t, s, seed, thin)) {
					t.Fatal("the same events and seed gave other actions")
				}
			})
		}
	}
}
