package policy

import (
	"strconv"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// collectingHost is a Host that collects runs and calls for the next step of a benchmark.
type collectingHost struct {
	decision.Host // nil; only the methods below are used
	runs, calls   []string
}

func (h *collectingHost) Run(id string)                     { h.runs = append(h.runs, id) }
func (h *collectingHost) Call(id string, _ time.Duration)   { h.calls = append(h.calls, id) }
func (h *collectingHost) SkipCall(string)                   {}
func (h *collectingHost) Cancel(string)                     {}
func (h *collectingHost) Shed(string, time.Duration, bool)  {}
func (h *collectingHost) Fail(string)                       {}
func (h *collectingHost) CacheResult(string, time.Duration) {}
func (h *collectingHost) EvictResult(string)                {}
func (h *collectingHost) ServeCached(string)                {}
func (h *collectingHost) SetHealth(bool, bool)              {}
func (h *collectingHost) PublishLoad(float64)               {}
func (h *collectingHost) SetIdleTimeout(time.Duration)      {}
func (h *collectingHost) SetTimer(time.Duration, int64)     {}

// BenchmarkBatch decides on batches of ten requests of all classes, which run and call at
// once. One operation is one batch.
func BenchmarkBatch(b *testing.B) {
	host := &collectingHost{}
	in, err := New(testSettings(), 1, host)
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
		runs := host.runs
		host.runs = nil
		for i, id := range runs {
			if i%2 == 0 {
				in.CallNeeded(now, id)
			}
		}
		in.Decide(now)
		for _, id := range host.calls {
			in.CallDone(now+ms, id, decision.Succeeded, ms)
		}
		host.calls = host.calls[:0]
		for _, id := range append(runs, host.runs...) {
			in.RunDone(now+2*ms, id, decision.Succeeded, 2*ms)
		}
		host.runs = host.runs[:0]
		in.Tick(now+2*ms, 0, decision.Gauges{CoreUtilization: 0.5, RunnableTasks: 1})
		in.Decide(now + 2*ms)
	}
}

// BenchmarkSolve computes a sequence of time-outs from a bimodal latency distribution.
func BenchmarkSolve(b *testing.B) {
	o := filledOptimizer(2*time.Second, 100*ms)
	b.ReportAllocs()
	for range b.N {
		o.solve()
	}
}
