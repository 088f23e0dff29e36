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

func steps(f *Fleet, rounds int) {
	for range rounds {
		f.Step()
	}
}

const historyMembers = 30

// randomHistory plays a random history: partitions into groups that change,
// members isolated, paused, killed and restarted, the allocator's leader moving.
// Then all heals.
func randomHistory(t *testing.T, seed uint64) *Fleet {
	t.Helper()
	f, err := New(testConfig(historyMembers, seed))
	if err != nil {
		t.Fatal(err)
	}
	steps(f, 100)
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
		steps(f, 20+f.rng.IntN(150))
	}
	heal(t, f)
	f.config.ReshuffleRounds = 0
	f.ElectLeader(0)
	steps(f, 400) // more than two session timeouts
	return f
}

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
		if f.nodes[i].dead {
			restart(t, f, i)
		}
	}
}

func heal(t *testing.T, f *Fleet) {
	t.Helper()
	f.Partition(func(int) int { return 0 })
	for i, n := range f.nodes {
		f.Pause(i, false)
		if n.dead {
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

// TestHistories checks that the budget holds in each round of random histories
// (seeded), and that all rights are accounted for and in use after healing.
func TestHistories(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := randomHistory(t, seed)
			if f.Overshoot() > 0 {
				t.Errorf("%d in use beyond the budget", f.Overshoot())
			}
			held, free := f.Rights()
			if sum := held + free; sum > f.config.Capacity || sum < f.config.Capacity*95/100 {
				t.Errorf("%d rights held and %d free of %d", held, free, f.config.Capacity)
			}
			if inUse, demand := f.Served(); float64(inUse) < 0.9*float64(demand) {
				t.Errorf("%d of %d served", inUse, demand)
			}
		})
	}
}

// TestConverges heals a fleet that was partitioned into halves: all know what any
// knew within 40 rounds, and the budget is used again.
func TestConverges(t *testing.T) {
	f, err := New(testConfig(100, 1))
	if err != nil {
		t.Fatal(err)
	}
	steps(f, 150)
	f.Partition(func(i int) int { return i % 2 })
	steps(f, 50)
	f.Partition(func(int) int { return 0 })
	heartbeats, rounds := f.LatestHeartbeats(), 0
	for !f.Converged(heartbeats) && rounds < 200 {
		f.Step()
		rounds++
	}
	if rounds > 40 {
		t.Errorf("all know after %d rounds", rounds)
	}
	steps(f, 49)
	if inUse, demand := f.Served(); f.Overshoot() > 0 || float64(inUse) < 0.9*float64(demand) {
		t.Errorf("overshoot %d, %d of %d served", f.Overshoot(), inUse, demand)
	}
}

// TestSameSeed checks that a seed gives one history, with members that die and an
// allocator's leader that moves.
func TestSameSeed(t *testing.T) {
	play := func() *Fleet {
		f, err := New(testConfig(10, 1))
		if err != nil {
			t.Fatal(err)
		}
		steps(f, 50)
		f.Kill(3)
		f.Kill(7)
		f.ElectLeader(1)
		steps(f, 300) // the dead are fenced, and their rights reclaimed
		restart(t, f, 3)
		f.ElectLeader(2)
		steps(f, 50)
		return f
	}
	a, b := play(), play()
	if a.MeanSentBytes() != b.MeanSentBytes() || !maps.Equal(a.LatestHeartbeats(), b.LatestHeartbeats()) {
		t.Errorf("sent %.1f bytes, then %.1f", a.MeanSentBytes(), b.MeanSentBytes())
	}
}
