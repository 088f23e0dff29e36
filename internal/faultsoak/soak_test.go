package faultsoak

import (
	"testing"
	"time"
)

// TestSoak plays a short soak. Longer ones, over many seeds, are for the command
// fault-soak.
func TestSoak(t *testing.T) {
	result, err := Soak(t.Context(), SoakOptions{
		Seed: 1, Nodes: 4, Duration: 8 * time.Second, Binary: binary, Dir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, outcomes %v, crossed %d, excused %d, events %v", result.Requests, result.Outcomes,
		result.Crossed, result.Excused, result.Events)
	for _, v := range result.Violations {
		t.Error(v)
	}
	for _, failure := range result.Failures {
		t.Error(failure)
	}
	for _, line := range result.Reported {
		t.Error(line)
	}
}
