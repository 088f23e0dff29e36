package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/fleettest"
)

const failoverVoters = 5

// failoverCmd stops lease owners at random times, one after another, and measures how long the
// failover takes.
type failoverCmd struct {
	Trials   int    `default:"100" help:"Number of owners to stop; half are killed and half are paused."`
	Election int    `default:"1000" help:"Election timeout and lease duration, in ms."`
	Seed     uint64 `default:"1"`
}

// Run starts a fleet of voters, and measures the failovers on it.
func (c *failoverCmd) Run() error {
	options := fleettest.Options{
		Voters: failoverVoters, Seed: c.Seed,
		Settings: map[string]any{"election_ms": c.Election, "lease_ms": c.Election, "probe_ms": 50},
	}
	return withFleet(options, c.measure)
}

// failoverTimes holds the failover times by how the owner was stopped: SIGKILL or SIGSTOP.
type failoverTimes struct{ killed, paused []time.Duration }

func (c *failoverCmd) measure(fleet *fleettest.Fleet) error {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	if _, err := fleet.AwaitWrite("the first fenced write", 0, func(w fakes.FencedWrite) bool { return w.Accepted }); err != nil {
		return err
	}
	var times failoverTimes
	for i := range c.Trials {
		time.Sleep(time.Duration(rng.Int64N(int64(c.Election))) * time.Millisecond)
		kill := i%2 == 0
		took, err := replaceOwner(fleet, kill)
		if err != nil {
			return err
		}
		if kill {
			times.killed = append(times.killed, took)
		} else {
			times.paused = append(times.paused, took)
		}
	}
	c.print(times)
	printWrites(fleet)
	return nil
}

// replaceOwner stops the current lease owner by SIGKILL or SIGSTOP, waits for the first fenced
// write of the next owner, and then restarts or continues the former owner. Once the former owner
// has logged the new lease, replaceOwner returns the time from the stop to the write.
func replaceOwner(fleet *fleettest.Fleet, kill bool) (time.Duration, error) {
	writes, _ := fleet.Registry.Writes()
	owner := writes[len(writes)-1]
	firstLine := len(fleet.Lines())
	stoppedAt := time.Now()
	if err := stopOwner(fleet, owner.By, kill); err != nil {
		return 0, err
	}
	next, err := fleet.AwaitWrite("the next owner's fenced write", len(writes), func(w fakes.FencedWrite) bool {
		return w.Accepted && w.Token.Compare(owner.Token) > 0
	})
	if err != nil {
		return 0, err
	}
	if err := resumeOwner(fleet, owner.By, kill); err != nil {
		return 0, err
	}
	_, err = fleet.Await("the new lease in the log of "+owner.By, firstLine, func(l fleettest.Line) bool {
		return l.Child == owner.By && l.Event == "lease" && fleettest.ParseToken(l.Fields["token"]).Compare(next.Token) >= 0
	})
	return next.At.Sub(stoppedAt), err
}

func stopOwner(fleet *fleettest.Fleet, name string, kill bool) error {
	if kill {
		return fleet.Kill(name)
	}
	return fleet.Signal(name, syscall.SIGSTOP)
}

func resumeOwner(fleet *fleettest.Fleet, name string, killed bool) error {
	if killed {
		return fleet.Launch(name)
	}
	return fleet.Signal(name, syscall.SIGCONT)
}

func (c *failoverCmd) print(times failoverTimes) {
	fmt.Println("| owner | trials | p50 | p99 | max | p99 in election timeouts |\n| --- | --- | --- | --- | --- | --- |")
	for _, row := range []struct {
		name  string
		times []time.Duration
	}{{"killed", times.killed}, {"paused", times.paused}, {"both", slices.Concat(times.killed, times.paused)}} {
		n := len(row.times)
		if n == 0 {
			continue
		}
		slices.Sort(row.times)
		p50, p99, longest := row.times[n/2], row.times[(n*99+99)/100-1], row.times[n-1]
		fmt.Printf("| %s | %d | %v | %v | %v | %.2f |\n", row.name, n, p50.Round(time.Millisecond),
			p99.Round(time.Millisecond), longest.Round(time.Millisecond), p99.Seconds()*1000/float64(c.Election))
	}
}

// printWrites prints how many fenced writes the registry received, refused, and accepted with a
// stale token, and the violations of the fencing rules.
func printWrites(fleet *fleettest.Fleet) {
	writes, _ := fleet.Registry.Writes()
	stale, refused := 0, 0
	var highest lease.Token
	for _, w := range writes {
		switch {
		case !w.Accepted:
			refused++
		case w.Token.Compare(highest) < 0:
			stale++
		default:
			highest = w.Token
		}
	}
	fmt.Printf("\n%d fenced writes, %d refused as stale, %d stale accepted; violations: %v\n", len(writes), refused, stale, fleet.Violations())
}
