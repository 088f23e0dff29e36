package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// SoakOptions are what a soak is made of.
type SoakOptions struct {
	Seed     uint64
	Nodes    int
	Duration time.Duration // of the faults; the clients' last answers come after it
	Binary   string
	Dir      string
	Env      []string
	Faults   bool // Binary is of a build with faults
	// Without names kinds of clients that are left out, so as to tell causes apart.
	Without []string
}

// crowdEvery is of how many seeds one has crowds of clients that ask.
const crowdEvery = 3

func (opt SoakOptions) crowded() bool { return opt.Seed%crowdEvery == 0 }

// stopTimes are what stop_ms is, by seed: longer than the platform waits at the least, or
// shorter.
var stopTimes = []int{6000, 3300, 1900}

// SoakResult is what a soak found.
type SoakResult struct {
	Report

	Requests int
	Events   map[EventKind]int
	Failures []string            // steps of the soak that failed, and processes that ended by themselves
	Reported []string            // violations that the nodes logged themselves
	Logs     map[string][]string // of each node
}

// Broken reports whether the soak found anything.
func (r SoakResult) Broken() bool {
	return len(r.Violations)+len(r.Failures)+len(r.Reported) > 0
}

// soak is one at work.
type soak struct {
	opt     SoakOptions
	history History
	serial  atomic.Int64

	mu       sync.Mutex
	failures []string
}

// Soak runs nodes under faults drawn from a seed, and judges what their clients saw.
// The faults of a seed are the same each time, their timing against the processes' work
// is not.
func Soak(ctx context.Context, opt SoakOptions) (SoakResult, error) {
	s := &soak{opt: opt}
	nodes, err := s.start()
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	if err != nil {
		return SoakResult{}, err
	}
	faults, endFaults := context.WithCancel(ctx)
	defer endFaults()
	asking, endAsking := context.WithCancel(ctx)
	defer endAsking()
	var operators, clients sync.WaitGroup
	for i, n := range nodes {
		draws := uint64(0)
		rngs := func() *rand.Rand {
			draws++
			return rand.New(rand.NewPCG(opt.Seed, uint64(i)<<16|draws))
		}
		p := &population{node: n, history: &s.history, serial: &s.serial, unanswered: make(chan Ask, maxUnanswered)}
		o := &operator{node: n, history: &s.history, clients: p, crowds: opt.crowded(), fail: s.fail}
		go o.watch(faults)
		o.play(faults, rngs, &operators)
		for _, b := range behaviours {
			rng := rngs()
			if slices.Contains(opt.Without, b.name) {
				continue
			}
			clients.Go(func() { p.run(asking, b.do, rng) })
		}
	}
	pause(ctx, opt.Duration)
	endFaults()
	operators.Wait()
	for _, n := range nodes {
		_ = n.Signal(syscall.SIGCONT) // it may have ended
	}
	endAsking()
	clients.Wait()
	return s.result(nodes), ctx.Err()
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *soak) start() (nodes []*Node, err error) {
	config, err := DefaultConfig()
	if err != nil {
		return nil, err
	}
	config["stop_ms"] = stopTimes[s.opt.Seed/crowdEvery%uint64(len(stopTimes))]
	for i := range s.opt.Nodes {
		name := fmt.Sprintf("n%d", i+1)
		dir := filepath.Join(s.opt.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nodes, fmt.Errorf("faultsoak: %w", err)
		}
		n, err := StartNode(NodeConfig{
			Name: name, Binary: s.opt.Binary, Dir: dir, Config: config, Took: 5 * time.Millisecond, Env: s.opt.Env,
			Faults: s.opt.Faults, Inherit: i%2 == 1, Keys: i%4 == 0,
		})
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
		n.Ready()
	}
	return nodes, nil
}

// result judges the soak once clients and operators have ended.
func (s *soak) result(nodes []*Node) SoakResult {
	var runs []Run
	logs := map[string][]string{}
	var reported []string
	for _, n := range nodes {
		runs = append(runs, n.Runs()...)
		logs[n.Name] = n.Log()
		for _, line := range logs[n.Name] {
			if strings.Contains(line, "event=rule_violation") && !strings.Contains(line, "rule=late_answer") {
				reported = append(reported, n.Name+": "+line)
			}
		}
	}
	terms := DefaultTerms
	terms.DurableKeys = map[string]bool{}
	for _, n := range nodes {
		terms.DurableKeys[n.Name] = n.Keys
	}
	result := SoakResult{Report: Check(&s.history, runs, terms), Failures: s.failures, Reported: reported, Logs: logs}
	result.Requests, result.Events = s.history.counts()
	return result
}

// counts gives how many requests were asked and how often each event was played.
func (h *History) counts() (requests int, events map[EventKind]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	events = map[EventKind]int{}
	for _, e := range h.events {
		events[e.Kind]++
	}
	return len(h.requests), events
}
