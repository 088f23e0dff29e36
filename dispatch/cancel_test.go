package dispatch

import (
	"fmt"
	"testing"

	"quincerail.example/quincerail/decision"
)

// pauseForReceipts has one run at a time, which is paused for a receipt.
func pauseForReceipts(o *Options) {
	o.Settings.CancelMode, o.Settings.Cores = decision.CancelPause, 1
	o.Settings.Classes = append([]decision.Class(nil), o.Settings.Classes...)
	o.Settings.Classes[2].Weight = 10
}

// TestPausedRunGoesOn: where cancelled runs are paused, one of far less weight is paused for
// another and begun again later, with the body that it came with and its own claim.
func TestPausedRunGoesOn(t *testing.T) {
	for _, class := range []string{"read", "gift"} {
		t.Run(class, func(t *testing.T) {
			runTestWith(t, pauseForReceipts, func(t *testing.T, h *harness) {
				submit := func(id string) {
					h.mustSubmit(t, h.Core, Request{ID: id, Class: class, Key: "k", Payload: Payload{Body: []byte("as it came")}})
					h.wait()
				}
				submit("paused")
				h.submit(t, "heavy", "receipt", "other")
				if h.starts["heavy"] != 1 || len(h.cancelled) != 1 {
					t.Fatalf("runs %v, cancelled %v", h.starts, h.cancelled)
				}
				h.complete("heavy", RunSucceeded, "first")
				h.sleep(settings().BatchInterval * 10)
				if h.starts["paused"] != 2 || h.bodies["paused"] != "as it came" {
					t.Fatalf("runs %v, begun again with %q", h.starts, h.bodies["paused"])
				}
				submit("repeat") // of a gift: it waits for the run
				h.complete("paused", RunSucceeded, "second")
				h.wantAnswer(t, "heavy", Served, "first")
				h.wantAnswer(t, "paused", Served, "second")
				if class == "gift" {
					h.wantAnswer(t, "repeat", Served, "second")
				}
			})
		})
	}
}

// TestCancelModeChangesDuringCancel: the settings change from pausing to cancelling between
// the order to pause a run and the backend's report. The run is not paused then, but begins
// anew.
func TestCancelModeChangesDuringCancel(t *testing.T) {
	runTestWith(t, pauseForReceipts, func(t *testing.T, h *harness) {
		h.submit(t, "displaced", "read", "")
		var states []string
		h.inLoop(h.Core, func() {
			check := h.onTransition
			h.onTransition = func(a *attempt, from, to attemptState) {
				check(a, from, to)
				if a.ID == "displaced" {
					states = append(states, to.String())
				}
				if to == stateCancelling {
					h.settings.CancelMode = decision.CancelDiscard
				}
			}
		})
		h.wait()
		h.submit(t, "heavy", "receipt", "k")
		h.complete("heavy", RunSucceeded, "first")
		h.sleep(settings().BatchInterval * 10)
		h.complete("displaced", RunSucceeded, "second")
		h.wantAnswer(t, "displaced", Served, "second")
		if got, want := fmt.Sprint(states), "[cancelling queued running finished]"; got != want {
			t.Errorf("states %s, want %s", got, want)
		}
	})
}
