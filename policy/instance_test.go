package policy

import (
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

func TestNew_NamesTheInvalidSetting(t *testing.T) {
	for name, makeInvalid := range map[string]func(*decision.Settings){
		"Cores":          func(s *decision.Settings) { s.Cores = 0 },
		"classes":        func(s *decision.Settings) { s.Classes = nil },
		"Classes[1].Aim": func(s *decision.Settings) { s.Classes[1].LatencyObjective = -1 },
		"Linger":         func(s *decision.Settings) { s.AbandonedCallDuration = -1 },
		"MemoryKB":       func(s *decision.Settings) { s.MemoryKB = -1 },
	} {
		s := testSettings()
		makeInvalid(&s)
		if _, err := New(s, 1, &recordingHost{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("New with invalid %s: error = %v, want one that names it", name, err)
		}
	}
}

// The memory settings change while requests are in flight. The reserved memory must return to
// zero when the last request ends.
func TestUpdateSettings_RecountsReservedMemory(t *testing.T) {
	s := testSettings()
	in, _ := startInstance(t, s)
	now := time.Second
	for _, id := range []string{"a", "b"} {
		in.RequestReceived(now, decision.Request{ID: id, Class: 0, ReservedKB: 10})
	}
	in.Decide(now)
	s.RunningMemoryFactor, s.KeyMemoryKB = 2*s.RunningMemoryFactor, 3*s.KeyMemoryKB
	if err := in.UpdateSettings(now, s); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"a", "b"} {
		in.RunDone(now, id, decision.Succeeded, 0)
	}
	in.Decide(now)
	for range 2 { // expires cached results
		now += time.Hour
		in.Tick(now, 0, decision.Gauges{
			CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1,
		})
	}
	if in.reservedKB != 0 {
		t.Errorf("%v KB reserved without requests or cached results, want 0", in.reservedKB)
	}
	if s.Classes = s.Classes[:len(s.Classes)-1]; in.UpdateSettings(now, s) == nil {
		t.Error("UpdateSettings with a class removed = nil, want an error")
	}
}
