package policy

import (
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestDrainShedsArrivalsAfterTheGraceAndAnswersAll(t *testing.T) {
	s := settings()
	in, r := start(t, s)
	in.Drain(0, 4*time.Second)
	in.RequestReceived(time.Second, decision.Request{ID: "early", Class: 1, ReservedKB: 1})
	in.Decide(time.Second)
	in.RequestReceived(3*time.Second, decision.Request{ID: "late", Class: 1, ReservedKB: 1})
	in.Decide(3 * time.Second)
	if r.count("run early") != 1 || r.count("refuse late") != 1 {
		t.Errorf("want early run and late shed: %v", r.acts)
	}
	in.Decide(4*time.Second - in.timerInterval)
	if r.count("fail early") != 1 {
		t.Errorf("running work without an answer at the stop: %v", r.acts)
	}
}

func TestDrainMovesAnswersBeforeItsEnd(t *testing.T) {
	d := drainState{stopAt: time.Second}
	if got := d.limit(2*time.Second, 20*ms); got != 2*time.Second {
		t.Errorf("answer by %v without a drain", got)
	}
	d.started = true
	for answerBy, want := range map[time.Duration]time.Duration{2 * time.Second: 960 * ms, 500 * ms: 500 * ms} {
		if got := d.limit(answerBy, 20*ms); got != want {
			t.Errorf("answer by %v, want %v", got, want)
		}
	}
}
