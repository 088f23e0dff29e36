package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// loopbackPeer is a Peer that passes everything on to another core at once, which knows
// this side as reverse.
type loopbackPeer struct {
	far     *Core
	reverse *loopbackPeer
}

// ReplicateKey implements Peer.
func (w *loopbackPeer) ReplicateKey(k KeyState) { w.far.ApplyKey(w.reverse, k) }

// RequestClaim implements Peer.
func (w *loopbackPeer) RequestClaim(k KeyState) { w.far.ClaimRequested(w.reverse, k) }

// DecideClaim implements Peer.
func (w *loopbackPeer) DecideClaim(ran string, granted bool) {
	w.far.ClaimDecided(w.reverse, ran, granted)
}

// EndKeyBatch implements Peer.
func (w *loopbackPeer) EndKeyBatch(last bool) {
	if !last {
		w.reverse.far.ReplicateKeys(w)
	}
}

// SetTrafficDisabled implements Peer.
func (w *loopbackPeer) SetTrafficDisabled(on bool) { w.far.ApplyTrafficDisabled(w.reverse, on) }

// connectSuccessor starts a second core that takes over from the harness's, and replicates
// the keys to it.
func (h *harness) connectSuccessor(t *testing.T) (toPredecessor, toSuccessor *loopbackPeer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	h.successor = h.start(t, ctx)
	old := h.cancel
	h.cancel = func() { old(); cancel() }
	toPredecessor, toSuccessor = &loopbackPeer{far: h.Core}, &loopbackPeer{far: h.successor}
	toPredecessor.reverse, toSuccessor.reverse = toSuccessor, toPredecessor
	must(t, h.ConnectPeer(toSuccessor, false))
	must(t, h.successor.ConnectPeer(toPredecessor, true))
	h.ReplicateKeys(toSuccessor)
	h.wait()
	return toPredecessor, toSuccessor
}

// TestTakeOver: while one process takes over from another, a key that ran or runs in one, or
// that both are about to run, never runs in the other, whose attempts get its result.
func TestTakeOver(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		for i := range 2*keyBatchSize + 1 {
			id := fmt.Sprint("before", i)
			h.submit(t, id, "gift", "key of "+id)
			h.complete(id, RunSucceeded, "thanks "+id)
		}
		h.submit(t, "predecessor's", "gift", "k")
		toPredecessor, toSuccessor := h.connectSuccessor(t)
		for i := range 2*keyBatchSize + 1 {
			id, again := fmt.Sprint("before", i), fmt.Sprint("again", i)
			h.submitTo(t, h.successor, again, "gift", "key of "+id)
			h.wantAnswer(t, again, Served, "thanks "+id)
		}
		h.submitTo(t, h.successor, "its repeat", "gift", "k")
		h.complete("predecessor's", RunSucceeded, "thanks")
		h.wantAnswer(t, "its repeat", Served, "thanks")

		h.submitTo(t, h.successor, "successor's", "gift", "l")
		h.submit(t, "repeat of that", "gift", "l")
		h.complete("successor's", RunFailed, "")
		h.wantAnswer(t, "repeat of that", Failed, "")

		for id, core := range map[string]*Core{"one": h.Core, "other": h.successor} { // at the same moment
			h.mustSubmit(t, core, Request{ID: id, Class: "gift", Key: "m"})
		}
		h.wait()
		if h.starts["one"]+h.starts["other"] != 1 {
			t.Errorf("%d runs by one, %d by the other", h.starts["one"], h.starts["other"])
		}
		h.complete("one", RunSucceeded, "thanks")
		h.complete("other", RunSucceeded, "thanks")
		h.wantAnswer(t, "one", Served, "thanks")
		h.wantAnswer(t, "other", Served, "thanks")

		h.submitTo(t, h.successor, "not started", "gift", "n")
		h.complete("not started", RunNotStarted, "")
		h.submit(t, "started later", "gift", "n")
		if h.starts["started later"] != 1 {
			t.Error("a key that never ran is kept from running")
		}

		h.submit(t, "hangs", "gift", "o")
		h.submitTo(t, h.successor, "waits", "gift", "o")
		h.successor.PeerDisconnected(toPredecessor)
		h.PeerDisconnected(toSuccessor)
		h.wait()
		h.wantAnswer(t, "waits", Failed, "")
		h.submitTo(t, h.successor, "alone", "gift", "p")
		if h.starts["alone"] != 1 {
			t.Error("it waits for a peer that has disconnected")
		}
	})
}

// TestClaimWithdrawn: an attempt that waits for the predecessor's decision does not begin if
// it is cancelled before, and begins if the predecessor disconnects.
func TestClaimWithdrawn(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		silent := &loopbackPeer{far: h.Core} // it never decides
		silent.reverse = &loopbackPeer{far: h.Core}
		must(t, h.ConnectPeer(silent, true))
		for _, id := range []string{"gone", "stays"} {
			h.submit(t, id, "gift", id)
		}
		h.CancelRequest("gone", responder{h})
		h.wait()
		if len(h.starts) != 0 || len(h.cancelled) != 0 {
			t.Errorf("runs %v, cancelled %v before the predecessor's decision", h.starts, h.cancelled)
		}
		h.PeerDisconnected(silent)
		h.wait()
		if h.starts["gone"] != 0 || h.starts["stays"] != 1 {
			t.Errorf("runs %v, want that of what is waited for", h.starts)
		}
		h.submit(t, "again", "gift", "gone")
		if h.starts["again"] != 1 {
			t.Error("a key that never ran is kept from running")
		}
	})
}

// TestTrafficDisabledIsReplicated: operators disable traffic in one of two processes, and
// health checks of the other fail as well.
func TestTrafficDisabledIsReplicated(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		must(t, h.SetTrafficDisabled(true, func() {}))
		h.connectSuccessor(t)
		wantDisabled := func(want bool) {
			t.Helper()
			h.wait()
			h.each(func(c *Core) {
				must(t, c.CheckHealth(false, func(good bool) {
					if good == want {
						t.Errorf("checks are good: %t", good)
					}
				}))
			})
			h.wait()
		}
		wantDisabled(true)
		must(t, h.successor.SetTrafficDisabled(false, func() {}))
		wantDisabled(false)
		must(t, h.SetTrafficDisabled(true, func() {}))
		wantDisabled(true)
	})
}

// TestHandOverIdle: the channel is closed once no request is open.
func TestHandOverIdle(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "read", "")
		idle := h.HandOver(time.Now().Add(time.Minute))
		h.wait()
		select {
		case <-idle:
			t.Error("idle with a request open")
		default:
		}
		h.complete("a", RunSucceeded, "page")
		<-idle
		if last := h.accepting[len(h.accepting)-1]; !last {
			t.Error("callers are sent away")
		}
	})
}
