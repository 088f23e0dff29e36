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

// recordingHost is a Host that records each action as a line. The golden files hold hashes of
// these lines, so their words must not change.
type recordingHost struct{ actions []string }

func (r *recordingHost) add(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, args...))
}

func (r *recordingHost) Run(id string)    { r.add("run %s", id) }
func (r *recordingHost) Cancel(id string) { r.add("halt %s", id) }
func (r *recordingHost) Shed(id string, retryAfter time.Duration, noRetryElsewhere bool) {
	r.add("refuse %s %v %v", id, retryAfter, noRetryElsewhere)
}
func (r *recordingHost) Fail(id string)                           { r.add("fail %s", id) }
func (r *recordingHost) Call(id string, d time.Duration)          { r.add("call %s %v", id, d) }
func (r *recordingHost) SkipCall(id string)                       { r.add("skip %s", id) }
func (r *recordingHost) CacheResult(id string, ttl time.Duration) { r.add("keep %s %v", id, ttl) }
func (r *recordingHost) EvictResult(id string)                    { r.add("forget %s", id) }
func (r *recordingHost) ServeCached(id string)                    { r.add("reuse %s", id) }
func (r *recordingHost) SetHealth(healthy, cached bool)           { r.add("health %v %v", healthy, cached) }
func (r *recordingHost) PublishLoad(value float64)                { r.add("say %.3f", value) }
func (r *recordingHost) SetIdleTimeout(d time.Duration)           { r.add("idle %v", d) }
func (r *recordingHost) SetTimer(d time.Duration, token int64)    { r.add("wake %v %d", d, token) }
func (r *recordingHost) Log(event decision.Event)                 { r.add("log %s", simwire.LogText(event)) }

// count returns the number of actions that consist of or start with the words of a prefix.
func (r *recordingHost) count(prefix string) int {
	n := 0
	for _, action := range r.actions {
		if action == prefix || strings.HasPrefix(action, prefix+" ") {
			n++
		}
	}
	return n
}

// testSettings returns settings with one class of each kind of idempotency.
func testSettings() decision.Settings {
	return decision.Settings{
		Classes: []decision.Class{
			{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1, CallsDependency: true},
			{
				LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 2,
				Idempotency: decision.Keyed, KeyWindow: 20 * time.Second,
			},
			{
				LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, Weight: 3,
				Idempotency: decision.NonIdempotent, CallsDependency: true,
			},
		},
		Servers: 10, Callers: 3, Cores: 2, MemoryKB: 1e5, KeyMemoryKB: 1, RunningMemoryFactor: 4,
		Dependency: decision.SharedDependency, CallQuota: 10, CallQuotaWindow: 5 * time.Second,
		AbandonedCallDuration: 200 * ms,
		MaxRetryAfter:         time.Second, MaxIdleTime: 20 * time.Second,
		DeadlineSlack: 80 * ms, DrainGrace: 2 * time.Second,
		OverloadRatio: 5, OverloadWindow: 2 * time.Second,
		SlowStartMinSpeed: 0.2, SlowStartDuration: 10 * time.Second, BatchInterval: 2 * ms,
	}
}

// startInstance returns an instance that has handled an empty first batch.
func startInstance(t *testing.T, s decision.Settings) (*Instance, *recordingHost) {
	t.Helper()
	host := &recordingHost{}
	in, err := New(s, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	in.Decide(0)
	return in, host
}
