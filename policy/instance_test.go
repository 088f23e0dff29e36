package policy

import (
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
)

// TestNewNamesTheInvalidSetting has each invalid setting named by the error of New.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	for field, spoil := range map[string]func(*decision.Settings){
		"Cores":          func(s *decision.Settings) { s.Cores = 0 },
		"classes":        func(s *decision.Settings) { s.Classes = nil },
		"Classes[1].Aim": func(s *decision.Settings) { s.Classes[1].LatencyObjective = -1 },
		"Linger":         func(s *decision.Settings) { s.AbandonedCallDuration = -1 },
		"MemoryKB":       func(s *decision.Settings) { s.MemoryKB = -1 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("spoiled %s: error %v does not name it", field, err)
		}
	}
}

// TestUpdateSettingsRecountsMemory changes the settings that reserved memory follows from,
// while requests are in flight: the account must return to zero with the last of them.
func TestUpdateSettingsRecountsMemory(t *testing.T) {
	s := settings()
	in, _ := start(t, s)
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
	for range 2 { // the keys that were kept go with their windows
		now += time.Hour
		in.Tick(now, 0, decision.Gauges{CoreUtilization: -1, RunnableTasks: -1, MemoryUtilization: -1, Connections: -1})
	}
	if in.reservedKB != 0 {
		t.Errorf("%v KB are taken by nothing", in.reservedKB)
	}
	if s.Classes = s.Classes[:len(s.Classes)-1]; in.UpdateSettings(now, s) == nil {
		t.Error("a class may lose its place")
	}
}
