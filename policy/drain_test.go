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
		t.Errorf("want early run and late refused: %v", r.acts)
	}
	in.Decide(4*time.Second - in.timerInterval)
	if r.count("fail early") != 1 {
		t.Errorf("running work without an answer at the stop: %v", r.acts)
	}
}
