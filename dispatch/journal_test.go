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

// journal is a stand-in journal: it holds each claim until the test lets it be
// durable, or fails it.
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

func playJournal(t *testing.T, change func(*Options), play func(t *testing.T, p *party)) {
	synctest.Test(t, func(t *testing.T) {
		p := newPartyWith(t, change)
		defer p.end()
		play(t, p)
	})
}

// TestJournalBeforeRun sees that a keyed run begins only once its claim is
// durable, and that its end is recorded with its result.
func TestJournalBeforeRun(t *testing.T) {
	j := &journal{}
	playJournal(t, func(o *Options) { o.Journal = j }, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		if p.runs["a"] != 0 {
			t.Fatal("it began before its claim was durable")
		}
		j.settle(nil)
		p.wait()
		if p.runs["a"] != 1 {
			t.Fatalf("%d runs once the claim was durable", p.runs["a"])
		}
		p.complete("a", RunSucceeded, "tack")
		p.wantAnswer(t, "a", Served, "tack")
		j.mu.Lock()
		defer j.mu.Unlock()
		if n := len(j.states); n != 2 || j.states[0].RanAttemptID != "a" || j.states[0].Completed ||
			!j.states[1].Completed || string(j.states[1].Result.Body) != "tack" {
			t.Errorf("recorded %+v", j.states)
		}
	})
}

// TestJournalRefused has the journal refuse a claim (the store is full): the
// run never begins, and the caller is turned away, as it never ran.
func TestJournalRefused(t *testing.T) {
	j := &journal{}
	playJournal(t, func(o *Options) { o.Journal = j }, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		j.settle(errors.New("full"))
		p.wait()
		p.wantAnswer(t, "a", Shed, "")
		if p.runs["a"] != 0 {
			t.Errorf("%d runs", p.runs["a"])
		}
		j.settle(nil)
		p.submit(t, "b", "gift", "k") // the key is free again
		j.settle(nil)
		p.wait()
		if p.runs["b"] != 1 {
			t.Errorf("a later try of the key: %d runs", p.runs["b"])
		}
	})
}

// TestRecoveredInDoubt starts a core with what a journal held: a run that was
// not told to end is never run again, and its repeat fails; one that ended has
// its result served; a key that a lost record may have told of fails until the
// doubt is over.
func TestRecoveredInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		till := time.Now().Add(testWindow)
		done := &Payload{Body: []byte("tack")}
		sum := sha256.Sum256(nil) // of what the tries bring
		body := binary.BigEndian.Uint64(sum[:])
		p := newPartyWith(t, func(o *Options) {
			o.RecoveredKeys = []KeyState{
				{Key: "doubt", Class: "gift", BodyHash: body, RanAttemptID: "old1", ExpiresAt: till},
				{Key: "done", Class: "gift", BodyHash: body, RanAttemptID: "old2", ExpiresAt: till, Completed: true, Result: done},
			}
			o.InDoubtUntil = time.Now().Add(time.Second)
		})
		defer p.end()
		for _, id := range []string{"a", "b", "c"} {
			p.submit(t, id, "gift", map[string]string{"a": "doubt", "b": "done", "c": "unknown"}[id])
		}
		p.sleep(10 * time.Millisecond)
		p.wantAnswer(t, "a", Failed, "")
		p.wantAnswer(t, "b", Served, "tack")
		p.wantAnswer(t, "c", Failed, "")
		if len(p.runs) != 0 {
			t.Errorf("runs %v", p.runs)
		}
		p.sleep(time.Second)
		p.submit(t, "d", "gift", "unknown")
		if p.runs["d"] != 1 {
			t.Errorf("after the doubt: %d runs", p.runs["d"])
		}
	})
}
