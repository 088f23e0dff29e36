// Command fleet-experiment measures fleets: as processes on loopback, and in the simulations of
// the quota and of rollouts. CI does not run it. docs/fleet.md, docs/share.md and
// docs/rollout.md have its tables.
//
//	go run ./cmd/fleet-experiment failover --trials 100
//	go run ./cmd/fleet-experiment traffic --members 295
//	go run ./cmd/fleet-experiment share
//	go run ./cmd/fleet-experiment rollout
package main

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"quincerail.example/quincerail/internal/fleettest"
)

// awaitTimeout limits each wait for a log line of a process or for a fenced write, during the
// start of the fleet and after it (fleettest.Options.Within).
const awaitTimeout = 2 * time.Minute

type cli struct {
	Failover failoverCmd `cmd:"" help:"Time from the stop of a lease owner to the first fenced write of its successor."`
	Traffic  trafficCmd  `cmd:"" help:"Messages, bytes and CPU time per member of an idle fleet."`
	Quota    quotaCmd    `cmd:"" name:"share" help:"Simulates network partitions of a fleet that shares a quota; writes a table and charts."`
	Rollout  rolloutCmd  `cmd:"" help:"Simulates rollouts of good and bad changes; writes a table and a chart."`
}

func main() {
	c := cli{}
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(ctx.Run())
}

// withFleet builds the program, starts a fleet of it, and runs an experiment on it.
func withFleet(options fleettest.Options, experiment func(*fleettest.Fleet) error) (err error) {
	dir, err := os.MkdirTemp("", "fleet-experiment")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	if options.Binary, err = fleettest.Build(dir); err != nil {
		return err
	}
	options.Dir, options.Example, options.Within = dir, filepath.Join("example", "config.json"), awaitTimeout
	fleet, err := fleettest.Start(options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	return experiment(fleet)
}
