package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/simwire"
)

const ms = time.Millisecond

// recorder is a Host that remembers the actions, one line each.
type recorder struct{ acts []string }

func (r *recorder) add(format string, args ...any) {
	r.acts = append(r.acts, fmt.Sprintf(format, args...))
}

func (r *recorder) Run(id string)    { r.add("run %s", id) }
func (r *recorder) Cancel(id string) { r.add("halt %s", id) }
func (r *recorder) Shed(id string, away time.Duration, last bool) {
	r.add("refuse %s %v %v", id, away, last)
}
func (r *recorder) Fail(id string)                           { r.add("fail %s", id) }
func (r *recorder) Call(id string, d time.Duration)          { r.add("call %s %v", id, d) }
func (r *recorder) SkipCall(id string)                       { r.add("skip %s", id) }
func (r *recorder) CacheResult(id string, ttl time.Duration) { r.add("keep %s %v", id, ttl) }
func (r *recorder) EvictResult(id string)                    { r.add("forget %s", id) }
func (r *recorder) ServeCached(id string)                    { r.add("reuse %s", id) }
func (r *recorder) SetHealth(on, cached bool)                { r.add("health %v %v", on, cached) }
func (r *recorder) PublishLoad(v float64)                    { r.add("say %.3f", v) }
func (r *recorder) SetIdleTimeout(d time.Duration)           { r.add("idle %v", d) }
func (r *recorder) SetTimer(d time.Duration, token int64)    { r.add("wake %v %d", d, token) }
func (r *recorder) Log(event decision.Event)                 { r.add("log %s", simwire.LogText(event)) }

// count tells how many actions start with a prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, a := range r.acts {
		if a == prefix || strings.HasPrefix(a, prefix+" ") {
			n++
		}
	}
	return n
}

func settings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{
			{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1, CallsDependency: true},
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 2, Effect: decision.Keyed, KeyWindow: 20 * time.Second},
			{LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Weight: 3, Effect: decision.NonIdempotent, CallsDependency: true},
		},
		Servers: 10, Callers: 3, Cores: 2, MemoryKB: 1e5, KeyMemoryKB: 1, RunningMemoryFactor: 4,
		Dependency: decision.SharedDependency, CallQuota: 10, CallQuotaWindow: 5 * time.Second, AbandonedCallDuration: 200 * ms,
		MaxRetryAfter: time.Second, MaxIdleTime: 20 * time.Second, DeadlineSlack: 80 * ms, DrainGrace: 2 * time.Second,
		OverloadRatio: 5, OverloadWindow: 2 * time.Second, SlowStartMinSpeed: 0.2, SlowStartDuration: 10 * time.Second, BatchInterval: 2 * ms,
	}
}

func start(t *testing.T, s decision.Settings) (*Instance, *recorder) {
	t.Helper()
	r := &recorder{}
	in, err := New(s, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	in.Decide(0)
	return in, r
}

func TestNewNamesTheFieldThatMakesNoSense(t *testing.T) {
	for field, spoil := range map[string]func(*decision.Settings){
		"Cores":          func(s *decision.Settings) { s.Cores = 0 },
		"classes":        func(s *decision.Settings) { s.Classes = nil },
		"Classes[1].Aim": func(s *decision.Settings) { s.Classes[1].LatencyObjective = -1 },
		"Linger":         func(s *decision.Settings) { s.AbandonedCallDuration = -1 },
		"MemoryKB":       func(s *decision.Settings) { s.MemoryKB = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("spoiled %s: error %v does not name it", field, err)
		}
	}
}

func TestKeyedRunsOnceAndIsNeverRefusedAfterRunning(t *testing.T) {
	in, r := start(t, settings())
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1, DuplicateOf: "a"}) // in the same batch
	in.Decide(0)
	in.RunDone(500*ms, "a", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RequestReceived(time.Second, decision.Request{ID: "c", Class: 1, ReservedKB: 1, DuplicateOf: "a"})
	in.Decide(time.Second)
	if r.count("run") != 1 || r.count("reuse") != 2 || r.count("refuse") != 0 {
		t.Errorf("want one run, two reused, none refused; got %v", r.acts)
	}
}

// A call that ends because its request was failed stays below for a while
// and counts against the cap: the shared dependency fell over without it.
func TestCallOfFailedRequestLingers(t *testing.T) {
	s := settings()
	s.CallQuota = 1
	in, r := start(t, s)
	for _, id := range []string{"a", "b"} {
		in.RequestReceived(0, decision.Request{ID: id, Class: 0, ReservedKB: 1, Deadline: 8 * time.Second})
	}
	in.Decide(0)
	in.CallNeeded(ms, "a")
	in.Decide(ms)
	in.CallNeeded(2*ms, "b")
	in.RunDone(10*ms, "a", decision.Cancelled, 0)
	in.Decide(10 * ms)
	if r.count("call b") != 0 {
		t.Errorf("b called while the call of a lingers: %v", r.acts)
	}
	in.Decide(10*ms + s.AbandonedCallDuration)
	in.Decide(time.Second)
	if r.count("call b") != 1 {
		t.Errorf("b not called after the call of a left: %v", r.acts)
	}
}

// In overload late answers were the most of the waste: work whose late answer
// earns nothing ends at its aim, and its core is free for others.
func TestWorkThatEarnsNothingLateEndsAtItsAim(t *testing.T) {
	s := settings()
	s.CancelMode, s.Cores = decision.CancelPause, 3
	s.Classes[1].LateWeight = 0.2
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 0, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "b", Class: 1, ReservedKB: 1})
	in.RequestReceived(0, decision.Request{ID: "c", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.Decide(s.Classes[0].LatencyObjective)
	if r.count("refuse a") != 1 || r.count("halt a") != 1 {
		t.Errorf("safe work past its aim goes on: %v", r.acts)
	}
	if r.count("fail b")+r.count("halt b")+r.count("refuse b") != 0 {
		t.Errorf("work that still earns was stopped: %v", r.acts)
	}
	if r.count("refuse c") != 0 {
		t.Errorf("unsafe work refused after it ran: %v", r.acts)
	}
}

// A further try has used up part of its aim: it goes after first tries.
func TestFirstTriesGoBeforeFurtherTries(t *testing.T) {
	s := settings()
	s.Cores = 1
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "again", ReservedKB: 1, Retry: true})
	in.RequestReceived(0, decision.Request{ID: "first", ReservedKB: 1})
	in.Decide(0)
	if r.count("run first") != 1 || r.count("run again") != 0 {
		t.Errorf("want the first try to run alone: %v", r.acts)
	}
}

// When reads lag, all that is read is old. It runs on idle cores all the same,
// and callers hear of the lag: otherwise the instance would only read.
func TestLaggingReadsStillRunAndAreTold(t *testing.T) {
	s := settings()
	s.LoadReportMode = decision.LoadReportWeight
	in, r := start(t, s)
	now := 10 * time.Second
	for i := range 40 {
		now += 50 * ms
		in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 4, MemoryUtilization: -1, Connections: -1})
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), Class: 1, ReservedKB: 1, Waited: 1800 * ms})
		in.Decide(now)
	}
	if r.count("run") < s.Cores {
		t.Errorf("cores idle while reads lag: %v", r.acts)
	}
	if r.count("refuse") == 0 || in.load.published > 0.9 {
		t.Errorf("%d refused, weight said %v: the lag is not told", r.count("refuse"), in.load.published)
	}
}

// An answer shortly before the due time turned calls of the tier above into
// refusals that taught its Optimizer nothing: running work has all its time.
func TestRunningWorkIsAnsweredAfterItsDueTimeWithinTheSlack(t *testing.T) {
	s := settings()
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1, Deadline: 100 * ms})
	in.Decide(0)
	in.Decide(100*ms - 1)
	if r.count("fail a") != 0 {
		t.Fatalf("failed before its due time: %v", r.acts)
	}
	in.Decide(100*ms + s.DeadlineSlack/2)
	if r.count("fail a") != 1 {
		t.Errorf("lost: %v", r.acts)
	}
}

// Work that nobody can run again does not fail because a call was turned away
// unseen while the retry budget was empty.
func TestKeyedWaitsOutCallsThatWereTurnedAway(t *testing.T) {
	s := settings()
	s.Classes[1].CallsDependency = true
	in, r := start(t, s)
	in.retries.tokens = 0
	in.RequestReceived(0, decision.Request{ID: "a", Class: 1, ReservedKB: 1})
	in.Decide(0)
	in.CallNeeded(0, "a")
	in.Decide(0)
	in.CallDone(5*ms, "a", decision.Rejected, 5*ms)
	in.Decide(5 * ms)
	in.Decide(time.Second)
	if r.count("call a") != 2 || r.count("fail a") != 0 {
		t.Errorf("want a second call: %v", r.acts)
	}
	in.CallDone(1100*ms, "a", decision.TimedOut, 100*ms)
	in.Decide(2 * time.Second)
	if r.count("call a") != 2 || r.count("fail a") != 1 {
		t.Errorf("a call that may have run is repeated: %v", r.acts)
	}
}

// A server that fails fast looks idle and attracts work, one that hangs holds it
// until its callers give up. Both are well again soon after the cause ends.
func TestOwnFailuresAndHangsFailTheHealthCheckAndRecover(t *testing.T) {
	for name, serveBadly := range map[string]func(in *Instance, now time.Duration, id string){
		"fails fast": func(in *Instance, now time.Duration, id string) { in.RunDone(now, id, decision.Failed, 10*ms) },
		"hangs":      func(*Instance, time.Duration, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			in, r := start(t, settings())
			now := time.Duration(0)
			serve := func(id string, end func(*Instance, time.Duration, string)) {
				in.RequestReceived(now, decision.Request{ID: id, ReservedKB: 1, Deadline: now + 150*ms})
				in.Decide(now)
				now += 200 * ms
				end(in, now, id)
				in.Tick(now, 0, decision.Gauges{RunnableTasks: 1})
				in.Decide(now)
				in.RunDone(now, id, decision.Succeeded, 0) // what hung ends unheard
			}
			for i := range 20 {
				serve(fmt.Sprint("bad", i), serveBadly)
			}
			if in.health.healthy || r.count("health false") != 1 {
				t.Fatalf("well %v, share %v: %v", in.health.healthy, in.health.errorRate, r.acts)
			}
			for i := range 40 {
				serve(fmt.Sprint("good", i), func(in *Instance, now time.Duration, id string) {
					in.RunDone(now, id, decision.Succeeded, 100*ms)
				})
			}
			if !in.health.healthy || r.count("health true") != 2 {
				t.Errorf("no recovery: share %v", in.health.errorRate)
			}
		})
	}
}

// Health was set by each own trouble on its own: one that cleared reported good
// while the other went on.
func TestHealthStaysBadUntilTheLastOwnTroubleEnds(t *testing.T) {
	in, r := start(t, settings())
	tick := func(now time.Duration) {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	in.health.errorRate, in.health.readLag = 1, 5
	tick(time.Second)
	if r.count("health false") != 1 {
		t.Fatalf("not unhealthy: %v", r.acts)
	}
	in.health.errorRate = 0
	tick(time.Second + in.timerInterval)
	if r.count("health true") != 1 { // that of the start
		t.Errorf("good while reads still lag: %v", r.acts)
	}
	for now := 2 * time.Second; now < 8*time.Second; now += in.timerInterval {
		tick(now)
	}
	if r.count("health true") != 2 {
		t.Errorf("no recovery once both are over: %v", r.acts)
	}
}

// Reads that lag by much of an aim make all that is read useless. The list is
// what all callers hear: advice reaches only those that were just answered.
func TestLaggingReadsFailTheHealthCheck(t *testing.T) {
	in, r := start(t, settings())
	for i := range 40 {
		now := time.Duration(i+1) * 50 * ms
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1, Waited: 3 * time.Second})
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if r.count("health false") == 0 {
		t.Errorf("reads 3 s late and health good: %v", r.acts)
	}
}

// A table of idle connections costs cores and is full long before a thousand
// callers come back; a few callers reuse theirs.
func TestIdleConnectionsAreKeptOnlyForCallersThatComeBack(t *testing.T) {
	for callers, want := range map[int]string{3: "", 1000: "idle 10ms"} {
		s := settings()
		s.Callers = callers
		in, r := start(t, s)
		for i := range 50 {
			now := time.Duration(i+1) * 200 * ms
			in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
			in.Tick(now, 0, decision.Gauges{})
			in.Decide(now)
		}
		last := ""
		for _, a := range r.acts {
			if strings.HasPrefix(a, "idle") {
				last = a
			}
		}
		if last != want {
			t.Errorf("%d callers: %q, want %q", callers, last, want)
		}
	}
}

// Runs and reads share the cores: while reads lag, fewer run, or all that is
// read stays late. Once reads are prompt the cores are filled again.
func TestFewerRunWhileReadsLag(t *testing.T) {
	in, r := start(t, settings())
	in.health.readLag = 5
	for i := range 4 {
		in.RequestReceived(0, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
	}
	in.health.readLag = 5
	in.Decide(0)
	if r.count("run") != 1 {
		t.Fatalf("%d run while reads are 5 s late", r.count("run"))
	}
	in.health.readLag = 0
	in.Decide(ms)
	if r.count("run") != in.settings.Cores {
		t.Errorf("%d run after reads have caught up", r.count("run"))
	}
}

// With few arrivals for each server chance alone goes well over an even part of
// a quota; a tenant that sends several times its share is still found.
func TestTenantIsJudgedByWhatTheCountSupports(t *testing.T) {
	s := settings()
	s.Servers, s.Tenants, s.OverQuotaWeight = 300, []decision.Tenant{{Quota: 120}, {Quota: 120}}, 0.1
	in, _ := start(t, s)
	in.tenantArrivals[0], in.tenantArrivals[1] = 3, 9 // 2 are expected
	if got := in.tenantWeight(0); got != 1 {
		t.Errorf("share %v for one arrival more than expected", got)
	}
	if got := in.tenantWeight(1); got > 0.5 {
		t.Errorf("share %v at more than four times the quota", got)
	}
}

// An instance out of the list gets no work that could show it is well: the
// memory of its failures fades by itself.
func TestOwnFailuresAreForgottenWithoutWork(t *testing.T) {
	in, r := start(t, settings())
	in.health.errorRate = 1
	for now := in.timerInterval; now < 2*errorRateTimeConstant; now += in.timerInterval {
		in.Tick(now, 0, decision.Gauges{})
		in.Decide(now)
	}
	if r.count("health false") != 1 || !in.health.healthy {
		t.Errorf("well %v after %v without work: %v", in.health.healthy, 2*errorRateTimeConstant, in.health.errorRate)
	}
}

// With two cores a long run of little worth held up the work that is worth most
// until that was cut at its aim. It makes way, keeps what was done, and is taken
// up again; work of like worth makes no way for each other.
func TestRunOfLittleWorthMakesWayAndIsTakenUpAgain(t *testing.T) {
	s := settings()
	s.Cores, s.CancelMode = 1, decision.CancelPause
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 1})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 1})
	in.Decide(0)
	in.RunDone(ms, "low", decision.Cancelled, ms)
	in.RequestReceived(ms, decision.Request{ID: "same", Class: 2, ReservedKB: 1})
	in.Decide(ms)
	if r.count("halt low") != 1 || r.count("run high") != 1 || r.count("run same")+r.count("halt high") != 0 {
		t.Fatalf("want low paused for high alone: %v", r.acts)
	}
	in.RunDone(500*ms, "high", decision.Succeeded, 500*ms)
	in.Decide(500 * ms)
	in.RunDone(900*ms, "same", decision.Succeeded, 400*ms)
	in.Decide(900 * ms)
	if r.count("run low") != 2 || r.count("fail low")+r.count("refuse low") != 0 {
		t.Errorf("what was paused is not taken up again: %v", r.acts)
	}
}

// A server ten times slower than its peers held work for half of its aim, wished
// it not tried elsewhere, and ended nothing in time. It knows by its runs, before
// one of them ends, and takes work again once they are quick.
func TestSlowInstanceSendsWorkOnAtOnceAndRecovers(t *testing.T) {
	s := settings()
	s.Cores = 1
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "slow", ReservedKB: 1})
	in.Decide(0)
	now := 1900 * ms
	in.Tick(now, 0, decision.Gauges{CoreUtilization: 1, RunnableTasks: 1})
	in.load.pressure = 1
	in.RequestReceived(now, decision.Request{ID: "new", ReservedKB: 1, Waited: 150 * ms})
	in.Decide(now)
	if r.count("refuse new") != 1 || strings.HasSuffix(r.acts[len(r.acts)-1], "true") {
		t.Fatalf("want new sent on at once, free to be tried elsewhere: %v", r.acts)
	}
	in.RunDone(now, "slow", decision.Succeeded, now)
	in.load.pressure = 0
	for i := range 40 {
		in.RequestReceived(now, decision.Request{ID: fmt.Sprint(i), ReservedKB: 1})
		in.Decide(now)
		now += 50 * ms
		in.RunDone(now, fmt.Sprint(i), decision.Succeeded, 50*ms)
	}
	if p := in.maxQueueWait(&request{class: &s.Classes[0], dueAt: time.Hour}); p != time.Second {
		t.Errorf("patience %v after quick runs, want half of the aim", p)
	}
}

// A run was paused for work that then could not start for want of memory: the core
// stood idle for nothing, and the next in line paused another.
func TestNothingMakesWayForWorkThatCannotStart(t *testing.T) {
	s := settings()
	s.Cores, s.CancelMode, s.MemoryKB = 1, decision.CancelPause, 100
	in, r := start(t, s)
	in.RequestReceived(0, decision.Request{ID: "low", ReservedKB: 5})
	in.Decide(0)
	in.RequestReceived(0, decision.Request{ID: "high", Class: 2, ReservedKB: 30})
	in.Decide(0)
	if r.count("run low") != 1 || r.count("halt")+r.count("run high") != 0 {
		t.Errorf("want low to go on while high has no room: %v", r.acts)
	}
	in.RunDone(ms, "low", decision.Succeeded, ms)
	in.RequestReceived(ms, decision.Request{ID: "small", ReservedKB: 1})
	in.Decide(ms)
	if r.count("run small") != 1 {
		t.Errorf("work that has room does not run: %v", r.acts)
	}
}
