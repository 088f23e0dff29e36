package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// wire is a peer that hands on all it is told at once. far knows this side as back.
type wire struct {
	far  *Core
	back *wire
}

// ReplicateKey implements Peer.
func (w *wire) ReplicateKey(k KeyState) { w.far.ApplyKey(w.back, k) }

// RequestClaim implements Peer.
func (w *wire) RequestClaim(k KeyState) { w.far.ClaimRequested(w.back, k) }

// DecideClaim implements Peer.
func (w *wire) DecideClaim(ran string, granted bool) { w.far.ClaimDecided(w.back, ran, granted) }

// EndKeyBatch implements Peer.
func (w *wire) EndKeyBatch(last bool) {
	if !last {
		w.back.far.ReplicateKeys(w)
	}
}

// SetTrafficDisabled implements Peer.
func (w *wire) SetTrafficDisabled(on bool) { w.far.ApplyTrafficDisabled(w.back, on) }

// connectSuccessor starts a second core that takes over from the party's, and replicates
// the keys to it.
func (p *party) connectSuccessor(t *testing.T) (toPredecessor, toSuccessor *wire) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p.younger = p.start(t, ctx)
	old := p.cancel
	p.cancel = func() { old(); cancel() }
	toPredecessor, toSuccessor = &wire{far: p.Core}, &wire{far: p.younger}
	toPredecessor.back, toSuccessor.back = toSuccessor, toPredecessor
	p.ConnectPeer(toSuccessor, false)
	p.younger.ConnectPeer(toPredecessor, true)
	p.ReplicateKeys(toSuccessor)
	p.wait()
	return toPredecessor, toSuccessor
}

// TestTakeOver guards rule 2 while one process takes over from another: a key
// that ran or runs in one, or that both are about to run, never runs in the other,
// whose tries get its result.
func TestTakeOver(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		for i := range 2*keyBatchSize + 1 {
			id := fmt.Sprint("before", i)
			p.submit(t, id, "gift", "key of "+id)
			p.complete(id, RunSucceeded, "thanks "+id)
		}
		p.submit(t, "predecessor's", "gift", "k")
		toPredecessor, toSuccessor := p.connectSuccessor(t)
		for i := range 2*keyBatchSize + 1 {
			id, again := fmt.Sprint("before", i), fmt.Sprint("again", i)
			p.submitTo(t, p.younger, again, "gift", "key of "+id)
			p.wantAnswer(t, again, Served, "thanks "+id)
		}
		p.submitTo(t, p.younger, "its repeat", "gift", "k")
		p.complete("predecessor's", RunSucceeded, "thanks")
		p.wantAnswer(t, "its repeat", Served, "thanks")

		p.submitTo(t, p.younger, "successor's", "gift", "l")
		p.submit(t, "repeat of that", "gift", "l")
		p.complete("successor's", RunFailed, "")
		p.wantAnswer(t, "repeat of that", Failed, "")

		for id, core := range map[string]*Core{"one": p.Core, "other": p.younger} { // at the same moment
			core.Submit(Request{ID: id, Class: "gift", Key: "m", ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}})
		}
		p.wait()
		if p.runs["one"]+p.runs["other"] != 1 {
			t.Errorf("%d runs by one, %d by the other", p.runs["one"], p.runs["other"])
		}
		p.complete("one", RunSucceeded, "thanks")
		p.complete("other", RunSucceeded, "thanks")
		p.wantAnswer(t, "one", Served, "thanks")
		p.wantAnswer(t, "other", Served, "thanks")

		p.submitTo(t, p.younger, "unborn", "gift", "n")
		p.complete("unborn", RunNotStarted, "")
		p.submit(t, "born", "gift", "n")
		if p.runs["born"] != 1 {
			t.Error("a key that never ran is kept from running")
		}

		p.submit(t, "hangs", "gift", "o")
		p.submitTo(t, p.younger, "waits", "gift", "o")
		p.younger.PeerDisconnected(toPredecessor)
		p.PeerDisconnected(toSuccessor)
		p.wait()
		p.wantAnswer(t, "waits", Failed, "")
		p.submitTo(t, p.younger, "alone", "gift", "p")
		if p.runs["alone"] != 1 {
			t.Error("it waits for a peer that has gone")
		}
	})
}

// TestClaimWithdrawn guards a try that waits for the predecessor's decision: one that is
// given up before it comes is not begun, and one whose predecessor disconnects is.
func TestClaimWithdrawn(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		silent := &wire{far: p.Core} // which does not know of it, and says nothing
		silent.back = &wire{far: p.Core}
		p.ConnectPeer(silent, true)
		for _, id := range []string{"gone", "stays"} {
			p.submit(t, id, "gift", id)
		}
		p.CancelRequest("gone", sink{p})
		p.wait()
		if len(p.runs) != 0 || len(p.stopped) != 0 {
			t.Errorf("runs %v, stopped %v before the predecessor's decision", p.runs, p.stopped)
		}
		p.PeerDisconnected(silent)
		p.wait()
		if p.runs["gone"] != 0 || p.runs["stays"] != 1 {
			t.Errorf("runs %v, want that of what is waited for", p.runs)
		}
		p.submit(t, "again", "gift", "gone")
		if p.runs["again"] != 1 {
			t.Error("a key that never ran is kept from running")
		}
	})
}

// TestAwayIsShared has operators call one of two processes: callers must not be
// told by the other to come.
func TestAwayIsShared(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.SetTrafficDisabled(true, func() {})
		p.connectSuccessor(t)
		away := func(want bool) {
			t.Helper()
			p.wait()
			p.each(func(c *Core) {
				c.CheckHealth(false, func(good bool) {
					if good == want {
						t.Errorf("checks are good: %t", good)
					}
				})
			})
			p.wait()
		}
		away(true)
		p.younger.SetTrafficDisabled(false, func() {})
		away(false)
		p.SetTrafficDisabled(true, func() {})
		away(true)
	})
}

// TestHandOverSettles sees when all that was open is done with.
func TestHandOverSettles(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.submit(t, "a", "read", "")
		settled := p.HandOver(time.Now().Add(time.Minute))
		p.wait()
		select {
		case <-settled:
			t.Error("settled with a request open")
		default:
		}
		p.complete("a", RunSucceeded, "page")
		<-settled
		if last := p.present[len(p.present)-1]; !last {
			t.Error("callers are sent away")
		}
	})
}
