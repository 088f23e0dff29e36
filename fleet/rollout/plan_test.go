package rollout

import (
	"fmt"
	"testing"
)

func servers(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2)})
	}
	return out
}

func settingsPlan(id string) *Plan {
	return &Plan{
		ID: id, Kind: Settings, Servers: servers(4), Stages: []Stage{{0, 1, 0, 9}, {1, 1, 0, 9}}, MinWatchWindows: 1, MaxWatchWindows: 1,
		Limits: DefaultLimits(),
	}
}

// TestServerOrder spreads each stage over the zones.
func TestServerOrder(t *testing.T) {
	p := settingsPlan("a")
	p.From, p.To, p.Servers = "0", "1", servers(20)
	p.Stages = []Stage{{0, 1, 0, 9}, {0.2, 1, 0, 9}, {1, 1, 0, 9}}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	zones := map[string]int{}
	for _, s := range p.serverOrder()[:p.cohortSize(1)] {
		zones[s.Zone]++
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("the second stage is %v", zones)
	}
	if p.nextStageIsSmall(0) || len(p.firstTestedServers()) != 1 {
		t.Errorf("a fifth is small, or %d servers are tested first", len(p.firstTestedServers()))
	}
}
