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

// checkTransitions makes the test fail if an attempt of the core makes a transition that is
// not in the table, or if its new state contradicts its other fields.
func checkTransitions(t *testing.T, c *Core) {
	c.onTransition = func(a *attempt, from, to attemptState) {
		if !transitions[from].has(to) {
			t.Errorf("attempt %s: transition from %s to %s is not in the table", a.ID, from, to)
		}
		if to == stateFinished && (!a.answered || a.holdsPoolSlot) {
			t.Errorf("attempt %s: finished from %s with answered = %t, holdsPoolSlot = %t, want true, false", a.ID, from, a.answered, a.holdsPoolSlot)
		}
		if a.state != to || from == to {
			t.Errorf("attempt %s: state is %s after a transition from %s to %s", a.ID, a.state, from, to)
		}
	}
}

// checkAttempts checks that the states of all attempts of a core agree with their other
// fields.
func (h *harness) checkAttempts(t *testing.T, c *Core) {
	t.Helper()
	h.runInLoop(c, func() {
		for id, a := range c.attempts {
			inProgress := a.state == stateRunning || a.state == stateCancelling
			switch {
			case a.ID != id || a.state == stateReceived || a.state == stateFinished || a.state == stateStartDenied:
				t.Errorf("attempt %s: state is %s between two batches", id, a.state)
			case a.answered && !a.state.started():
				t.Errorf("attempt %s: answered and not removed, state %s", id, a.state)
			case inProgress && !a.mayHaveRun, a.resumed && a.state != stateAwaitingPoolSlot:
				t.Errorf("attempt %s: state %s with mayHaveRun = %t, resumed = %t", id, a.state, a.mayHaveRun, a.resumed)
			case a.holdsPoolSlot != (inProgress && c.pools != nil):
				t.Errorf("attempt %s: state %s with holdsPoolSlot = %t", id, a.state, a.holdsPoolSlot)
			}
		}
	})
	h.wait()
}

// manualPredecessor is a Peer that records claim requests for the test to decide.
type manualPredecessor struct {
	mu     sync.Mutex
	claims []string // ids of the attempts whose claims are not decided
}

// ReplicateKey implements Peer.
func (*manualPredecessor) ReplicateKey(KeyState) {}

// RequestClaim implements Peer.
func (p *manualPredecessor) RequestClaim(k KeyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claims = append(p.claims, k.RanAttemptID)
}

// DecideClaim implements Peer.
func (*manualPredecessor) DecideClaim(string, bool) {}

// EndKeyBatch implements Peer.
func (*manualPredecessor) EndKeyBatch(bool) {}

// SetTrafficDisabled implements Peer.
func (*manualPredecessor) SetTrafficDisabled(bool) {}

// nextClaim removes and returns the oldest claim that is not decided; "" if there is none.
func (p *manualPredecessor) nextClaim() (id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.claims) > 0 {
		id, p.claims = p.claims[0], p.claims[1:]
	}
	return id
}

// stateWalk applies random events to the attempts of a core that has a random subset of a
// journal, pools, decision.CancelPause and a predecessor.
type stateWalk struct {
	*harness
	journal     *journal           // nil for none
	predecessor *manualPredecessor // nil while none is connected
	inForce     decision.Settings
	submitted   int
	draining    bool
}

func newStateWalk(t *testing.T, s *randomsteps.Source) *stateWalk {
	w := &stateWalk{}
	withJournal, withPools, withPause, withPeer := s.Pick(2) == 1, s.Pick(2) == 1, s.Pick(2) == 1, s.Pick(2) == 1
	w.harness = newHarnessWith(t, func(o *Options) {
		o.Settings.Classes = append([]decision.Class(nil), o.Settings.Classes...)
		o.Settings.Classes[2].Weight = 10 // so that its runs preempt others
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
		w.predecessor = &manualPredecessor{}
		must(t, w.ConnectPeer(w.predecessor, true))
	}
	return w
}

// step applies one random event of a caller, the backend or another party.
func (w *stateWalk) step(t *testing.T, s *randomsteps.Source) {
	id := fmt.Sprint("r", s.Pick(w.submitted+1))
	_, runs := w.running[id]
	switch s.Pick(10) {
	case 0, 1, 2, 3:
		w.submitNext(t, s)
	case 4:
		if runs {
			w.completeRun(id, RunEnd(s.Pick(4)), "result of "+id)
		}
	case 5:
		if s.Pick(2) == 0 {
			w.CancelRequest(id, responder{w.harness})
		} else {
			w.CallerDisconnected(id, responder{w.harness})
		}
	case 6:
		w.completeJournalClaims(s)
	case 7:
		w.decideClaim(s)
	case 8:
		w.sleep(time.Duration(1+s.Pick(40)) * 2 * time.Millisecond)
	case 9:
		w.doRareStep(t, s)
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

func (w *stateWalk) completeJournalClaims(s *randomsteps.Source) {
	if w.journal == nil {
		return
	}
	var err error
	if s.Pick(4) == 0 {
		err = errors.New("store full")
	}
	w.journal.completeClaims(err)
}

func (w *stateWalk) decideClaim(s *randomsteps.Source) {
	if w.predecessor == nil {
		return
	}
	if id := w.predecessor.nextClaim(); id != "" {
		w.ClaimDecided(w.predecessor, id, s.Pick(3) > 0)
	}
}

// replicateKeyFromPeer reports that the predecessor runs a key or has completed its run.
func (w *stateWalk) replicateKeyFromPeer(s *randomsteps.Source) {
	if w.predecessor == nil {
		return
	}
	class, key := pickKey(s)
	w.ApplyKey(w.predecessor, KeyState{
		Key: key, Class: class, BodyHash: hashBody(nil), RanAttemptID: "predecessor's " + key,
		ExpiresAt: time.Now().Add(testWindow), Completed: s.Pick(2) == 0,
	})
}

// changeCancelMode switches between pausing and discarding cancelled runs.
func (w *stateWalk) changeCancelMode(t *testing.T) {
	if w.inForce.CancelMode == decision.CancelPause {
		w.inForce.CancelMode = decision.CancelDiscard
	} else {
		w.inForce.CancelMode = decision.CancelPause
	}
	must(t, w.updateSettings(w.inForce, "read", "gift", "receipt"))
}

// doRareStep applies one random rare event: the peer disconnects, connects or replicates a
// key, the process stalls or drains, or the settings change.
func (w *stateWalk) doRareStep(t *testing.T, s *randomsteps.Source) {
	switch s.Pick(9) {
	case 0:
		if w.predecessor != nil {
			w.PeerDisconnected(w.predecessor)
			w.predecessor = nil
		}
	case 1, 2:
		if w.predecessor == nil {
			w.predecessor = &manualPredecessor{}
			must(t, w.ConnectPeer(w.predecessor, true))
		}
	case 3, 4:
		w.simulateStall()
	case 5:
		if !w.draining && s.Pick(2) == 0 {
			w.draining = true
			notice := time.Now().Add(-time.Duration(s.Pick(4)) * time.Second)
			w.Drain(notice, time.Now().Add(30*time.Second))
		}
	case 6, 7:
		w.replicateKeyFromPeer(s)
	case 8:
		w.changeCancelMode(t)
	}
}

// FuzzAttemptStates applies random events to attempts. Each transition has to be in the
// table, the state of an attempt has to agree with its other fields, and every attempt has to
// be answered once its deadline has passed.
func FuzzAttemptStates(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		w := newStateWalk(t, s)
		defer w.stop()
		for s.More() && w.submitted < 80 {
			w.step(t, s)
			w.checkAttempts(t, w.Core)
		}
		if w.journal != nil {
			w.journal.completeClaims(nil)
		}
		if w.predecessor != nil {
			w.PeerDisconnected(w.predecessor)
		}
		w.sleep(testDeadline + time.Second)
		w.checkAttempts(t, w.Core)
		w.runInLoop(w.Core, func() {
			for id, a := range w.attempts {
				if !a.answered {
					t.Errorf("attempt %s: not answered after its deadline, state %s", id, a.state)
				}
			}
		})
		w.wait()
	})
}
