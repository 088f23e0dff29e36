package policy

import (
	"strconv"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// instantHost is a Host that keeps what was asked for until the next step of a benchmark.
type instantHost struct {
	decision.Host // not set: actions that do not matter are overridden below
	runs, calls   []string
}

func (h *instantHost) Run(id string)                     { h.runs = append(h.runs, id) }
func (h *instantHost) Call(id string, _ time.Duration)   { h.calls = append(h.calls, id) }
func (h *instantHost) SkipCall(string)                   {}
func (h *instantHost) Cancel(string)                     {}
func (h *instantHost) Shed(string, time.Duration, bool)  {}
func (h *instantHost) Fail(string)                       {}
func (h *instantHost) CacheResult(string, time.Duration) {}
func (h *instantHost) EvictResult(string)                {}
func (h *instantHost) ServeCached(string)                {}
func (h *instantHost) SetHealth(bool, bool)              {}
func (h *instantHost) PublishLoad(float64)               {}
func (h *instantHost) SetIdleTimeout(time.Duration)      {}
func (h *instantHost) SetTimer(time.Duration, int64)     {}

// BenchmarkBatch decides on batches of ten requests of all classes, which run and call at
// once: one operation is one batch.
func BenchmarkBatch(b *testing.B) {
	h := &instantHost{}
	in, err := New(settings(), 1, h)
	if err != nil {
		b.Fatal(err)
	}
	const batch = 10
	ids := make([]string, 1000)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for n := range b.N {
		now += 10 * ms
		for k := range batch {
			id := ids[(n*batch+k)%len(ids)]
			in.RequestReceived(now, decision.Request{ID: id, Class: k % 3, Caller: k, ReservedKB: 1})
		}
		in.Decide(now)
		runs := h.runs
		h.runs = nil
		for i, id := range runs {
			if i%2 == 0 {
				in.CallNeeded(now, id)
			}
		}
		in.Decide(now)
		for _, id := range h.calls {
			in.CallDone(now+ms, id, decision.Succeeded, ms)
		}
		h.calls = h.calls[:0]
		for _, id := range append(runs, h.runs...) {
			in.RunDone(now+2*ms, id, decision.Succeeded, 2*ms)
		}
		h.runs = h.runs[:0]
		in.Tick(now+2*ms, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
		in.Decide(now + 2*ms)
	}
}

// BenchmarkSolve solves a sequence of time-outs from latencies of two modes.
func BenchmarkSolve(b *testing.B) {
	o := filledOptimizer(2*time.Second, 100*ms)
	b.ReportAllocs()
	for range b.N {
		o.solve()
	}
}
