package decision

import (
	"math"
	"strings"
	"testing"
	"time"
)

func sound() Settings {
	return Settings{
		Classes: []Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1}}, Cores: 1,
		MemoryKB: 1024, RunningMemoryFactor: 1,
	}
}

// TestValidate has every kind of setting that makes no sense named by its path.
func TestValidate(t *testing.T) {
	if err := sound().Validate(); err != nil {
		t.Fatalf("sound settings: %v", err)
	}
	for want, spoil := range map[string]func(*Settings){
		"classes":           func(s *Settings) { s.Classes = nil },
		"Cores":             func(s *Settings) { s.Cores = 0 },
		"MemoryKB":          func(s *Settings) { s.MemoryKB = math.NaN() },
		"Linger":            func(s *Settings) { s.AbandonedCallDuration = -time.Millisecond },
		"Classes[0].Aim":    func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes[0].Window": func(s *Settings) { s.Classes[0].KeyWindow = -1 },
		"Tenants[1].Quota":  func(s *Settings) { s.Tenants = []Tenant{{Quota: 1}, {Quota: -2}} },
	} {
		s := sound()
		spoil(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), want+":") {
			t.Errorf("%s spoilt: got %v", want, err)
		}
	}
}
