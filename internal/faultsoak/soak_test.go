package faultsoak

import (
	"testing"
	"time"
)

// playSoak plays a short soak. Longer ones, over many seeds, are for the command
// fault-soak.
func playSoak(t *testing.T, opt SoakOptions) {
	t.Helper()
	opt.Nodes, opt.Duration, opt.Dir = 4, 8*time.Second, t.TempDir()
	result, err := Soak(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, outcomes %v, late %d, crossed %d, excused %d, events %v", result.Requests, result.Outcomes,
		len(result.Late), result.Crossed, result.Excused, result.Events)
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

// TestSoak has all faults but those of the system below.
func TestSoak(t *testing.T) {
	playSoak(t, SoakOptions{Seed: 1, Binary: builtProgram})
}

// TestSoakWithSystemFaults has system calls fail and Unix time stepped beside.
func TestSoakWithSystemFaults(t *testing.T) {
	withFaults, err := BuildWithFaults(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	playSoak(t, SoakOptions{Seed: 2, Binary: withFaults, Faults: true})
}

// TestSoakWithCrowds has crowds of clients that ask beside.
func TestSoakWithCrowds(t *testing.T) {
	playSoak(t, SoakOptions{Seed: crowdEvery, Binary: builtProgram})
}
