// Command fault-soak runs processes of the app server under overlapping faults, one seed after
// another, and checks the outcomes that their clients saw against the platform's rules. It
// prints a line for each seed and for each violation. The exit code is 0 if no seed broke a
// rule, 1 if one did, and 2 if the soak itself failed.
//
//	go run ./cmd/fault-soak --seeds 20 --nodes 12 --seconds 30
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"quincerail.example/quincerail/internal/faultsoak"
	"quincerail.example/quincerail/internal/fleettest"
)

// command is the command line.
type command struct {
	First   uint64   `default:"1"  help:"First seed."`
	Seeds   uint64   `default:"5"  help:"Number of seeds to run, one after another."`
	Nodes   int      `default:"12" help:"Number of concurrent processes of the app server (10 to 40)."`
	Seconds int      `default:"20" help:"Duration of the faults for each seed, in seconds."`
	Binary  string   `help:"Path of the app server's program; built from source if empty." type:"path"`
	System  bool     `help:"Also inject failing system calls and steps of Unix time; builds the program with the fault layer."`
	Without []string `help:"Client behaviours to leave out, to isolate the cause of a violation."`
	Logs    string   `help:"Folder for the nodes' logs of seeds that broke a rule; none are kept if empty." type:"path"`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Runs app server processes under overlapping faults and checks the platform's rules."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	violating, err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if violating > 0 {
		fmt.Printf("%d of %d seeds broke a rule\n", violating, c.Seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds, no rule broken\n", c.Seeds)
}

// run runs the seeds and returns the number of seeds that broke a rule. It stops at the first
// error of the soak itself.
func (c command) run(ctx context.Context) (violating int, err error) {
	dir, err := os.MkdirTemp("", "fault-soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a failure only leaves temporary files behind
	if c.Binary == "" {
		build := fleettest.Build
		if c.System {
			build = faultsoak.BuildWithFaults
		}
		if c.Binary, err = build(dir); err != nil {
			return 0, err
		}
	}
	for seed := c.First; seed < c.First+c.Seeds; seed++ {
		result, err := faultsoak.Soak(ctx, faultsoak.SoakOptions{
			Seed: seed, Nodes: c.Nodes, Duration: time.Duration(c.Seconds) * time.Second, Binary: c.Binary,
			Dir: filepath.Join(dir, fmt.Sprint(seed)), Faults: c.System, Without: c.Without,
		})
		if err != nil {
			return violating, err
		}
		printResult(seed, result)
		if !result.Broken() {
			continue
		}
		violating++
		if err := c.keepLogs(seed, result); err != nil {
			return violating, err
		}
	}
	return violating, nil
}

// printResult prints the counts, the violations and the failures of one seed.
func printResult(seed uint64, r faultsoak.SoakResult) {
	fmt.Printf("seed %d: %d requests, outcomes %v, late %d, crossed %d, excused %d, events %v\n",
		seed, r.Requests, r.Outcomes, len(r.Late), r.Crossed, r.Excused, r.Events)
	for _, v := range r.Violations {
		fmt.Println("  broken:", v)
	}
	for _, failure := range r.Failures {
		fmt.Println("  failed:", failure)
	}
	for _, line := range r.Reported {
		fmt.Println("  reported by the node:", line)
	}
}

// keepLogs writes the nodes' logs of a seed to the folder c.Logs, if it is set.
func (c command) keepLogs(seed uint64, r faultsoak.SoakResult) error {
	if c.Logs == "" {
		return nil
	}
	if err := os.MkdirAll(c.Logs, 0o755); err != nil {
		return err
	}
	for name, lines := range r.Logs {
		path := filepath.Join(c.Logs, fmt.Sprintf("seed-%d-%s.log", seed, name))
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
	}
	return nil
}
