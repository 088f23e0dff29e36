package decision

import (
	"math"
	"strings"
	"testing"
	"time"
)

func validSettings() Settings {
	return Settings{
		Classes: []Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1}}, Cores: 1,
		MemoryKB: 1024, RunningMemoryFactor: 1,
	}
}

func TestValidate_NamesTheInvalidSetting(t *testing.T) {
	if err := validSettings().Validate(); err != nil {
		t.Fatalf("Validate() of valid settings = %v, want nil", err)
	}
	for name, makeInvalid := range map[string]func(*Settings){
		"classes":           func(s *Settings) { s.Classes = nil },
		"Cores":             func(s *Settings) { s.Cores = 0 },
		"MemoryKB":          func(s *Settings) { s.MemoryKB = math.NaN() },
		"Linger":            func(s *Settings) { s.AbandonedCallDuration = -time.Millisecond },
		"Classes[0].Aim":    func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes[0].Window": func(s *Settings) { s.Classes[0].KeyWindow = -1 },
		"Tenants[1].Quota":  func(s *Settings) { s.Tenants = []Tenant{{Quota: 1}, {Quota: -2}} },
	} {
		s := validSettings()
		makeInvalid(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), name+":") {
			t.Errorf("Validate() with invalid %s = %v, want an error that names it", name, err)
		}
	}
}
