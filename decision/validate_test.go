package decision

import (
	"math"
	"strings"
	"testing"
	"time"
)

func sound() Settings {
	return Settings{
		Classes: []Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}}, Cores: 1,
		MemoryKB: 1024, RunFactor: 1,
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
		"Linger":            func(s *Settings) { s.Linger = -time.Millisecond },
		"Classes[0].Aim":    func(s *Settings) { s.Classes[0].Aim = 0 },
		"Classes[0].Window": func(s *Settings) { s.Classes[0].Window = -1 },
		"Tenants[1].Quota":  func(s *Settings) { s.Tenants = []Tenant{{Quota: 1}, {Quota: -2}} },
	} {
		s := sound()
		spoil(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), want+":") {
			t.Errorf("%s spoilt: got %v", want, err)
		}
	}
}
