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

// recorder is a Host that remembers the actions, one line each. The golden files hold
// hashes of these lines, so their words stay.
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

// count returns how many actions start with a prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, a := range r.acts {
		if a == prefix || strings.HasPrefix(a, prefix+" ") {
			n++
		}
	}
	return n
}

// settings returns settings with a class of each effect.
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

// start makes an instance that has decided on its first, empty batch.
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
