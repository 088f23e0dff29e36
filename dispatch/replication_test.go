package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// loopbackPeer is a Peer that passes all messages to another core at once. reverse is the Peer
// by which that core reaches this one.
type loopbackPeer struct {
	target  *Core
	reverse *loopbackPeer
}

// ReplicateKey implements Peer.
func (p *loopbackPeer) ReplicateKey(k KeyState) { p.target.ApplyKey(p.reverse, k) }

// RequestClaim implements Peer.
func (p *loopbackPeer) RequestClaim(k KeyState) { p.target.ClaimRequested(p.reverse, k) }

// DecideClaim implements Peer.
func (p *loopbackPeer) DecideClaim(ranAttemptID string, granted bool) {
	p.target.ClaimDecided(p.reverse, ranAttemptID, granted)
}

// EndKeyBatch implements Peer.
func (p *loopbackPeer) EndKeyBatch(last bool) {
	if !last {
		p.reverse.target.ReplicateKeys(p)
	}
}

// SetTrafficDisabled implements Peer.
func (p *loopbackPeer) SetTrafficDisabled(disabled bool) {
	p.target.ApplyTrafficDisabled(p.reverse, disabled)
}

// connectSuccessor starts a second core as the successor of the harness's core, and
// replicates the keys to it.
func (h *harness) connectSuccessor(t *testing.T) (toPredecessor, toSuccessor *loopbackPeer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	h.successor = h.start(t, ctx)
	cancelPredecessor := h.cancel
	h.cancel = func() { cancelPredecessor(); cancel() }
	toPredecessor, toSuccessor = &loopbackPeer{target: h.Core}, &loopbackPeer{target: h.successor}
	toPredecessor.reverse, toSuccessor.reverse = toSuccessor, toPredecessor
	must(t, h.ConnectPeer(toSuccessor, false))
	must(t, h.successor.ConnectPeer(toPredecessor, true))
	h.ReplicateKeys(toSuccessor)
	h.wait()
	return toPredecessor, toSuccessor
}

// TestReplication_KeyRunsInOneProcess checks two processes during an upgrade. A key that has
// run, is running or is about to run in one process does not run in the other, whose attempts
// get its result.
func TestReplication_KeyRunsInOneProcess(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		for i := range 2*keyBatchSize + 1 {
			id := fmt.Sprint("before", i)
			h.submit(t, id, "gift", "key of "+id)
			h.completeRun(id, RunSucceeded, "thanks "+id)
		}
		h.submit(t, "at predecessor", "gift", "k")
		toPredecessor, toSuccessor := h.connectSuccessor(t)
		for i := range 2*keyBatchSize + 1 {
			id, retry := fmt.Sprint("before", i), fmt.Sprint("retry", i)
			h.submitTo(t, h.successor, retry, "gift", "key of "+id)
			h.wantAnswer(t, retry, Served, "thanks "+id)
		}
		h.submitTo(t, h.successor, "retry at successor", "gift", "k")
		h.completeRun("at predecessor", RunSucceeded, "thanks")
		h.wantAnswer(t, "retry at successor", Served, "thanks")

		h.submitTo(t, h.successor, "at successor", "gift", "l")
		h.submit(t, "retry at predecessor", "gift", "l")
		h.completeRun("at successor", RunFailed, "")
		h.wantAnswer(t, "retry at predecessor", Failed, "")

		for id, core := range map[string]*Core{"one": h.Core, "other": h.successor} { // at the same time
			h.mustSubmit(t, core, Request{ID: id, Class: "gift", Key: "m"})
		}
		h.wait()
		if h.starts["one"]+h.starts["other"] != 1 {
			t.Errorf("starts of one = %d and of other = %d, want a total of 1", h.starts["one"], h.starts["other"])
		}
		h.completeRun("one", RunSucceeded, "thanks")
		h.completeRun("other", RunSucceeded, "thanks")
		h.wantAnswer(t, "one", Served, "thanks")
		h.wantAnswer(t, "other", Served, "thanks")

		h.submitTo(t, h.successor, "not started", "gift", "n")
		h.completeRun("not started", RunNotStarted, "")
		h.submit(t, "started later", "gift", "n")
		if h.starts["started later"] != 1 {
			t.Errorf("run of a released key started %d times, want 1", h.starts["started later"])
		}

		h.submit(t, "hanging", "gift", "o")
		h.submitTo(t, h.successor, "waiting", "gift", "o")
		h.successor.PeerDisconnected(toPredecessor)
		h.PeerDisconnected(toSuccessor)
		h.wait()
		h.wantAnswer(t, "waiting", Failed, "")
		h.submitTo(t, h.successor, "without peer", "gift", "p")
		if h.starts["without peer"] != 1 {
			t.Errorf("run started %d times after the peer disconnected, want 1", h.starts["without peer"])
		}
	})
}

// TestClaim_CancelledOrPeerDisconnected checks attempts that wait for the predecessor's
// decision when it disconnects: a cancelled one does not run, and any other one does.
func TestClaim_CancelledOrPeerDisconnected(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		silent := &loopbackPeer{target: h.Core} // never decides
		silent.reverse = &loopbackPeer{target: h.Core}
		must(t, h.ConnectPeer(silent, true))
		for _, id := range []string{"cancelled", "waiting"} {
			h.submit(t, id, "gift", id)
		}
		h.CancelRequest("cancelled", responder{h})
		h.wait()
		if len(h.starts) != 0 || len(h.cancelled) != 0 {
			t.Errorf("starts = %v, cancelled = %v before the predecessor's decision, want none", h.starts, h.cancelled)
		}
		h.PeerDisconnected(silent)
		h.wait()
		if h.starts["cancelled"] != 0 || h.starts["waiting"] != 1 {
			t.Errorf("starts = %v, want only waiting", h.starts)
		}
		h.submit(t, "retry", "gift", "cancelled")
		if h.starts["retry"] != 1 {
			t.Errorf("retry of a key that never ran started %d times, want 1", h.starts["retry"])
		}
	})
}

// TestSetTrafficDisabled_IsReplicated disables traffic in one of two processes: health checks
// of the other fail as well.
func TestSetTrafficDisabled_IsReplicated(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		must(t, h.SetTrafficDisabled(true, func() {}))
		h.connectSuccessor(t)
		wantDisabled := func(want bool) {
			t.Helper()
			h.wait()
			h.forEachCore(func(c *Core) {
				must(t, c.CheckHealth(false, func(healthy bool) {
					if healthy == want {
						t.Errorf("health check = %t after SetTrafficDisabled(%t), want %t", healthy, want, !want)
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

// TestHandOver_ClosesChannelWhenIdle checks that the channel is closed once no request is
// open, and that the registrar still reports this server as accepting.
func TestHandOver_ClosesChannelWhenIdle(t *testing.T) {
	runTest(t, func(t *testing.T, h *harness) {
		h.submit(t, "a", "read", "")
		idle := h.HandOver(time.Now().Add(time.Minute))
		h.wait()
		select {
		case <-idle:
			t.Error("channel closed while a request is open")
		default:
		}
		h.completeRun("a", RunSucceeded, "page")
		<-idle
		if last := h.accepting[len(h.accepting)-1]; !last {
			t.Errorf("reports to the registrar = %v, want the last to be true", h.accepting)
		}
	})
}
