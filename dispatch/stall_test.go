package dispatch

import (
	"testing"
	"time"
)

// TestNoStartForWhatDrainOvertakes: a request that was let in before the core heard of a
// drain, whose grace was over by then, does not begin once its claim is durable: its
// key's claim is given back, and it is turned away.
func TestNoStartForWhatDrainOvertakes(t *testing.T) {
	j := &journal{}
	playJournal(t, func(o *Options) { o.Journal = j }, func(t *testing.T, p *party) {
		p.submit(t, "a", "gift", "k")
		p.Drain(time.Now().Add(-time.Minute), time.Now().Add(time.Minute))
		p.wait()
		j.settle(nil)
		p.wait()
		p.wantAnswer(t, "a", Shed, "")
		if p.runs["a"] != 0 {
			t.Error("it ran after the grace")
		}
	})
}

// standStill has the core find that it stood still for longer than a drain's grace.
func (p *party) standStill() {
	p.inLoop(p.Core, func() { // the batch before the next was so long ago
		p.stallDetector.mu.Lock()
		p.stallDetector.lastBatch -= 2 * settings().DrainGrace
		p.stallDetector.mu.Unlock()
	})
	p.wait()
}

// TestNoStartRightAfterAStall: the core stands still for longer than a drain's grace. What
// it reads then does not begin before a notice that came meanwhile can have been seen.
func TestNoStartRightAfterAStall(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		bubble(t, func(t *testing.T, p *party) {
			p.standStill()
			if err := p.Submit(Request{ID: "a", Class: "read", ArrivedAt: time.Now(), ReservedKB: 20, Responder: sink{p}}); err != nil {
				t.Fatal(err)
			}
			p.wait()
			p.sleep(stallHoldTime / 2)
			if noticed {
				p.Drain(p.DrainNoticeTime(), time.Now().Add(time.Minute))
			}
			p.sleep(stallHoldTime)
			p.wait()
			want := 1
			if noticed {
				want = 0
				p.wantAnswer(t, "a", Shed, "")
			}
			if p.runs["a"] != want {
				t.Errorf("noticed %t: it ran %d times, want %d", noticed, p.runs["a"], want)
			}
		})
	}
}

// TestHoldOutlivesAPeer: a peer goes while an unkeyed run is held back after a stall. The
// run waits for no word of the peer's, and begins once the hold is over.
func TestHoldOutlivesAPeer(t *testing.T) {
	bubble(t, func(t *testing.T, p *party) {
		p.standStill()
		p.submit(t, "a", "read", "")
		p.PeerDisconnected(nil) // as the present peer, of which there is none
		p.sleep(2 * stallHoldTime)
		if p.runs["a"] != 1 {
			t.Errorf("it ran %d times, want 1", p.runs["a"])
		}
	})
}
