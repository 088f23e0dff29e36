package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestPausedRunGoesOn: where a run that is told to stop is only paused, one of
// far less worth makes way for another and is begun again, with the body that it
// came with, under the key that it has claimed itself.
func TestPausedRunGoesOn(t *testing.T) {
	for _, less := range []string{"read", "gift"} {
		t.Run(less, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPartyWith(t, func(o *Options) {
					o.Settings.CancelMode, o.Settings.Cores = decision.CancelPause, 1
					o.Settings.Classes = append([]decision.Class(nil), o.Settings.Classes...)
					o.Settings.Classes[2].Weight = 10
				})
				defer p.end()
				ask := func(id string) {
					err := p.Submit(Request{
						ID: id, Class: less, Key: "k", ArrivedAt: time.Now(), ReservedKB: 20,
						Payload: Payload{Body: []byte("as it came")}, Responder: sink{p},
					})
					if err != nil {
						t.Fatal(err)
					}
					p.wait()
				}
				ask("way")
				p.submit(t, "worthy", "receipt", "other")
				if p.runs["worthy"] != 1 || len(p.stopped) != 1 {
					t.Fatalf("runs %v, stopped %v", p.runs, p.stopped)
				}
				p.complete("worthy", RunSucceeded, "first")
				p.sleep(settings().BatchInterval * 10)
				if p.runs["way"] != 2 || p.bodies["way"] != "as it came" {
					t.Fatalf("runs %v, begun again with %q", p.runs, p.bodies["way"])
				}
				ask("repeat") // of the gift: it waits for the run
				p.complete("way", RunSucceeded, "second")
				p.wantAnswer(t, "worthy", Served, "first")
				p.wantAnswer(t, "way", Served, "second")
				if less == "gift" {
					p.wantAnswer(t, "repeat", Served, "second")
				}
			})
		})
	}
}
