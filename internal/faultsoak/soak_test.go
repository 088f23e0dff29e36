package faultsoak

import (
	"testing"
	"time"
)

// runSoak runs a short soak and fails the test for each finding. The command fault-soak runs
// longer soaks over many seeds.
func runSoak(t *testing.T, opt SoakOptions) {
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

// TestSoak_ProcessAndRelayFaults injects all faults except for failing system calls, clock
// steps and crowds that send requests.
func TestSoak_ProcessAndRelayFaults(t *testing.T) {
	runSoak(t, SoakOptions{Seed: 1, Binary: builtProgram})
}

// TestSoak_SystemFaults also injects failing system calls and clock steps.
func TestSoak_SystemFaults(t *testing.T) {
	withFaults, err := BuildWithFaults(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	runSoak(t, SoakOptions{Seed: 2, Binary: withFaults, Faults: true})
}

// TestSoak_RequestingCrowds also injects crowds of clients that send requests.
func TestSoak_RequestingCrowds(t *testing.T) {
	runSoak(t, SoakOptions{Seed: crowdSeedInterval, Binary: builtProgram})
}
