package policy

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestDrain_ShedsArrivalsAfterGraceAndAnswersAllBeforeItsEnd(t *testing.T) {
	s := testSettings()
	in, host := startInstance(t, s)
	in.Drain(0, 4*time.Second)
	in.RequestReceived(time.Second, decision.Request{ID: "early", Class: 1, ReservedKB: 1})
	in.Decide(time.Second)
	in.RequestReceived(3*time.Second, decision.Request{ID: "late", Class: 1, ReservedKB: 1})
	in.Decide(3 * time.Second)
	if host.count("run early") != 1 || host.count("refuse late") != 1 {
		t.Errorf("actions = %v, want the arrival within DrainGrace run and the later one shed", host.actions)
	}
	in.Decide(4*time.Second - in.timerInterval)
	if host.count("fail early") != 1 {
		t.Errorf("actions before the end of the drain = %v, want the running request failed", host.actions)
	}
}

func TestDrainState_LimitAnswerDeadline(t *testing.T) {
	drain := drainState{stopAt: time.Second}
	if got := drain.limitAnswerDeadline(2*time.Second, 20*ms); got != 2*time.Second {
		t.Errorf("limitAnswerDeadline = %v without a drain, want it unchanged", got)
	}
	drain.started = true
	for answerBy, want := range map[time.Duration]time.Duration{
		2 * time.Second: 960 * ms,
		500 * ms:        500 * ms,
	} {
		if got := drain.limitAnswerDeadline(answerBy, 20*ms); got != want {
			t.Errorf("limitAnswerDeadline(%v) = %v, want %v", answerBy, got, want)
		}
	}
}
