package dispatch

import (
	"fmt"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/randomsteps"
)

// maxWalkedRequests is the maximum number of requests in a walk.
const maxWalkedRequests = 60

// walkedRequest is the caller's view of a request.
type walkedRequest struct {
	key       string
	arrivedAt time.Time
	cancelled bool
}

// requestWalk applies random events of the callers, the backend and the dependency to one or
// two cores.
type requestWalk struct {
	*harness
	requests  map[string]*walkedRequest
	order     []string  // ids in the order of submission
	notice    uint64    // number of the latest call that was requested
	drainedAt time.Time // zero while not draining
}

// step applies one random event.
func (w *requestWalk) step(t *testing.T, s *randomsteps.Source) {
	id := fmt.Sprintf("r%d", s.Pick(len(w.order)+1))
	_, runs := w.running[id]
	switch s.Pick(8) {
	case 0, 1, 2:
		w.submitNext(t, s)
	case 3:
		if runs {
			w.completeRun(id, RunEnd(s.Pick(3)), "result of "+id)
		}
	case 4:
		w.cancelUnanswered(id, s)
	case 5:
		if runs {
			w.notice++
			w.forEachCore(func(c *Core) { c.CallRequested(id, w.notice, []byte("call")) })
		}
	case 6:
		if n := w.callInFlight[id]; n != 0 {
			delete(w.callInFlight, id)
			end := decision.Outcome(s.Pick(6))
			w.forEachCore(func(c *Core) { c.CallCompleted(id, n, end, []byte("reply")) })
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
	request := w.requests[id]
	if request == nil || len(w.answers[id]) > 0 {
		return
	}
	request.cancelled = true
	if s.Pick(2) == 0 {
		w.forEachCore(func(c *Core) { c.CancelRequest(id, responder{w.harness}) })
	} else {
		w.forEachCore(func(c *Core) { c.CallerDisconnected(id, responder{w.harness}) })
	}
}

func (w *requestWalk) maybeDrain(s *randomsteps.Source) {
	if s.Pick(40) == 0 && w.drainedAt.IsZero() {
		w.drainedAt = time.Now()
		w.forEachCore(func(c *Core) { c.Drain(w.drainedAt, w.drainedAt.Add(30*time.Second)) })
	}
}

// check checks the answers and runs of the whole walk against the platform's rules.
func (w *requestWalk) check(t *testing.T) {
	t.Helper()
	if len(w.earlyCalls) > 0 {
		t.Errorf("calls retried before the dependency had processed the abandonment: %v", w.earlyCalls)
	}
	ran := make(map[string]time.Time) // arrival of the latest attempt that ran, by key
	for _, id := range w.order {
		w.checkAnswer(t, id)
		if w.requests[id].key != "" {
			w.checkKey(t, id, ran)
		}
	}
}

// checkAnswer checks that a request got one answer in time, or at most one if it was cancelled,
// and did not run if it arrived after the grace of a drain.
func (w *requestWalk) checkAnswer(t *testing.T, id string) {
	t.Helper()
	request, answers := w.requests[id], w.answers[id]
	if len(answers) > 1 || len(answers) == 0 && !request.cancelled {
		t.Errorf("request %s: got %d answers, want 1, or at most 1 if cancelled", id, len(answers))
	}
	if late := w.answeredAt[id].Sub(request.arrivedAt.Add(testDeadline + testSlack)); late > 0 {
		t.Errorf("request %s: answered %v after the end of its deadline slack", id, late)
	}
	if w.starts[id] > 0 && !w.drainedAt.IsZero() && request.arrivedAt.After(w.drainedAt.Add(testGrace)) {
		t.Errorf("request %s: ran although it arrived after the grace", id)
	}
}

// checkKey checks that a key ran at most once in its window, and that no attempt that ran was shed.
func (w *requestWalk) checkKey(t *testing.T, id string, ran map[string]time.Time) {
	t.Helper()
	request, answers, starts := w.requests[id], w.answers[id], w.starts[id]
	if first, ok := ran[request.key]; ok && starts > 0 && request.arrivedAt.Before(first.Add(testWindow)) {
		t.Errorf("request %s: key %s ran again within its window", id, request.key)
	}
	if starts > 0 {
		ran[request.key] = request.arrivedAt
		if len(answers) == 1 && answers[0].Kind == Shed {
			t.Errorf("request %s: shed after it ran", id)
		}
	}
	if starts > 1 {
		t.Errorf("request %s: started %d times, want at most 1", id, starts)
	}
}

// FuzzCore applies random events to requests and then checks their answers and runs against
// the platform's rules.
func FuzzCore(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		w := &requestWalk{harness: newHarness(t), requests: make(map[string]*walkedRequest)}
		defer w.stop()
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
