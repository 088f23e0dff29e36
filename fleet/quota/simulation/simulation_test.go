package simulation

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/quota"
)

func testConfig(members int, seed uint64) Config {
	return Config{
		Members: members, Capacity: uint64(members) * 8, Seed: seed, RoundInterval: 200 * time.Millisecond, Fanout: 3, MaxMessageBytes: 1400,
		LossRate: 0.05, DuplicateRate: 0.02, DelayRate: 0.02, MaxClockDrift: 0.05, Load: 1.2, Skew: 0.8, ReshuffleRounds: 100,
		Timing: quota.Timing{SessionTimeout: 20 * time.Second, MaxClockDrift: 0.05, MaxHoldTime: 400 * time.Millisecond, HeartbeatInterval: 2 * time.Second},
	}
}

// runRounds calls Step once for each round.
func runRounds(f *Fleet, rounds int) {
	for range rounds {
		f.Step()
	}
}

const historyMembers = 30

// runRandomHistory runs a fleet with changing partitions, members that are paused,
// killed and restarted, and changes of the allocator's leader. At the end it heals all
// faults and runs the fleet for more than two session timeouts.
func runRandomHistory(t *testing.T, seed uint64) *Fleet {
	t.Helper()
	f, err := New(testConfig(historyMembers, seed))
	if err != nil {
		t.Fatal(err)
	}
	runRounds(f, 100)
	for range 12 {
		groups := 1 + f.rng.IntN(3)
		f.Partition(func(int) int { return f.rng.IntN(groups) })
		for range 3 {
			randomFault(t, f)
		}
		for range 5 {
			if f.ElectLeader(f.rng.IntN(historyMembers)) {
				break
			}
		}
		runRounds(f, 20+f.rng.IntN(150))
	}
	heal(t, f)
	f.config.ReshuffleRounds = 0
	f.ElectLeader(0)
	runRounds(f, 400) // more than two session timeouts
	return f
}

// randomFault pauses, resumes, kills or restarts a random member.
func randomFault(t *testing.T, f *Fleet) {
	t.Helper()
	switch i := f.rng.IntN(historyMembers); f.rng.IntN(4) {
	case 0:
		f.Pause(i, true)
	case 1:
		f.Pause(i, false)
	case 2:
		f.Kill(i)
	case 3:
		if f.nodes[i].killed {
			restart(t, f, i)
		}
	}
}

// heal ends the partition, resumes paused members and restarts killed ones.
func heal(t *testing.T, f *Fleet) {
	t.Helper()
	f.Partition(func(int) int { return 0 })
	for i, n := range f.nodes {
		f.Pause(i, false)
		if n.killed {
			restart(t, f, i)
		}
	}
}

func restart(t *testing.T, f *Fleet, i int) {
	t.Helper()
	if err := f.Restart(i); err != nil {
		t.Fatal(err)
	}
}

// TestRandomHistories_KeepBudget checks for several seeds that no round of a random
// history exceeds the budget. After all faults have healed, at least 95% of the rights
// must be held or free, and units in use must be at least 90% of the demand or the
// budget, whichever is smaller.
func TestRandomHistories_KeepBudget(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := runRandomHistory(t, seed)
			if f.Overshoot() > 0 {
				t.Errorf("Overshoot() = %d, want at most 0", f.Overshoot())
			}
			held, free := f.Rights()
			if sum := held + free; sum > f.config.Capacity || sum < f.config.Capacity*95/100 {
				t.Errorf("Rights() = %d held, %d free, want a sum of 95%% to 100%% of %d", held, free, f.config.Capacity)
			}
			if inUse, demand := f.Utilization(); float64(inUse) < 0.9*float64(demand) {
				t.Errorf("Utilization() = %d units in use of %d (the demand or the budget), want at least 90%%", inUse, demand)
			}
		})
	}
}

// TestPartition_ConvergesAfterHealing heals a fleet that was partitioned into halves.
// Within 40 rounds all members must know the heartbeats that were the latest at the
// healing. 49 rounds later, units in use must be at least 90% of the demand or the
// budget, whichever is smaller, and the budget must never have been exceeded.
func TestPartition_ConvergesAfterHealing(t *testing.T) {
	f, err := New(testConfig(100, 1))
	if err != nil {
		t.Fatal(err)
	}
	runRounds(f, 150)
	f.Partition(func(i int) int { return i % 2 })
	runRounds(f, 50)
	f.Partition(func(int) int { return 0 })
	heartbeats, rounds := f.LatestHeartbeats(), 0
	for !f.Converged(heartbeats) && rounds < 200 {
		f.Step()
		rounds++
	}
	if rounds > 40 {
		t.Errorf("the fleet converged after %d rounds, want at most 40", rounds)
	}
	runRounds(f, 49)
	if inUse, demand := f.Utilization(); f.Overshoot() > 0 || float64(inUse) < 0.9*float64(demand) {
		t.Errorf("Overshoot() = %d, %d units in use of %d (the demand or the budget); want no overshoot and at least 90%%", f.Overshoot(), inUse, demand)
	}
}

// TestSameSeed_GivesSameHistory checks that two runs with one seed send the same bytes
// and heartbeats, with killed members and changes of the allocator's leader.
func TestSameSeed_GivesSameHistory(t *testing.T) {
	run := func() *Fleet {
		f, err := New(testConfig(10, 1))
		if err != nil {
			t.Fatal(err)
		}
		runRounds(f, 50)
		f.Kill(3)
		f.Kill(7)
		f.ElectLeader(1)
		runRounds(f, 300) // the killed members are fenced, and their rights reclaimed
		restart(t, f, 3)
		f.ElectLeader(2)
		runRounds(f, 50)
		return f
	}
	a, b := run(), run()
	if a.MeanSentBytes() != b.MeanSentBytes() || !maps.Equal(a.LatestHeartbeats(), b.LatestHeartbeats()) {
		t.Errorf("two runs with one seed differ: %.1f and %.1f bytes sent per member, heartbeats %v and %v",
			a.MeanSentBytes(), b.MeanSentBytes(), a.LatestHeartbeats(), b.LatestHeartbeats())
	}
}
