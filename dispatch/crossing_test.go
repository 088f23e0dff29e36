package dispatch

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/idempotency"
)

// try is a keyed try with a door of its own.
func (p *party) try(t *testing.T, id string, door time.Time) {
	t.Helper()
	err := p.Submit(Request{ID: id, Class: "gift", Key: "k", ArrivedAt: door, ReservedKB: 20, Responder: sink{p}})
	if err != nil {
		t.Fatal(err)
	}
	p.wait()
}

// TestWindowEdges: a repeat runs anew only if it came after the window of the run,
// counted from the door of the try that ran. One that came in its last moment does
// not, however late it is read.
func TestWindowEdges(t *testing.T) {
	for _, x := range []struct {
		name     string
		came     time.Duration // after the door of the first
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
			bubble(t, func(t *testing.T, p *party) {
				first := time.Now()
				p.try(t, "first", first)
				p.complete("first", RunSucceeded, "result")
				p.sleep(x.came + x.readLate)
				p.submit(t, "other", "read", "") // a batch, in which old entries go
				p.try(t, "repeat", first.Add(x.came))
				if ran := p.runs["repeat"] == 1; ran != x.runs {
					t.Errorf("it runs: %t, want %t", ran, x.runs)
				} else if !ran {
					p.wantAnswer(t, "repeat", Served, "result")
				}
			})
		})
	}
}

// TestRepeatCrossesAnswer: a repeat that is taken in with the end of the first run
// in one batch, before it or after it, gets its result and does not run.
func TestRepeatCrossesAnswer(t *testing.T) {
	for _, before := range []bool{true, false} {
		bubble(t, func(t *testing.T, p *party) {
			p.try(t, "first", time.Now())
			gate := make(chan struct{})
			p.inLoop(p.Core, func() { <-gate }) // what comes now is one batch
			complete := func() { p.Core.RunCompleted("first", RunSucceeded, time.Second, Payload{Body: []byte("result")}) }
			if !before {
				complete()
			}
			if err := p.Submit(Request{ID: "repeat", Class: "gift", Key: "k", ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}}); err != nil {
				t.Fatal(err)
			}
			if before {
				complete()
			}
			close(gate)
			p.wait()
			p.wantAnswer(t, "first", Served, "result")
			p.wantAnswer(t, "repeat", Served, "result")
			if p.runs["repeat"] != 0 {
				t.Error("it ran a second time")
			}
		})
	}
}

// overtaken has new settings come between the reading of requests and their taking
// in: in one batch, and first.
func (p *party) overtaken(t *testing.T, s decision.Settings, classes, tenants []string, read func()) {
	t.Helper()
	gate, retuned := make(chan struct{}), make(chan error, 1)
	p.inLoop(p.Core, func() { <-gate })
	p.inLoop(p.Core, func() { retuned <- p.Core.applySettings(s, classes, tenants) })
	read()
	close(gate)
	p.wait()
	if err := <-retuned; err != nil {
		t.Fatal(err)
	}
}

// TestSettingsCrossRequest: requests that were handed in under settings which new
// ones overtake come under these, and keep to their old class where it is gone. No
// class that must run once takes one without a key.
func TestSettingsCrossRequest(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		next := settings()
		next.Classes = slices.Clone(next.Classes)
		next.Classes[0].Effect = decision.Keyed // of read
		next.Classes[1].Deadline = time.Second  // of pledge
		p.overtaken(t, next, []string{"read", "pledge", "receipt"}, nil, func() {
			for _, r := range []Request{{ID: "keyless", Class: "read"}, {ID: "keyed", Class: "read", Key: "a"}, {ID: "dropped", Class: "gift", Key: "b"}} {
				r.ArrivedAt, r.ReservedKB, r.Responder = time.Now(), 20, sink{p}
				if err := p.Submit(r); err != nil {
					t.Fatal(err)
				}
			}
		})
		p.wantAnswer(t, "keyless", Rejected, "")
		if p.runs["keyless"] != 0 || p.runs["keyed"] != 1 || p.runs["dropped"] != 1 {
			t.Errorf("runs %v", p.runs)
		}
		p.sleep(2 * time.Second)
		if len(p.answers["dropped"]) > 0 {
			t.Error("it comes under another class's deadline")
		}
		p.complete("dropped", RunSucceeded, "late")
		p.wantAnswer(t, "dropped", Served, "late")
	})
}

// TestFullTableKeepsRuns: a table of keys without room turns away new keys, and no
// repeat of what has run.
func TestFullTableKeepsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, func(o *Options) { o.MaxKeyTableBytes = idempotency.EntryOverheadBytes })
		defer p.end()
		p.submit(t, "a", "gift", "a")
		p.submit(t, "b", "gift", "b")
		p.complete("a", RunFailed, "")
		p.complete("b", RunFailed, "")
		p.submit(t, "new", "gift", "c")
		p.wantAnswer(t, "new", Shed, "")
		p.submit(t, "repeat", "gift", "a")
		p.wantAnswer(t, "repeat", Failed, "")
	})
}

// TestReadyOnlyWhenItCanServe: health is bad, and nothing is reported, until the
// backend is up; a notice to leave that comes before is never followed by a good word.
func TestReadyOnlyWhenItCanServe(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newParty(t)
			defer p.end()
			core, err := New(Options{Settings: settings(), Classes: []string{"read", "gift", "receipt"}, Backend: p, Registrar: p})
			if err != nil {
				t.Fatal(err)
			}
			p.present = nil
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go core.Run(ctx)
			health := func() (good bool) {
				core.CheckHealth(false, func(on bool) { good = on })
				p.wait()
				return good
			}
			if health() || len(p.present) > 0 {
				t.Errorf("before it can serve: good, or reported as %v", p.present)
			}
			if leaving {
				core.Drain(time.Now(), time.Now().Add(10*time.Second))
			}
			core.BackendReady(true, 0)
			p.wait()
			if health() == leaving || slices.Contains(p.present, leaving) {
				t.Errorf("leaving %t: reports %v", leaving, p.present)
			}
		})
	}
}
