package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// submitKeyed submits an attempt of the key k that arrived at a time.
func (h *harness) submitKeyed(t *testing.T, id string, arrivedAt time.Time) {
	t.Helper()
	h.mustSubmit(t, h.Core, Request{ID: id, Class: "gift", Key: "k", ArrivedAt: arrivedAt})
	h.wait()
}

// TestKeyWindow_RetriesAtItsEdges submits a retry around the edges of the key's window, which
// counts from the arrival of the attempt that ran. The retry runs only if it arrived after the
// window. A retry that arrived within it does not run, however late it is read.
func TestKeyWindow_RetriesAtItsEdges(t *testing.T) {
	for _, tc := range []struct {
		name         string
		arrivesAfter time.Duration // since the arrival of the first attempt
		readAfter    time.Duration // since its own arrival
		wantRun      bool
	}{
		{"arrives with the first attempt", 0, 0, false},
		{"arrives 1 ms before the end", testWindow - time.Millisecond, 0, false},
		{"arrives 1 ms before the end and is read late", testWindow - time.Millisecond, testDeadline - time.Millisecond, false},
		{"arrives after the window", testWindow + idempotency.WindowTolerance, 0, true},
		{"arrives long after the window", testWindow + idempotency.WindowTolerance + 2*testDeadline, testDeadline / 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, func(t *testing.T, h *harness) {
				first := time.Now()
				h.submitKeyed(t, "first", first)
				h.completeRun("first", RunSucceeded, "result")
				h.sleep(tc.arrivesAfter + tc.readAfter)
				h.submit(t, "other", "read", "") // causes a batch, which expires old entries
				h.submitKeyed(t, "retry", first.Add(tc.arrivesAfter))
				if ran := h.starts["retry"] == 1; ran != tc.wantRun {
					t.Errorf("retry runs = %t, want %t", ran, tc.wantRun)
				} else if !ran {
					h.wantAnswer(t, "retry", Served, "result")
				}
			})
		})
	}
}

// TestDuplicate_InOneBatchWithEndOfRun submits a retry in one batch with the end of the first
// run, before or after it: the retry gets the result and does not run.
func TestDuplicate_InOneBatchWithEndOfRun(t *testing.T) {
	for _, retryFirst := range []bool{true, false} {
		runTest(t, func(t *testing.T, h *harness) {
			h.submitKeyed(t, "first", time.Now())
			gate := make(chan struct{})
			h.runInLoop(h.Core, func() { <-gate }) // the following events form one batch
			complete := func() { h.RunCompleted("first", RunSucceeded, time.Second, Payload{Body: []byte("result")}) }
			if !retryFirst {
				complete()
			}
			h.mustSubmit(t, h.Core, Request{ID: "retry", Class: "gift", Key: "k"})
			if retryFirst {
				complete()
			}
			close(gate)
			h.wait()
			h.wantAnswer(t, "first", Served, "result")
			h.wantAnswer(t, "retry", Served, "result")
			if h.starts["retry"] != 0 {
				t.Errorf("retry first = %t: the retry started %d times, want 0", retryFirst, h.starts["retry"])
			}
		})
	}
}

// applySettingsBefore calls submit, and applies settings before the core receives the requests
// that submit has submitted.
func (h *harness) applySettingsBefore(t *testing.T, s decision.Settings, classes, tenants []string, submit func()) {
	t.Helper()
	gate, applied := make(chan struct{}), make(chan error, 1)
	h.runInLoop(h.Core, func() { <-gate })
	h.runInLoop(h.Core, func() { applied <- h.applySettings(s, classes, tenants) })
	submit()
	close(gate)
	h.wait()
	if err := <-applied; err != nil {
		t.Fatal(err)
	}
}

// TestUpdateSettings_BetweenSubmitAndReceipt changes the settings after requests were
// submitted and before they are received. The new settings apply to them, and a request of a
// removed class keeps its class. A request without a key is rejected if its class is now
// keyed.
func TestUpdateSettings_BetweenSubmitAndReceipt(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		next := settings()
		next.Classes = slices.Clone(next.Classes)
		next.Classes[0].Idempotency = decision.Keyed // read
		next.Classes[1].Deadline = time.Second       // pledge
		h.applySettingsBefore(t, next, []string{"read", "pledge", "receipt"}, nil, func() {
			for _, r := range []Request{{ID: "keyless", Class: "read"}, {ID: "keyed", Class: "read", Key: "a"}, {ID: "removed", Class: "gift", Key: "b"}} {
				h.mustSubmit(t, h.Core, r)
			}
		})
		h.wantAnswer(t, "keyless", Rejected, "")
		if h.starts["keyless"] != 0 || h.starts["keyed"] != 1 || h.starts["removed"] != 1 {
			t.Errorf("starts = %v, want keyed and removed once each", h.starts)
		}
		h.sleep(2 * time.Second)
		if len(h.answers["removed"]) > 0 {
			t.Errorf("request of the removed class got answers %v after 2 s, want none before its own deadline", h.answers["removed"])
		}
		h.completeRun("removed", RunSucceeded, "late")
		h.wantAnswer(t, "removed", Served, "late")
	})
}

// TestKeyTableFull_ShedsOnlyNewKeys submits requests while the key table is full: new keys are
// shed, and retries of keys that have run are not.
func TestKeyTableFull_ShedsOnlyNewKeys(t *testing.T) {
	change := func(o *Options) { o.MaxKeyTableBytes = idempotency.EntryOverheadBytes }
	runTestWith(t, change, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "a")
		h.submit(t, "b", "gift", "b")
		h.completeRun("a", RunFailed, "")
		h.completeRun("b", RunFailed, "")
		h.submit(t, "new", "gift", "c")
		h.wantAnswer(t, "new", Shed, "")
		h.submit(t, "retry", "gift", "a")
		h.wantAnswer(t, "retry", Failed, "")
	})
}

// TestCheckHealth_UnhealthyUntilBackendReady checks that health checks fail, and nothing is
// reported to the registrar, until the backend is ready. After an earlier drain notice, checks
// fail for good.
func TestCheckHealth_UnhealthyUntilBackendReady(t *testing.T) {
	for _, draining := range []bool{false, true} {
		runTest(t, func(t *testing.T, h *harness) {
			core, err := New(Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Backend: h, Registrar: h})
			if err != nil {
				t.Fatal(err)
			}
			h.accepting = nil
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go core.Run(ctx)
			health := func() (healthy bool) {
				must(t, core.CheckHealth(false, func(result bool) { healthy = result }))
				h.wait()
				return healthy
			}
			if health() || len(h.accepting) > 0 {
				t.Errorf("before the backend is ready: health check passed, or reports to the registrar = %v; want neither", h.accepting)
			}
			if draining {
				core.Drain(time.Now(), time.Now().Add(10*time.Second))
			}
			core.BackendReady(true, 0)
			h.wait()
			if health() == draining || slices.Contains(h.accepting, draining) {
				t.Errorf("draining = %t: health checks or reports to the registrar (%v) are %t, want %t", draining, h.accepting, draining, !draining)
			}
		})
	}
}
