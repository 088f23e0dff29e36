package dispatch

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/randomsteps"
)

// maxWalkedRequests bounds the requests of a walk.
const maxWalkedRequests = 60

// walkedRequest is a request of a walk, as its caller knows it.
type walkedRequest struct {
	key       string
	arrivedAt time.Time
	cancelled bool
}

// requestWalk plays the callers, backend and dependency of one or two cores in random
// order.
type requestWalk struct {
	*harness
	requests  map[string]*walkedRequest
	order     []string // ids
	notice    uint64   // number of the last call that was requested
	drainedAt time.Time
}

// step does one thing that a party may do.
func (w *requestWalk) step(t *testing.T, s *randomsteps.Source) {
	id := fmt.Sprintf("r%d", s.Pick(len(w.order)+1))
	_, runs := w.running[id]
	switch s.Pick(8) {
	case 0, 1, 2:
		w.submitNext(t, s)
	case 3:
		if runs {
			w.complete(id, RunEnd(s.Pick(3)), "result of "+id)
		}
	case 4:
		w.cancelUnanswered(id, s)
	case 5:
		if runs {
			w.notice++
			w.each(func(c *Core) { c.CallRequested(id, w.notice, []byte("call")) })
		}
	case 6:
		if n := w.callInFlight[id]; n != 0 {
			delete(w.callInFlight, id)
			end := decision.Outcome(s.Pick(6))
			w.each(func(c *Core) { c.CallCompleted(id, n, end, []byte("reply")) })
		}
	case 7:
		w.sleep(time.Duration(1+s.Pick(200)) * 10 * time.Millisecond)
		w.maybeDrain(s)
	}
	w.wait()
}

func (w *requestWalk) submitNext(t *testing.T, s *randomsteps.Source) {
	id := fmt.Sprintf("r%d", len(w.order))
	class, key := "read", ""
	if s.Pick(2) == 1 {
		class, key = "gift", fmt.Sprintf("k%d", s.Pick(3))
	}
	w.order, w.requests[id] = append(w.order, id), &walkedRequest{key: key, arrivedAt: time.Now()}
	core := w.Core
	if w.successor != nil && s.Pick(2) == 1 {
		core = w.successor
	}
	w.submitTo(t, core, id, class, key)
}

func (w *requestWalk) cancelUnanswered(id string, s *randomsteps.Source) {
	x := w.requests[id]
	if x == nil || len(w.answers[id]) > 0 {
		return
	}
	x.cancelled = true
	if s.Pick(2) == 0 {
		w.each(func(c *Core) { c.CancelRequest(id, responder{w.harness}) })
	} else {
		w.each(func(c *Core) { c.CallerDisconnected(id, responder{w.harness}) })
	}
}

func (w *requestWalk) maybeDrain(s *randomsteps.Source) {
	if s.Pick(40) == 0 && w.drainedAt.IsZero() {
		w.drainedAt = time.Now()
		w.each(func(c *Core) { c.Drain(w.drainedAt, w.drainedAt.Add(30*time.Second)) })
	}
}

// check judges the whole walk by the rules of the platform.
func (w *requestWalk) check(t *testing.T) {
	t.Helper()
	if len(w.earlyCalls) > 0 {
		t.Errorf("called again before it was taken in that the call was abandoned: %v", w.earlyCalls)
	}
	ran := make(map[string]time.Time) // arrival of the attempt that ran last, by key
	for _, id := range w.order {
		w.checkAnswer(t, id)
		if w.requests[id].key != "" {
			w.checkKey(t, id, ran)
		}
	}
}

// checkAnswer wants one answer in time, and no run of what came after the grace.
func (w *requestWalk) checkAnswer(t *testing.T, id string) {
	t.Helper()
	x, answers := w.requests[id], w.answers[id]
	if len(answers) > 1 || len(answers) == 0 && !x.cancelled {
		t.Errorf("%s: %d answers", id, len(answers))
	}
	if late := w.answeredAt[id].Sub(x.arrivedAt.Add(testDeadline + testSlack)); late > 0 {
		t.Errorf("%s: answered %v late", id, late)
	}
	if w.starts[id] > 0 && !w.drainedAt.IsZero() && x.arrivedAt.After(w.drainedAt.Add(testGrace)) {
		t.Errorf("%s: run though it came after the grace", id)
	}
}

// checkKey wants a key to run once in its window, and no attempt that ran to be shed.
func (w *requestWalk) checkKey(t *testing.T, id string, ran map[string]time.Time) {
	t.Helper()
	x, answers, starts := w.requests[id], w.answers[id], w.starts[id]
	if first, ok := ran[x.key]; ok && starts > 0 && x.arrivedAt.Before(first.Add(testWindow)) {
		t.Errorf("%s: key %s was run within its window", id, x.key)
	}
	if starts > 0 {
		ran[x.key] = x.arrivedAt
		if len(answers) == 1 && answers[0].Kind == Shed {
			t.Errorf("%s: shed after it was run", id)
		}
	}
	if starts > 1 {
		t.Errorf("%s: run %d times", id, starts)
	}
}

// FuzzCore walks requests through their life in random order, and then judges the whole
// by the rules.
func FuzzCore(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		w := &requestWalk{harness: newHarness(t), requests: make(map[string]*walkedRequest)}
		defer w.end()
		if s.Pick(2) == 1 {
			w.connectSuccessor(t)
		}
		for s.More() && len(w.order) < maxWalkedRequests {
			w.step(t, s)
		}
		w.sleep(testDeadline + time.Second)
		w.check(t)
	})
}
