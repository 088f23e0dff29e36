package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// invariantChecker is a Host that checks four invariants:
//
//   - a request that must run at most once does so;
//   - no request is shed after it may have had its effect;
//   - each request is answered once, by its deadline;
//   - the reserved memory is at most MemoryKB, and the requests in flight are at most Cores
//     times OverloadRatio.
//
// It does not simulate cores or load.
type invariantChecker struct {
	recordingHost
	t           *testing.T
	settings    decision.Settings
	now         time.Duration
	attempts    map[string]*attempt
	sent        []*attempt               // in the order in which they were read
	keyed       []*attempt               // keyed ones, which may be retried
	cachedUntil map[string]time.Duration // when each cached result expires
	timers      []time.Duration          // when they are due
	drainedAt   time.Duration
	drained     bool
	stopAt      time.Duration
}

// attemptState is the state of an attempt, as of the last action or event.
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

// attempt is the checker's view of an attempt of a request.
type attempt struct {
	id, duplicateOf string
	original        int // index in invariantChecker.sent of the first attempt of the request
	class           decision.Class
	reservedKB      float64
	arrived, due    time.Duration
	readAt          time.Duration
	state           attemptState
	answered        bool
	ran             bool
	callEndsAt      time.Duration
	mayHaveCalled   bool // its current call was made and may have had its effect
}

func (c *invariantChecker) get(id, action string) *attempt {
	req := c.attempts[id]
	if req == nil {
		c.t.Fatalf("%v: action %s for request %s, which was never read", c.now, action, id)
	}
	return req
}

func (c *invariantChecker) answer(req *attempt, action string) {
	if req.answered {
		c.t.Fatalf("%v: %s answers request %s, which is already answered", c.now, action, req.id)
	}
	req.answered = true
}

func (c *invariantChecker) Run(id string) {
	c.recordingHost.Run(id)
	req := c.get(id, "run")
	if req.state != isQueued && req.state != isPreempted || req.answered {
		c.t.Fatalf("%v: run of request %s, which is answered or %s", c.now, id, req.state)
	}
	if c.drained && req.arrived > c.drainedAt+c.settings.DrainGrace {
		c.t.Fatalf("%v: run of request %s, which arrived after DrainGrace", c.now, id)
	}
	for _, other := range c.sent {
		if other != req && other.ran && other.original == req.original &&
			req.class.Idempotency != decision.Idempotent &&
			(req.class.Idempotency == decision.NonIdempotent ||
				req.arrived <= other.arrived+req.class.KeyWindow) {
			c.t.Fatalf("%v: run of %s after %s, an attempt of the same request, ran", c.now, id, other.id)
		}
	}
	req.state, req.ran = isRunning, true
}

func (c *invariantChecker) Shed(id string, retryAfter time.Duration, noRetryElsewhere bool) {
	c.recordingHost.Shed(id, retryAfter, noRetryElsewhere)
	req := c.get(id, "shed")
	c.answer(req, "shed")
	for _, other := range c.sent {
		if other.ran && other.original == req.original &&
			req.class.Idempotency != decision.Idempotent &&
			(other == req || req.arrived <= other.arrived+req.class.KeyWindow) {
			c.t.Fatalf("%v: request %s shed after its attempt %s ran", c.now, id, other.id)
		}
	}
	if req.state == isQueued || req.state == isCoalesced || req.state == isPreempted {
		req.state = isFinished
	}
}

func (c *invariantChecker) Fail(id string) {
	c.recordingHost.Fail(id)
	req := c.get(id, "fail")
	c.answer(req, "fail")
	if req.state == isQueued || req.state == isCoalesced || req.state == isPreempted {
		req.state = isFinished
	}
}

func (c *invariantChecker) Call(id string, d time.Duration) {
	c.recordingHost.Call(id, d)
	req := c.get(id, "call")
	if req.mayHaveCalled && req.class.Idempotency != decision.Idempotent {
		c.t.Fatalf("%v: retry of the call of request %s, which is not idempotent", c.now, id)
	}
	if req.state == isAwaitingCall {
		req.state, req.mayHaveCalled, req.callEndsAt = isInCall, true, c.now+d
	}
}

func (c *invariantChecker) SkipCall(id string) {
	c.recordingHost.SkipCall(id)
	req := c.get(id, "skip")
	if req.class.DegradedWeight == 0 {
		c.t.Fatalf("%v: call of request %s skipped, but its DegradedWeight is 0", c.now, id)
	}
	req.state = isRunning
}

func (c *invariantChecker) CacheResult(id string, ttl time.Duration) {
	c.recordingHost.CacheResult(id, ttl)
	c.cachedUntil[id] = c.now + ttl
}

func (c *invariantChecker) EvictResult(id string) {
	c.recordingHost.EvictResult(id)
	delete(c.cachedUntil, id)
}

func (c *invariantChecker) ServeCached(id string) {
	c.recordingHost.ServeCached(id)
	req := c.get(id, "coalesce")
	if req.duplicateOf == "" {
		c.t.Fatalf("%v: request %s coalesced without DuplicateOf", c.now, id)
	}
	req.state = isCoalesced
}

func (c *invariantChecker) Cancel(id string) {
	c.recordingHost.Cancel(id)
	if c.settings.CancelMode == decision.CancelNever {
		c.t.Fatalf("%v: run of request %s cancelled with CancelNever", c.now, id)
	}
	if req := c.get(id, "cancel"); req.state == isRunning && !req.answered {
		if c.settings.CancelMode != decision.CancelPause {
			c.t.Fatalf("%v: unanswered run of request %s cancelled without CancelPause", c.now, id)
		}
		req.state = isPreempting
	}
}

func (c *invariantChecker) PublishLoad(value float64) {
	c.recordingHost.PublishLoad(value)
	if c.settings.LoadReportMode == decision.LoadReportNone || value < 0 {
		c.t.Fatalf("%v: load report %v in mode %d", c.now, value, c.settings.LoadReportMode)
	}
}

func (c *invariantChecker) SetTimer(d time.Duration, token int64) {
	c.recordingHost.SetTimer(d, token)
	c.timers = append(c.timers, c.now+d)
}

// check checks the invariants that must hold after each batch: no request is unanswered later
// than DeadlineSlack after it is due, and the reserved memory and the number of requests in
// flight are within their limits.
func (c *invariantChecker) check() {
	reservedKB := 0.0
	for id, expiresAt := range c.cachedUntil {
		if expiresAt <= c.now {
			delete(c.cachedUntil, id)
			continue
		}
		reservedKB += c.settings.KeyMemoryKB
	}
	inFlight := 0
	for _, req := range c.sent {
		switch req.state {
		case isQueued, isCoalesced:
			reservedKB += req.reservedKB
		case isPreempted:
			reservedKB += req.reservedKB * c.settings.RunningMemoryFactor
		case isRunning, isAwaitingCall, isInCall, isPreempting:
			reservedKB += req.reservedKB * c.settings.RunningMemoryFactor
			inFlight++
		}
		due := req.due
		if c.drained {
			due = min(due, c.stopAt)
		}
		if !req.answered && c.now > due+c.settings.DeadlineSlack {
			c.t.Fatalf("%v: request %s not answered by %v, it is %s", c.now, req.id, due, req.state)
		}
	}
	if reservedKB > c.settings.MemoryKB {
		c.t.Fatalf("%v: %v KB reserved, want at most %v", c.now, reservedKB, c.settings.MemoryKB)
	}
	if limit := float64(c.settings.Cores) * c.settings.OverloadRatio; float64(inFlight) > limit {
		c.t.Fatalf("%v: %d requests in flight, want at most %v", c.now, inFlight, limit)
	}
}

// Durations of a random walk.
const (
	walkDuration = 20 * time.Second
	walkDrain    = 8 * time.Second // from the start of the drain to the end of the walk
	walkStopTime = 5 * time.Second // from the start of the drain to its end
)

// randomWalk sends a random but valid sequence of events and returns the actions. A larger
// stepsPerArrival makes arrivals rarer.
func randomWalk(t *testing.T, s decision.Settings, seed int64, stepsPerArrival int) []string {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	c := &invariantChecker{
		t: t, settings: s, attempts: map[string]*attempt{}, cachedUntil: map[string]time.Duration{},
	}
	in, err := New(s, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	in.Decide(0)
	for c.now < walkDuration {
		c.now += s.BatchInterval + time.Duration(rng.Int63n(int64(8*ms)))
		c.tick(in, rng)
		if !c.drained && c.now > walkDuration-walkDrain {
			c.drained, c.drainedAt, c.stopAt = true, c.now, c.now+walkStopTime
			in.Drain(c.now, c.stopAt)
		}
		if c.drained && c.now > c.stopAt {
			break
		}
		for n := rng.Intn(3); n > 0 && rng.Intn(stepsPerArrival) == 0; n-- {
			c.send(in, rng)
		}
		for _, req := range c.sent {
			c.sendNextEvent(in, req, rng)
		}
		in.Decide(c.now)
		c.check()
	}
	return c.actions
}

// tick sends the timers that are due.
func (c *invariantChecker) tick(in *Instance, rng *rand.Rand) {
	timers := c.timers
	c.timers = nil
	for _, at := range timers {
		if at > c.now {
			c.timers = append(c.timers, at)
			continue
		}
		in.Tick(c.now, 0, decision.Gauges{
			CoreUtilization: rng.Float64(), RunnableTasks: 8 * rng.Float64(),
			MemoryUtilization: 0.5, Connections: 9,
		})
	}
}

// send sends a random request. Half of the keyed requests are retries.
func (c *invariantChecker) send(in *Instance, rng *rand.Rand) {
	class := rng.Intn(len(c.settings.Classes))
	req := &attempt{
		id: fmt.Sprint(len(c.sent)), original: len(c.sent), class: c.settings.Classes[class],
		state: isQueued, readAt: c.now, reservedKB: 10 + 20*rng.Float64(),
		arrived: c.now - time.Duration(rng.Int63n(int64(20*ms))),
	}
	keyed := req.class.Idempotency == decision.Keyed
	if len(c.keyed) > 0 && keyed && rng.Intn(2) == 0 {
		c.makeRetry(req, c.keyed[rng.Intn(len(c.keyed))])
	}
	req.due = req.arrived + time.Duration(float64(req.class.Deadline)*(0.3+0.7*rng.Float64()))
	c.attempts[req.id], c.sent = req, append(c.sent, req)
	if keyed {
		c.keyed = append(c.keyed, req)
	}
	in.RequestReceived(c.now, decision.Request{
		ID: req.id, Class: class, Deadline: req.due, ReservedKB: req.reservedKB,
		ReadLag: c.now - req.arrived, DuplicateOf: req.duplicateOf, Rank: rng.Float64(),
	})
}

// makeRetry makes a request a retry of an earlier one, and sets duplicateOf as the key table
// does.
func (c *invariantChecker) makeRetry(req, earlier *attempt) {
	req.original = earlier.original
	for _, other := range c.sent {
		if other.original == earlier.original &&
			(other.readAt == c.now || c.cachedUntil[other.id] > req.arrived) {
			req.duplicateOf = other.id
		}
	}
}

// sendNextEvent sends the next event of a request, at random, if its state allows one.
func (c *invariantChecker) sendNextEvent(in *Instance, req *attempt, rng *rand.Rand) {
	outcome := decision.Succeeded
	if rng.Intn(8) == 0 {
		outcome = decision.Failed
	}
	if c.endState(in, req, rng, outcome) || req.answered || rng.Intn(2000) != 0 {
		return
	}
	req.answered = true
	if req.state == isQueued || req.state == isCoalesced {
		req.state = isFinished
	}
	in.RequestCancelled(c.now, req.id)
}

// endState sends the event that ends a request's state, at random. It reports whether the
// request gets no other event in this step.
func (c *invariantChecker) endState(
	in *Instance, req *attempt, rng *rand.Rand, outcome decision.Outcome,
) bool {
	switch req.state {
	case isFinished:
		return true
	case isPreempting:
		req.state = isPreempted
		if req.answered {
			req.state = isFinished
		}
		in.RunDone(c.now, req.id, decision.Cancelled, 0)
		return true
	case isRunning:
		return c.sendRunEvent(in, req, rng, outcome)
	case isAwaitingCall, isInCall:
		return c.sendCallEvent(in, req, rng)
	case isCoalesced:
		if rng.Intn(50) != 0 {
			return false
		}
		c.endRun(in, req, outcome)
		return true
	default:
		return false
	}
}

// sendRunEvent sends CallNeeded, RunDone or, most of the time, nothing for a running request.
// It reports whether it sent an event.
func (c *invariantChecker) sendRunEvent(
	in *Instance, req *attempt, rng *rand.Rand, outcome decision.Outcome,
) bool {
	if rng.Intn(60) == 0 && req.class.CallsDependency && !req.answered {
		req.state, req.mayHaveCalled = isAwaitingCall, false
		in.CallNeeded(c.now, req.id)
		return true
	}
	if rng.Intn(60) == 0 {
		c.endRun(in, req, outcome)
		return true
	}
	return false
}

// endRun ends a run or a coalesced request, which is thereby answered.
func (c *invariantChecker) endRun(in *Instance, req *attempt, outcome decision.Outcome) {
	req.state, req.answered = isFinished, true
	in.RunDone(c.now, req.id, outcome, 0)
}

// sendCallEvent ends the call of an answered request together with its run, and any other call
// at its time-out or at random.
func (c *invariantChecker) sendCallEvent(in *Instance, req *attempt, rng *rand.Rand) bool {
	switch {
	case req.answered:
		req.state = isFinished
		in.RunDone(c.now, req.id, decision.Cancelled, 0)
	case req.state == isInCall && c.now >= req.callEndsAt:
		req.state = isAwaitingCall
		in.CallDone(c.now, req.id, decision.TimedOut, c.now)
	case req.state == isInCall && rng.Intn(40) == 0:
		c.endCall(in, req, callOutcomes[rng.Intn(len(callOutcomes))])
	default:
		return false
	}
	return true
}

// callOutcomes are the outcomes of calls that don't time out. Half of the calls succeed.
var callOutcomes = []decision.Outcome{
	decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded,
	decision.Failed, decision.Rejected, decision.ConnectFailed, decision.ConnectionReset,
}

// endCall ends a call with an outcome. The request runs on after a success, and waits for the
// next attempt of the call otherwise.
func (c *invariantChecker) endCall(in *Instance, req *attempt, outcome decision.Outcome) {
	req.state = isAwaitingCall
	if outcome == decision.Succeeded {
		req.state = isRunning
	}
	if outcome == decision.Rejected || outcome == decision.ConnectFailed {
		req.mayHaveCalled = false
	}
	in.CallDone(c.now, req.id, outcome, 50*ms)
}

func TestInstance_RandomWalkKeepsInvariants(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*decision.Settings)
	}{
		{"defaults", func(*decision.Settings) {}},
		{"cold instance", func(s *decision.Settings) {
			s.CancelMode, s.LoadReportMode = decision.CancelDiscard, decision.LoadReportWeight
			s.SlowStart = true
		}},
		{"little memory", func(s *decision.Settings) {
			s.CancelMode, s.LoadReportMode, s.MemoryKB = decision.CancelPause, decision.LoadReportMinRank, 600
		}},
		{"next tier", func(s *decision.Settings) {
			s.Dependency, s.LoadReportMode = decision.NextTier, decision.LoadReportCredit
			s.Classes[0].DegradedWeight = 0.5
		}},
		{"tenants", func(s *decision.Settings) {
			s.Dependency = decision.NoDependency
			s.Tenants = []decision.Tenant{{Quota: 10}, {Quota: 500}}
			s.OverQuotaWeight = 0.1
		}},
		{"large fleet", func(s *decision.Settings) { s.CallQuota, s.Servers, s.Callers = 0.2, 3000, 1200 }},
		{"zero quota", func(s *decision.Settings) {
			s.CallQuota, s.Servers, s.Callers, s.CancelMode = 0, 1, 0, decision.CancelDiscard
		}},
	} {
		for seed := int64(1); seed <= 3; seed++ {
			s := testSettings()
			test.change(&s)
			stepsPerArrival := []int{1, 1, 100}[seed-1]
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				actions := randomWalk(t, s, seed, stepsPerArrival)
				host := &recordingHost{actions: actions}
				if host.count("run") == 0 || host.count("refuse") == 0 {
					t.Fatal("no request was run, or none was shed")
				}
				if !reflect.DeepEqual(actions, randomWalk(t, s, seed, stepsPerArrival)) {
					t.Fatal("a second walk with the same settings and seed gave different actions")
				}
			})
		}
	}
}
