package rollout

import (
	"fmt"
	"testing"
)

// servers returns n servers in two zones.
func servers(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2)})
	}
	return out
}

// settingsPlan returns a plan for four servers with a stage of one server and a stage of
// all servers.
func settingsPlan(id string) *Plan {
	return &Plan{
		ID: id, Kind: Settings, Servers: servers(4), Stages: []Stage{{0, 1, 0, 9}, {1, 1, 0, 9}}, MinWatchWindows: 1, MaxWatchWindows: 1,
		Limits: DefaultLimits(),
	}
}

// TestServerOrder_SpreadsStagesOverZones checks that the cohort of a stage has the same
// number of servers from each zone.
func TestServerOrder_SpreadsStagesOverZones(t *testing.T) {
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
		t.Errorf("number of servers in the cohort of stage 1, by zone = %v, want 2 in each of z0 and z1", zones)
	}
	if p.nextStageIsSmall(0) || len(p.firstTestedServers()) != 1 {
		t.Errorf("nextStageIsSmall(0) = %v, want false; firstTestedServers() has %d servers, want 1", p.nextStageIsSmall(0), len(p.firstTestedServers()))
	}
}
