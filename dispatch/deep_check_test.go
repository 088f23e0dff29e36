package dispatch

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// countingMachine is a Machine that reports its health when the test calls the replies.
type countingMachine struct{ replies []func(bool) }

func (m *countingMachine) ReadGauges(reply func(decision.Gauges)) { reply(decision.Gauges{}) }

func (m *countingMachine) CheckHealth(reply func(bool)) { m.replies = append(m.replies, reply) }

// TestCheckHealth_DeepChecksShareOneReport guards against a client that makes the machine work by
// sending deep health checks at full speed: checks that arrive before the machine has reported
// share its report, and the next one asks again. Without a report all fail in time.
func TestCheckHealth_DeepChecksShareOneReport(t *testing.T) {
	machine := &countingMachine{}
	runTestWith(t, func(o *Options) { o.Machine = machine }, func(t *testing.T, h *harness) {
		h.runInLoop(h.Core, func() { h.health.cached = false })
		var answers []bool
		check := func() { must(t, h.CheckHealth(true, func(healthy bool) { answers = append(answers, healthy) })) }
		for range 3 {
			check()
		}
		h.wait()
		if len(machine.replies) != 1 || len(answers) != 0 {
			t.Fatalf("%d checks of the machine and %d answers before its report, want 1 and 0", len(machine.replies), len(answers))
		}
		machine.replies[0](true)
		h.wait()
		if len(answers) != 3 || !answers[0] || !answers[1] || !answers[2] {
			t.Errorf("answers = %v after the report, want 3 times true", answers)
		}
		check()
		h.sleep(maxDeepCheckWait + time.Millisecond)
		if len(machine.replies) != 2 || len(answers) != 4 || answers[3] {
			t.Errorf("%d checks of the machine, answers = %v without a report; want 2 checks, and false", len(machine.replies), answers)
		}
		machine.replies[1](true) // too late
		h.wait()
		if len(answers) != 4 {
			t.Errorf("%d answers after a late report, want 4", len(answers))
		}
	})
}
