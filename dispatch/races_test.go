package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// submitKeyed hands in an attempt of a key that arrived at a time.
func (h *harness) submitKeyed(t *testing.T, id string, arrivedAt time.Time) {
	t.Helper()
	h.mustSubmit(t, h.Core, Request{ID: id, Class: "gift", Key: "k", ArrivedAt: arrivedAt})
	h.wait()
}

// TestWindowEdges: a retry runs anew only if it arrived after the window of the run, which
// counts from the arrival of the attempt that ran. One that arrived in its last moment
// does not, however late it is read.
func TestWindowEdges(t *testing.T) {
	for _, x := range []struct {
		name     string
		arrives  time.Duration // after the first attempt
		readLate time.Duration // after that
		runs     bool
	}{
		{"at its start", 0, 0, false},
		{"in its last moment", testWindow - time.Millisecond, 0, false},
		{"read late", testWindow - time.Millisecond, testDeadline - time.Millisecond, false},
		{"after it", testWindow + idempotency.WindowTolerance, 0, true},
		{"long after it", testWindow + idempotency.WindowTolerance + 2*testDeadline, testDeadline / 2, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			runTest(t, func(t *testing.T, h *harness) {
				first := time.Now()
				h.submitKeyed(t, "first", first)
				h.complete("first", RunSucceeded, "result")
				h.sleep(x.arrives + x.readLate)
				h.submit(t, "other", "read", "") // a batch, in which old entries go
				h.submitKeyed(t, "repeat", first.Add(x.arrives))
				if ran := h.starts["repeat"] == 1; ran != x.runs {
					t.Errorf("it runs: %t, want %t", ran, x.runs)
				} else if !ran {
					h.wantAnswer(t, "repeat", Served, "result")
				}
			})
		})
	}
}

// TestRepeatCrossesAnswer: a retry that is received in one batch with the end of the first
// run, before it or after it, gets its result and does not run.
func TestRepeatCrossesAnswer(t *testing.T) {
	for _, before := range []bool{true, false} {
		runTest(t, func(t *testing.T, h *harness) {
			h.submitKeyed(t, "first", time.Now())
			gate := make(chan struct{})
			h.inLoop(h.Core, func() { <-gate }) // what comes now is one batch
			complete := func() { h.RunCompleted("first", RunSucceeded, time.Second, Payload{Body: []byte("result")}) }
			if !before {
				complete()
			}
			h.mustSubmit(t, h.Core, Request{ID: "repeat", Class: "gift", Key: "k"})
			if before {
				complete()
			}
			close(gate)
			h.wait()
			h.wantAnswer(t, "first", Served, "result")
			h.wantAnswer(t, "repeat", Served, "result")
			if h.starts["repeat"] != 0 {
				t.Error("it ran a second time")
			}
		})
	}
}

// applySettingsBefore has settings change between the Submit of requests and the batch that
// receives them.
func (h *harness) applySettingsBefore(t *testing.T, s decision.Settings, classes, tenants []string, read func()) {
	t.Helper()
	gate, applied := make(chan struct{}), make(chan error, 1)
	h.inLoop(h.Core, func() { <-gate })
	h.inLoop(h.Core, func() { applied <- h.applySettings(s, classes, tenants) })
	read()
	close(gate)
	h.wait()
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
}

// TestSettingsCrossRequest: requests that were handed in before the settings change come
// under the new ones, and keep their class where it was removed. A keyed class takes none
// without a key.
func TestSettingsCrossRequest(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		next := settings()
		next.Classes = slices.Clone(next.Classes)
		next.Classes[0].Idempotency = decision.Keyed // of read
		next.Classes[1].Deadline = time.Second       // of pledge
		h.applySettingsBefore(t, next, []string{"read", "pledge", "receipt"}, nil, func() {
			for _, r := range []Request{{ID: "keyless", Class: "read"}, {ID: "keyed", Class: "read", Key: "a"}, {ID: "dropped", Class: "gift", Key: "b"}} {
				h.mustSubmit(t, h.Core, r)
			}
		})
		h.wantAnswer(t, "keyless", Rejected, "")
		if h.starts["keyless"] != 0 || h.starts["keyed"] != 1 || h.starts["dropped"] != 1 {
			t.Errorf("runs %v", h.starts)
		}
		h.sleep(2 * time.Second)
		if len(h.answers["dropped"]) > 0 {
			t.Error("it comes under another class's deadline")
		}
		h.complete("dropped", RunSucceeded, "late")
		h.wantAnswer(t, "dropped", Served, "late")
	})
}

// TestFullTableKeepsRuns: with a full key table, new keys are shed, and retries of what has
// run are not.
func TestFullTableKeepsRuns(t *testing.T) {
	change := func(o *Options) { o.MaxKeyTableBytes = idempotency.EntryOverheadBytes }
	runTestWith(t, change, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "a")
		h.submit(t, "b", "gift", "b")
		h.complete("a", RunFailed, "")
		h.complete("b", RunFailed, "")
		h.submit(t, "new", "gift", "c")
		h.wantAnswer(t, "new", Shed, "")
		h.submit(t, "repeat", "gift", "a")
		h.wantAnswer(t, "repeat", Failed, "")
	})
}

// TestReadyOnlyWhenItCanServe: health is bad, and nothing is reported, until the
// backend is up; after a drain notice that comes before, it never becomes good.
func TestReadyOnlyWhenItCanServe(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		runTest(t, func(t *testing.T, h *harness) {
			core, err := New(Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Backend: h, Registrar: h})
			if err != nil {
				t.Fatal(err)
			}
			h.accepting = nil
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go core.Run(ctx)
			health := func() (good bool) {
				must(t, core.CheckHealth(false, func(on bool) { good = on }))
				h.wait()
				return good
			}
			if health() || len(h.accepting) > 0 {
				t.Errorf("before it can serve: good, or reported as %v", h.accepting)
			}
			if leaving {
				core.Drain(time.Now(), time.Now().Add(10*time.Second))
			}
			core.BackendReady(true, 0)
			h.wait()
			if health() == leaving || slices.Contains(h.accepting, leaving) {
				t.Errorf("leaving %t: reports %v", leaving, h.accepting)
			}
		})
	}
}
