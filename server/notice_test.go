package server_test

import (
	"testing"
	"time"
)

// TestDrain_GraceCountsFromNotice guards against a notice to drain that arrives while the process
// starts and counts from the end of the start: on each frontend, a request whose rest is read after
// the grace that counts from the notice's arrival does not run.
func TestDrain_GraceCountsFromNotice(t *testing.T) {
	const grace = time.Second // of shortGrace
	for _, f := range serverFrontends {
		t.Run(f.name, func(t *testing.T) {
			h := newHarness(t, shortGrace)
			late := f.open(t, h, "kampanjsida", "", "late")
			mustSucceed(t, late.SendHalf())
			go func() {
				h.ShutdownFrom(time.Now().Add(-grace))
				close(h.drained)
			}()
			h.waitReport(t, false)
			_ = late.Send() // fails if the connection is closed: the request has its answer then
			if got := outcome(t, late); got.Kind != "refused" || h.work.Runs("late") != 0 {
				t.Errorf("outcome of a request read after the grace = %s with %d runs, want refused without a run", got.Kind, h.work.Runs("late"))
			}
			<-h.drained
		})
	}
}
