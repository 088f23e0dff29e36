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

// journal is a fake Journal that makes claims durable when the test calls completeClaims.
type journal struct {
	mu      sync.Mutex
	states  []KeyState
	pending []func(error) // completions of the claims
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

// completeClaims reports all pending claims as durable, or as failed with err.
func (j *journal) completeClaims(err error) {
	j.mu.Lock()
	pending := j.pending
	j.pending = nil
	j.mu.Unlock()
	for _, done := range pending {
		done(err)
	}
}

// TestRun_WaitsForDurableClaim checks that a keyed run starts once its claim is durable, and
// that its end is recorded with the result.
func TestRun_WaitsForDurableClaim(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		if h.starts["a"] != 0 {
			t.Fatalf("run a started %d times before its claim was durable, want 0", h.starts["a"])
		}
		j.completeClaims(nil)
		h.wait()
		if h.starts["a"] != 1 {
			t.Fatalf("run a started %d times once its claim was durable, want 1", h.starts["a"])
		}
		h.completeRun("a", RunSucceeded, "tack")
		h.wantAnswer(t, "a", Served, "tack")
		j.mu.Lock()
		defer j.mu.Unlock()
		if n := len(j.states); n != 2 || j.states[0].RanAttemptID != "a" || j.states[0].Completed ||
			!j.states[1].Completed || string(j.states[1].Result.Body) != "tack" {
			t.Errorf("recorded states %+v, want the claim of a and its end with the result", j.states)
		}
	})
}

// TestRun_ShedIfClaimIsNotDurable fails to make a claim durable, as with a full store: the run
// does not start, and its request is shed.
func TestRun_ShedIfClaimIsNotDurable(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		h.submit(t, "a", "gift", "k")
		j.completeClaims(errors.New("store full"))
		h.wait()
		h.wantAnswer(t, "a", Shed, "")
		if h.starts["a"] != 0 {
			t.Errorf("run a started %d times, want 0", h.starts["a"])
		}
		j.completeClaims(nil)
		h.submit(t, "b", "gift", "k") // the claim was released
		j.completeClaims(nil)
		h.wait()
		if h.starts["b"] != 1 {
			t.Errorf("run b of the released key started %d times, want 1", h.starts["b"])
		}
	})
}

// TestNew_RecoveredKeysInDoubtDoNotRun creates a core with key states of a journal. A key
// without a recorded end does not run again, and its retry fails. The recorded result of a
// completed run is served. An unknown key, whose record may be lost, fails until
// InDoubtUntil.
func TestNew_RecoveredKeysInDoubtDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expiresAt := time.Now().Add(testWindow)
		result := &Payload{Body: []byte("tack")}
		sum := sha256.Sum256(nil) // of an empty body
		bodyHash := binary.BigEndian.Uint64(sum[:])
		h := newHarnessWith(t, func(o *Options) {
			o.RecoveredKeys = []KeyState{
				{Key: "in doubt", Class: "gift", BodyHash: bodyHash, RanAttemptID: "old1", ExpiresAt: expiresAt},
				{Key: "completed", Class: "gift", BodyHash: bodyHash, RanAttemptID: "old2", ExpiresAt: expiresAt, Completed: true, Result: result},
			}
			o.InDoubtUntil = time.Now().Add(time.Second)
		})
		defer h.stop()
		for _, id := range []string{"a", "b", "c"} {
			h.submit(t, id, "gift", map[string]string{"a": "in doubt", "b": "completed", "c": "unknown"}[id])
		}
		h.sleep(10 * time.Millisecond)
		h.wantAnswer(t, "a", Failed, "")
		h.wantAnswer(t, "b", Served, "tack")
		h.wantAnswer(t, "c", Failed, "")
		if len(h.starts) != 0 {
			t.Errorf("starts = %v, want none", h.starts)
		}
		h.sleep(time.Second)
		h.submit(t, "d", "gift", "unknown")
		if h.starts["d"] != 1 {
			t.Errorf("run d of an unknown key started %d times after InDoubtUntil, want 1", h.starts["d"])
		}
	})
}

// TestPeerDisconnected_RunStillWaitsForJournal disconnects the peer while a claim is not
// durable yet: the run still waits for that.
func TestPeerDisconnected_RunStillWaitsForJournal(t *testing.T) {
	j := &journal{}
	runTestWith(t, func(o *Options) { o.Journal = j }, func(t *testing.T, h *harness) {
		peer := &loopbackPeer{}
		must(t, h.ConnectPeer(peer, false))
		h.submit(t, "a", "gift", "k")
		h.PeerDisconnected(peer)
		h.wait()
		if h.starts["a"] != 0 {
			t.Fatalf("run a started %d times before its claim was durable, want 0", h.starts["a"])
		}
		j.completeClaims(nil)
		h.wait()
		if h.starts["a"] != 1 {
			t.Fatalf("run a started %d times once its claim was durable, want 1", h.starts["a"])
		}
	})
}
