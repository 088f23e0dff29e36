package dispatch

import (
	"fmt"
	"testing"

	"quincerail.example/quincerail/decision"
)

// pauseForReceipts sets options with one concurrent run, which a receipt preempts and pauses.
func pauseForReceipts(o *Options) {
	o.Settings.CancelMode, o.Settings.Cores = decision.CancelPause, 1
	o.Settings.Classes = append([]decision.Class(nil), o.Settings.Classes...)
	o.Settings.Classes[2].Weight = 10
}

// TestCancel_PausedRunResumes pauses a run for one of far greater weight. The paused run is
// later started again with its original body and its own claim.
func TestCancel_PausedRunResumes(t *testing.T) {
	for _, class := range []string{"read", "gift"} {
		t.Run(class, func(t *testing.T) {
			runTestWith(t, pauseForReceipts, func(t *testing.T, h *harness) {
				submit := func(id string) {
					h.mustSubmit(t, h.Core, Request{ID: id, Class: class, Key: "k", Payload: Payload{Body: []byte("original")}})
					h.wait()
				}
				submit("paused")
				h.submit(t, "heavy", "receipt", "other")
				if h.starts["heavy"] != 1 || len(h.cancelled) != 1 {
					t.Fatalf("starts = %v, cancelled = %v, want heavy started and the other run cancelled", h.starts, h.cancelled)
				}
				h.completeRun("heavy", RunSucceeded, "first")
				h.sleep(settings().BatchInterval * 10)
				if h.starts["paused"] != 2 || h.bodies["paused"] != "original" {
					t.Fatalf("starts = %v, body at the last start = %q, want paused started twice with its original body", h.starts, h.bodies["paused"])
				}
				submit("duplicate") // only a gift has a key: then it waits for the run
				h.completeRun("paused", RunSucceeded, "second")
				h.wantAnswer(t, "heavy", Served, "first")
				h.wantAnswer(t, "paused", Served, "second")
				if class == "gift" {
					h.wantAnswer(t, "duplicate", Served, "second")
				}
			})
		})
	}
}

// TestCancel_ModeChangesDuringCancel changes the settings from pausing to discarding between
// the request to pause a run and the backend's report. The run is then not paused but starts
// from the beginning.
func TestCancel_ModeChangesDuringCancel(t *testing.T) {
	runTestWith(t, pauseForReceipts, func(t *testing.T, h *harness) {
		h.submit(t, "preempted", "read", "")
		var states []string
		h.runInLoop(h.Core, func() {
			check := h.onTransition
			h.onTransition = func(a *attempt, from, to attemptState) {
				check(a, from, to)
				if a.ID == "preempted" {
					states = append(states, to.String())
				}
				if to == stateCancelling {
					h.settings.CancelMode = decision.CancelDiscard
				}
			}
		})
		h.wait()
		h.submit(t, "heavy", "receipt", "k")
		h.completeRun("heavy", RunSucceeded, "first")
		h.sleep(settings().BatchInterval * 10)
		h.completeRun("preempted", RunSucceeded, "second")
		h.wantAnswer(t, "preempted", Served, "second")
		if got, want := fmt.Sprint(states), "[cancelling queued running finished]"; got != want {
			t.Errorf("states = %s, want %s", got, want)
		}
	})
}
