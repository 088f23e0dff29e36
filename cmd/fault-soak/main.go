// Command fault-soak runs real processes of the program under overlapping faults, seed
// after seed, and judges what their clients saw by the platform's rules. It prints a line
// for each seed, and each broken rule. Its exit code is 0 if no rule was broken, 1 if one
// was, and 2 if the soak itself failed.
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
	Seeds   uint64   `default:"5"  help:"How many seeds to play, one after the other."`
	Nodes   int      `default:"12" help:"Processes of the program at a time (10 to 40)."`
	Seconds int      `default:"20" help:"How long faults are played for each seed."`
	Binary  string   `help:"The program; built from the source where it is not given."                type:"path"`
	System  bool     `help:"Also have system calls fail and Unix time stepped; builds the program with the fault layer."`
	Without []string `help:"Kinds of clients to leave out, so as to tell causes apart."`
	Logs    string   `help:"Folder for the logs of the nodes of seeds that broke a rule."             type:"path"`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Plays overlapping faults on real processes and checks the platform's rules."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	broken, err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if broken > 0 {
		fmt.Printf("%d of %d seeds broke a rule\n", broken, c.Seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds, no rule broken\n", c.Seeds)
}

// run plays the seeds and returns how many broke a rule. It stops at the first error of the
// soak itself.
func (c command) run(ctx context.Context) (broken int, err error) {
	dir, err := os.MkdirTemp("", "fault-soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an error leaves files in the system's folder for temporary files
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
			return broken, err
		}
		printResult(seed, result)
		if !result.Broken() {
			continue
		}
		broken++
		if err := c.keepLogs(seed, result); err != nil {
			return broken, err
		}
	}
	return broken, nil
}

// printResult prints what one seed found.
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

// keepLogs writes the nodes' logs, where a folder was given for them.
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
