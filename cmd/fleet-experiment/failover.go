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

// failoverCmd ends owners, one after the other, at drawn moments.
type failoverCmd struct {
	Trials   int    `default:"100" help:"Owners to end, half killed and half paused."`
	Election int    `default:"1000" help:"Election time-out and lease, in ms."`
	Seed     uint64 `default:"1"`
}

// Run implements the sub-command.
func (c *failoverCmd) Run() error {
	options := fleettest.Options{
		Voters: failoverVoters, Seed: c.Seed,
		Settings: map[string]any{"election_ms": c.Election, "lease_ms": c.Election, "probe_ms": 50},
	}
	return withFleet(options, c.measure)
}

// failoverTimes are how long lease owners took to be succeeded, by how they ended.
type failoverTimes struct{ killed, paused []time.Duration }

func (c *failoverCmd) measure(fleet *fleettest.Fleet) error {
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	if _, err := fleet.AwaitWrite("the first act", 0, func(a fakes.FencedWrite) bool { return a.Accepted }); err != nil {
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
	printActs(fleet)
	return nil
}

// replaceOwner ends the present owner, by SIGKILL or SIGSTOP, waits for the next
// owner's first act, and brings the former one back. It returns the time between.
func replaceOwner(fleet *fleettest.Fleet, kill bool) (time.Duration, error) {
	acts, _ := fleet.Registry.Writes()
	owner := acts[len(acts)-1]
	firstLine := len(fleet.Lines())
	began := time.Now()
	if err := endOwner(fleet, owner.By, kill); err != nil {
		return 0, err
	}
	next, err := fleet.AwaitWrite("the next owner's act", len(acts), func(a fakes.FencedWrite) bool {
		return a.Accepted && a.Token.Compare(owner.Token) > 0
	})
	if err != nil {
		return 0, err
	}
	if err := bringBack(fleet, owner.By, kill); err != nil {
		return 0, err
	}
	_, err = fleet.Await("the lease's change at "+owner.By, firstLine, func(l fleettest.Line) bool {
		return l.Child == owner.By && l.Event == "lease" && fleettest.ParseToken(l.Fields["token"]).Compare(next.Token) >= 0
	})
	return next.At.Sub(began), err
}

func endOwner(fleet *fleettest.Fleet, name string, kill bool) error {
	if kill {
		return fleet.Kill(name)
	}
	return fleet.Signal(name, syscall.SIGSTOP)
}

func bringBack(fleet *fleettest.Fleet, name string, killed bool) error {
	if killed {
		return fleet.Launch(name)
	}
	return fleet.Signal(name, syscall.SIGCONT)
}

func (c *failoverCmd) print(times failoverTimes) {
	fmt.Println("| owner | trials | p50 | p99 | most | in election time-outs (p99) |\n| --- | --- | --- | --- | --- | --- |")
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

// printActs counts the acts at the registry, and those that its fence had to refuse.
func printActs(fleet *fleettest.Fleet) {
	acts, _ := fleet.Registry.Writes()
	stale, refused := 0, 0
	var highest lease.Token
	for _, a := range acts {
		switch {
		case !a.Accepted:
			refused++
		case a.Token.Compare(highest) < 0:
			stale++
		default:
			highest = a.Token
		}
	}
	fmt.Printf("\n%d acts, %d refused as stale, %d stale accepted; violations: %v\n", len(acts), refused, stale, fleet.Violations())
}
