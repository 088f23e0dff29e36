package dispatch

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/internal/randomsteps"
)

// checkTransitions has a core's attempts fail the test where they leave the table of
// transitions, or where a state contradicts the facts beside it.
func checkTransitions(t *testing.T, c *Core) {
	c.onTransition = func(a *attempt, from, to attemptState) {
		if !transitions[from].has(to) {
			t.Errorf("%s: %s follows %s", a.ID, to, from)
		}
		if to == stateFinished && (!a.answered || a.holdsPoolSlot) {
			t.Errorf("%s: finished after %s, answered %t, holds a pool slot %t", a.ID, from, a.answered, a.holdsPoolSlot)
		}
		if a.state != to || from == to {
			t.Errorf("%s: %s after a transition from %s to %s", a.ID, a.state, from, to)
		}
	}
}

// checkAttempts compares the states of all attempts of a core with the facts beside them.
func (h *harness) checkAttempts(t *testing.T, c *Core) {
	t.Helper()
	h.inLoop(c, func() {
		for id, a := range c.attempts {
			inProgress := a.state == stateRunning || a.state == stateCancelling
			switch {
			case a.ID != id || a.state == stateReceived || a.state == stateFinished || a.state == stateStartDenied:
				t.Errorf("%s: %s between two batches", id, a.state)
			case a.answered && !a.state.started():
				t.Errorf("%s: answered, and still %s", id, a.state)
			case inProgress && !a.mayHaveRun, a.resumed && a.state != stateAwaitingPoolSlot:
				t.Errorf("%s: %s, may have run %t, resumed %t", id, a.state, a.mayHaveRun, a.resumed)
			case a.holdsPoolSlot != (inProgress && c.pools != nil):
				t.Errorf("%s: %s, holds a pool slot: %t", id, a.state, a.holdsPoolSlot)
			}
		}
	})
	h.wait()
}

// slowPredecessor is a peer that leaves claims for the test to decide.
type slowPredecessor struct {
	mu     sync.Mutex
	claims []string // ids of attempts
}

// ReplicateKey implements Peer.
func (*slowPredecessor) ReplicateKey(KeyState) {}

// RequestClaim implements Peer.
func (s *slowPredecessor) RequestClaim(k KeyState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims = append(s.claims, k.RanAttemptID)
}

// DecideClaim implements Peer.
func (*slowPredecessor) DecideClaim(string, bool) {}

// EndKeyBatch implements Peer.
func (*slowPredecessor) EndKeyBatch(bool) {}

// SetTrafficDisabled implements Peer.
func (*slowPredecessor) SetTrafficDisabled(bool) {}

// next gives a claim that is not decided yet; "" where there is none.
func (s *slowPredecessor) next() (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.claims) > 0 {
		id, s.claims = s.claims[0], s.claims[1:]
	}
	return id
}

// stateWalk plays all that can happen to attempts, in random order, to a core with some
// of the parts that a start may have to wait for.
type stateWalk struct {
	*harness
	journal     *journal // nil for none
	predecessor *slowPredecessor
	inForce     decision.Settings
	submitted   int
	draining    bool
}

func newStateWalk(t *testing.T, s *randomsteps.Source) *stateWalk {
	w := &stateWalk{}
	withJournal, withPools, withPause, withPeer := s.Pick(2) == 1, s.Pick(2) == 1, s.Pick(2) == 1, s.Pick(2) == 1
	w.harness = newHarnessWith(t, func(o *Options) {
		o.Settings.Classes = append([]decision.Class(nil), o.Settings.Classes...)
		o.Settings.Classes[2].Weight = 10 // so that it displaces others
		if withPools {
			o.Pools, o.Settings.Cores = &PoolOptions{InitialLimit: 1}, 8
		}
		if withPause {
			o.Settings.CancelMode, o.Settings.Cores = decision.CancelPause, o.Settings.Cores/2
		}
		if withJournal {
			w.journal = &journal{}
			o.Journal = w.journal
		}
		w.inForce = o.Settings
	})
	if withPeer {
		w.predecessor = &slowPredecessor{}
		must(t, w.ConnectPeer(w.predecessor, true))
	}
	return w
}

// step does one thing that a caller, a backend or another party may do.
func (w *stateWalk) step(t *testing.T, s *randomsteps.Source) {
	id := fmt.Sprint("r", s.Pick(w.submitted+1))
	_, runs := w.running[id]
	switch s.Pick(10) {
	case 0, 1, 2, 3:
		w.submitNext(t, s)
	case 4:
		if runs {
			w.complete(id, RunEnd(s.Pick(4)), "result of "+id)
		}
	case 5:
		if s.Pick(2) == 0 {
			w.CancelRequest(id, responder{w.harness})
		} else {
			w.CallerDisconnected(id, responder{w.harness})
		}
	case 6:
		w.settleJournal(s)
	case 7:
		w.decideClaim(s)
	case 8:
		w.sleep(time.Duration(1+s.Pick(40)) * 2 * time.Millisecond)
	case 9:
		w.disturb(t, s)
	}
	w.wait()
}

func (w *stateWalk) submitNext(t *testing.T, s *randomsteps.Source) {
	class, key := "read", ""
	if n := s.Pick(3); n > 0 {
		class, key = pickKey(s)
	}
	id := fmt.Sprint("r", w.submitted)
	w.submitted++
	arrivedAt := time.Now().Add(-time.Duration(s.Pick(8)) * time.Second)
	w.mustSubmit(t, w.Core, Request{ID: id, Class: class, Key: key, ArrivedAt: arrivedAt})
}

func pickKey(s *randomsteps.Source) (class, key string) {
	class = [...]string{"gift", "receipt"}[s.Pick(2)]
	return class, fmt.Sprint(class, s.Pick(12))
}

func (w *stateWalk) settleJournal(s *randomsteps.Source) {
	if w.journal == nil {
		return
	}
	var err error
	if s.Pick(4) == 0 {
		err = errors.New("full")
	}
	w.journal.settle(err)
}

func (w *stateWalk) decideClaim(s *randomsteps.Source) {
	if w.predecessor == nil {
		return
	}
	if id := w.predecessor.next(); id != "" {
		w.ClaimDecided(w.predecessor, id, s.Pick(3) > 0)
	}
}

// runInPeer has a predecessor run a key, or end its run.
func (w *stateWalk) runInPeer(s *randomsteps.Source) {
	if w.predecessor == nil {
		return
	}
	class, key := pickKey(s)
	w.ApplyKey(w.predecessor, KeyState{
		Key: key, Class: class, BodyHash: hashBody(nil), RanAttemptID: "predecessor's " + key,
		ExpiresAt: time.Now().Add(testWindow), Completed: s.Pick(2) == 0,
	})
}

// changeCancelMode changes what becomes of runs that are cancelled.
func (w *stateWalk) changeCancelMode(t *testing.T) {
	if w.inForce.CancelMode == decision.CancelPause {
		w.inForce.CancelMode = decision.CancelDiscard
	} else {
		w.inForce.CancelMode = decision.CancelPause
	}
	must(t, w.updateSettings(w.inForce, "read", "gift", "receipt"))
}

// disturb does what seldom happens: the peer goes or comes or runs a key, the process
// stands still or is to drain, the settings change.
func (w *stateWalk) disturb(t *testing.T, s *randomsteps.Source) {
	switch s.Pick(9) {
	case 0:
		if w.predecessor != nil {
			w.PeerDisconnected(w.predecessor)
			w.predecessor = nil
		}
	case 1, 2:
		if w.predecessor == nil {
			w.predecessor = &slowPredecessor{}
			must(t, w.ConnectPeer(w.predecessor, true))
		}
	case 3, 4:
		w.standStill()
	case 5:
		if !w.draining && s.Pick(2) == 0 {
			w.draining = true
			notice := time.Now().Add(-time.Duration(s.Pick(4)) * time.Second)
			w.Drain(notice, time.Now().Add(30*time.Second))
		}
	case 6, 7:
		w.runInPeer(s)
	case 8:
		w.changeCancelMode(t)
	}
}

// FuzzAttemptStates walks attempts through their states by random steps: each transition
// is one of the table, the facts beside the state agree with it, and in the end no attempt
// is left.
func FuzzAttemptStates(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		w := newStateWalk(t, s)
		defer w.end()
		for s.More() && w.submitted < 80 {
			w.step(t, s)
			w.checkAttempts(t, w.Core)
		}
		if w.journal != nil {
			w.journal.settle(nil)
		}
		if w.predecessor != nil {
			w.PeerDisconnected(w.predecessor)
		}
		w.sleep(testDeadline + time.Second)
		w.checkAttempts(t, w.Core)
		w.inLoop(w.Core, func() {
			for id, a := range w.attempts {
				if !a.answered {
					t.Errorf("%s: %s, and not answered after its deadline", id, a.state)
				}
			}
		})
		w.wait()
	})
}
