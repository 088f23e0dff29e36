package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// journal is a fake Journal: a claim is durable once the test settles it.
type journal struct {
	mu      sync.Mutex
	states  []KeyState
	pending []func(error)
}

// Record implements Journal.
func (j *journal) Record(k KeyState, done func(error)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.states = append(j.states, k)
	if k.Completed {
		done(nil)
		return
	}
	j.pending = append(j.pending, done)
}

func (j *journal) settle(err error) {
	j.mu.Lock()
	pending := j.pending
	j.pending = nil
	j.mu.Unlock()
	for _, done := range pending {
		done(err)
	}
}

// TestJournalBeforeRun: a keyed run begins once its claim is durable, and its end is recorded
// with its result.
func TestJournalBeforeRun(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		if h.starts["a"] != 0 {
			t.Fatal("it began before its claim was durable")
		}
		j.settle(nil)
		h.wait()
		if h.starts["a"] != 1 {
			t.Fatalf("%d runs once the claim was durable", h.starts["a"])
		}
		h.complete("a", RunSucceeded, "tack")
		h.wantAnswer(t, "a", Served, "tack")
		j.mu.Lock()
		defer j.mu.Unlock()
		if n := len(j.states); n != 2 || j.states[0].RanAttemptID != "a" || j.states[0].Completed ||
			!j.states[1].Completed || string(j.states[1].Result.Body) != "tack" {
			t.Errorf("recorded %+v", j.states)
		}
	})
}

// TestJournalRefused: where the journal can't make a claim durable (the store is full), the
// run never begins, and its request is shed.
func TestJournalRefused(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		j.settle(errors.New("full"))
		h.wait()
		h.wantAnswer(t, "a", Shed, "")
		if h.starts["a"] != 0 {
			t.Errorf("%d runs", h.starts["a"])
		}
		j.settle(nil)
		h.submit(t, "b", "gift", "k") // the key is free again
		j.settle(nil)
		h.wait()
		if h.starts["b"] != 1 {
			t.Errorf("a later attempt of the key: %d runs", h.starts["b"])
		}
	})
}

// TestRecoveredInDoubt: a core starts with what a journal held. A run without a recorded end
// is never run again, and its retry fails; the result of one that ended is served; a key
// that a lost record may have held fails until InDoubtUntil.
func TestRecoveredInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		till := time.Now().Add(testWindow)
		done := &Payload{Body: []byte("tack")}
		sum := sha256.Sum256(nil) // of an empty body
		body := binary.BigEndian.Uint64(sum[:])
		h := newHarnessWith(t, func(o *Options) {
			o.RecoveredKeys = []KeyState{
				{Key: "doubt", Class: "gift", BodyHash: body, RanAttemptID: "old1", ExpiresAt: till},
				{Key: "done", Class: "gift", BodyHash: body, RanAttemptID: "old2", ExpiresAt: till, Completed: true, Result: done},
			}
			o.InDoubtUntil = time.Now().Add(time.Second)
		})
		defer h.end()
		for _, id := range []string{"a", "b", "c"} {
			h.submit(t, id, "gift", map[string]string{"a": "doubt", "b": "done", "c": "unknown"}[id])
		}
		h.sleep(10 * time.Millisecond)
		h.wantAnswer(t, "a", Failed, "")
		h.wantAnswer(t, "b", Served, "tack")
		h.wantAnswer(t, "c", Failed, "")
		if len(h.starts) != 0 {
			t.Errorf("runs %v", h.starts)
		}
		h.sleep(time.Second)
		h.submit(t, "d", "gift", "unknown")
		if h.starts["d"] != 1 {
			t.Errorf("after the doubt: %d runs", h.starts["d"])
		}
	})
}

// TestPeerDisconnectedBeforeJournal: a run whose claim is not durable yet waits for that also
// when the other process disconnects.
func TestPeerDisconnectedBeforeJournal(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		peer := &loopbackPeer{}
		must(t, h.ConnectPeer(peer, false))
		h.submit(t, "a", "gift", "k")
		h.PeerDisconnected(peer)
		h.wait()
		if h.starts["a"] != 0 {
			t.Fatal("it began before its claim was durable")
		}
		j.settle(nil)
		h.wait()
		if h.starts["a"] != 1 {
			t.Fatalf("%d runs once the claim was durable", h.starts["a"])
		}
	})
}
