package policy

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// contract is a Host that knows the four rules and reports what breaks one.
// It has no notion of cores or load.
type contract struct {
	recorder
	t         *testing.T
	s         decision.Settings
	now       time.Duration
	reqs      map[string]*tracked
	order     []*tracked
	entries   map[string]time.Duration // kept: id to expiry
	wakes     []time.Duration
	drainedAt time.Duration
	drained   bool
	stopAt    time.Duration
}

type tracked struct {
	id, prior    string
	who          int // the request of which this is a try
	class        decision.Class
	kb           float64
	arrived, due time.Duration
	read         time.Duration
	at           string // held, joined, running, pausing, paused, standing, calling or over
	answered     bool
	ran          bool
	callTill     time.Duration
	called       bool // a call was made that may have run
}

func (c *contract) get(id, action string) *tracked {
	q := c.reqs[id]
	if q == nil {
		c.t.Fatalf("%v: %s names %s, which was never read", c.now, action, id)
	}
	return q
}

func (c *contract) answer(q *tracked, action string) {
	if q.answered {
		c.t.Fatalf("%v: %s answers %s again", c.now, action, q.id)
	}
	q.answered = true
}

func (c *contract) Run(id string) {
	c.recorder.Run(id)
	q := c.get(id, "run")
	if q.at != "held" && q.at != "paused" || q.answered {
		c.t.Fatalf("%v: run of %s, which is %s", c.now, id, q.at)
	}
	if c.drained && q.arrived > c.drainedAt+c.s.DrainGrace {
		c.t.Fatalf("%v: %s run, which came after the grace", c.now, id)
	}
	for _, o := range c.order {
		if o != q && o.ran && o.who == q.who && q.class.Effect != decision.Idempotent &&
			(q.class.Effect == decision.NonIdempotent || q.arrived <= o.arrived+q.class.KeyWindow) {
			c.t.Fatalf("%v: %s and %s both run, tries of one request", c.now, o.id, id)
		}
	}
	q.at, q.ran = "running", true
}

func (c *contract) Shed(id string, away time.Duration, last bool) {
	c.recorder.Shed(id, away, last)
	q := c.get(id, "refuse")
	c.answer(q, "refuse")
	for _, o := range c.order {
		if o.ran && o.who == q.who && q.class.Effect != decision.Idempotent && (o == q || q.arrived <= o.arrived+q.class.KeyWindow) {
			c.t.Fatalf("%v: %s refused after a try of it ran", c.now, id)
		}
	}
	if q.at == "held" || q.at == "joined" || q.at == "paused" {
		q.at = "over"
	}
}

func (c *contract) Fail(id string) {
	c.recorder.Fail(id)
	q := c.get(id, "fail")
	c.answer(q, "fail")
	if q.at == "held" || q.at == "joined" || q.at == "paused" {
		q.at = "over"
	}
}

func (c *contract) Call(id string, d time.Duration) {
	c.recorder.Call(id, d)
	q := c.get(id, "call")
	if q.called && q.class.Effect != decision.Idempotent {
		c.t.Fatalf("%v: the call of %s is repeated", c.now, id)
	}
	if q.at == "standing" {
		q.at, q.called, q.callTill = "calling", true, c.now+d
	}
}

func (c *contract) SkipCall(id string) {
	c.recorder.SkipCall(id)
	q := c.get(id, "skip")
	if q.class.DegradedWeight == 0 {
		c.t.Fatalf("%v: the call of %s may not be left out", c.now, id)
	}
	q.at = "running"
}

func (c *contract) CacheResult(id string, ttl time.Duration) {
	c.recorder.CacheResult(id, ttl)
	c.entries[id] = c.now + ttl
}

func (c *contract) EvictResult(id string) {
	c.recorder.EvictResult(id)
	delete(c.entries, id)
}

func (c *contract) ServeCached(id string) {
	c.recorder.ServeCached(id)
	q := c.get(id, "reuse")
	if q.prior == "" {
		c.t.Fatalf("%v: reuse of %s, which repeats nothing", c.now, id)
	}
	q.at = "joined"
}

func (c *contract) Cancel(id string) {
	c.recorder.Cancel(id)
	if c.s.CancelMode == decision.CancelNever {
		c.t.Fatalf("%v: halt of %s, where work can't be stopped", c.now, id)
	}
	if q := c.get(id, "halt"); q.at == "running" && !q.answered {
		if c.s.CancelMode != decision.CancelPause {
			c.t.Fatalf("%v: what was done of %s is lost", c.now, id)
		}
		q.at = "pausing"
	}
}

func (c *contract) PublishLoad(v float64) {
	c.recorder.PublishLoad(v)
	if c.s.LoadReportMode == decision.LoadReportNone || v < 0 {
		c.t.Fatalf("%v: says %v", c.now, v)
	}
}

func (c *contract) SetTimer(d time.Duration, token int64) {
	c.recorder.SetTimer(d, token)
	c.wakes = append(c.wakes, c.now+d)
}

// check asserts what must hold after each batch.
func (c *contract) check() {
	kb := 0.0
	for id, till := range c.entries {
		if till <= c.now {
			delete(c.entries, id)
			continue
		}
		kb += c.s.KeyMemoryKB
	}
	inHand := 0
	for _, q := range c.order {
		switch q.at {
		case "held", "joined":
			kb += q.kb
		case "paused":
			kb += q.kb * c.s.RunningMemoryFactor
		case "running", "standing", "calling", "pausing":
			kb += q.kb * c.s.RunningMemoryFactor
			inHand++
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
	if limit := float64(c.s.Cores) * c.s.OverloadRatio; float64(inHand) > limit {
		c.t.Fatalf("%v: %d in hand, %v survive", c.now, inHand, limit)
	}
}

// walk plays a random but legal day and gives the actions. Requests come in one
// of so many steps: at a hundred, a couple a second.
func walk(t *testing.T, s decision.Settings, seed int64, thin int) []string {
	rng := rand.New(rand.NewSource(seed))
	c := &contract{t: t, s: s, reqs: map[string]*tracked{}, entries: map[string]time.Duration{}}
	in, err := New(s, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	in.Decide(0)
	const day = 20 * time.Second
	var sent []*tracked
	for c.now < day {
		c.now += s.BatchInterval + time.Duration(rng.Int63n(int64(8*ms)))
		due := c.wakes
		c.wakes = nil
		for _, w := range due {
			if w <= c.now {
				in.Tick(c.now, 0, decision.Gauges{CoreUtilization: rng.Float64(), RunnableTasks: 8 * rng.Float64(), MemoryUtilization: 0.5, Connections: 9})
			} else {
				c.wakes = append(c.wakes, w)
			}
		}
		if !c.drained && c.now > day-8*time.Second {
			c.drained, c.drainedAt, c.stopAt = true, c.now, c.now+5*time.Second
			in.Drain(c.now, c.stopAt)
		}
		if c.drained && c.now > c.stopAt {
			break
		}
		for n := rng.Intn(3); n > 0 && rng.Intn(thin) == 0; n-- {
			class := rng.Intn(len(s.Classes))
			q := &tracked{
				id: fmt.Sprint(len(c.order)), who: len(c.order), class: s.Classes[class], at: "held", read: c.now,
				kb: 10 + 20*rng.Float64(), arrived: c.now - time.Duration(rng.Int63n(int64(20*ms))),
			}
			if len(sent) > 0 && q.class.Effect == decision.Keyed && rng.Intn(2) == 0 {
				p := sent[rng.Intn(len(sent))]
				q.who = p.who
				for _, o := range c.order { // the link that the table gives
					if o.who == p.who && (o.read == c.now || c.entries[o.id] > q.arrived) {
						q.prior = o.id
					}
				}
			}
			q.due = q.arrived + time.Duration(float64(q.class.Deadline)*(0.3+0.7*rng.Float64()))
			c.reqs[q.id], c.order = q, append(c.order, q)
			if q.class.Effect == decision.Keyed {
				sent = append(sent, q)
			}
			in.RequestReceived(c.now, decision.Request{
				ID: q.id, Class: class, Deadline: q.due, ReservedKB: q.kb, Waited: c.now - q.arrived, DuplicateOf: q.prior,
				Rank: rng.Float64(),
			})
		}
		for _, q := range c.order {
			c.progress(in, q, rng)
		}
		in.Decide(c.now)
		c.check()
	}
	return c.acts
}

// progress lets the world go on with one request.
func (c *contract) progress(in *Instance, q *tracked, rng *rand.Rand) {
	outcome := decision.Succeeded
	if rng.Intn(8) == 0 {
		outcome = decision.Failed
	}
	switch {
	case q.at == "over":
	case q.at == "pausing":
		q.at = "paused"
		if q.answered {
			q.at = "over"
		}
		in.RunDone(c.now, q.id, decision.Cancelled, 0)
	case q.at == "running" && rng.Intn(60) == 0 && q.class.CallsDependency && !q.answered:
		q.at, q.called = "standing", false
		in.CallNeeded(c.now, q.id)
	case q.at == "running" && rng.Intn(60) == 0:
		q.at, q.answered = "over", true
		in.RunDone(c.now, q.id, outcome, 0)
	case (q.at == "standing" || q.at == "calling") && q.answered:
		q.at = "over"
		in.RunDone(c.now, q.id, decision.Cancelled, 0)
	case q.at == "calling" && c.now >= q.callTill:
		q.at = "standing"
		in.CallDone(c.now, q.id, decision.TimedOut, c.now)
	case q.at == "calling" && rng.Intn(40) == 0:
		outcome = []decision.Outcome{decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Succeeded, decision.Failed, decision.Rejected, decision.ConnectFailed, decision.ConnectionReset}[rng.Intn(8)]
		q.at = "standing"
		if outcome == decision.Succeeded {
			q.at = "running"
		}
		if outcome == decision.Rejected || outcome == decision.ConnectFailed {
			q.called = false
		}
		in.CallDone(c.now, q.id, outcome, 50*ms)
	case q.at == "joined" && rng.Intn(50) == 0:
		q.at, q.answered = "over", true
		in.RunDone(c.now, q.id, outcome, 0)
	case !q.answered && rng.Intn(2000) == 0:
		q.answered = true
		if q.at == "held" || q.at == "joined" {
			q.at = "over"
		}
		in.CallerGone(c.now, q.id)
	}
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
					t.Fatal("nothing was run, or nothing refused")
				}
				if !reflect.DeepEqual(acts, walk(t, s, seed, thin)) {
					t.Fatal("the same events and seed gave other actions")
				}
			})
		}
	}
}
