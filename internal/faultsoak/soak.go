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
	Binary   string        // path of the program
	Dir      string        // where each node gets a folder
	Env      []string      // of the processes, beside that of this one
	Faults   bool          // Binary is of a build with faults
	Without  []string      // the behaviours of clients to leave out, so as to tell causes apart
}

// crowdEvery is how many seeds there are for each one with crowds of clients that ask.
const crowdEvery = 3

// crowded reports whether the seed has crowds of clients that ask.
func (opt SoakOptions) crowded() bool { return opt.Seed%crowdEvery == 0 }

// stopTimes are the values of stop_ms, of which the seed chooses one: longer than
// LongestStop, after which the platform may kill the process, or shorter.
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

// soak is one that is under way.
type soak struct {
	opt     SoakOptions
	history History
	serial  atomic.Int64 // numbers the requests

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
		rngs := generators(opt.Seed, i)
		p := &population{node: n, history: &s.history, serial: &s.serial, unanswered: make(chan Ask, maxUnanswered)}
		o := &operator{node: n, history: &s.history, clients: p, crowds: opt.crowded(), fail: s.fail}
		go o.watch(faults)
		o.play(faults, rngs, &operators)
		p.start(asking, opt.Without, rngs, &clients)
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

// generators returns a function that makes random generators for a node, one after the
// other: the same ones for the same seed.
func generators(seed uint64, node int) func() *rand.Rand {
	const nodeShift = 16 // a node has fewer generators than 1 << nodeShift
	made := uint64(0)
	return func() *rand.Rand {
		made++
		return rand.New(rand.NewPCG(seed, uint64(node)<<nodeShift|made))
	}
}

// start starts the clients of each behaviour, except those whose names are in without. They
// end with ctx.
func (p *population) start(ctx context.Context, without []string, rngs func() *rand.Rand, done *sync.WaitGroup) {
	for _, b := range behaviours {
		rng := rngs() // also for one that is left out, so that the others draw the same
		if slices.Contains(without, b.name) {
			continue
		}
		done.Go(func() { p.run(ctx, b.do, rng) })
	}
}

// fail records a step of the soak that failed.
func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// start starts the nodes. It returns those that were started also with an error.
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

// ruleViolation and lateAnswer are parts of the lines that nodes log. The oracle judges late
// answers itself, as their rule allows a share of them.
const (
	ruleViolation = "event=rule_violation"
	lateAnswer    = "rule=late_answer"
)

// result judges the soak once clients and operators have ended.
func (s *soak) result(nodes []*Node) SoakResult {
	var runs []Run
	logs := map[string][]string{}
	var reported []string
	for _, n := range nodes {
		runs = append(runs, n.Runs()...)
		logs[n.Name] = n.Log()
		for _, line := range logs[n.Name] {
			if strings.Contains(line, ruleViolation) && !strings.Contains(line, lateAnswer) {
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

// counts returns how many requests were sent and how often each event was played.
func (h *History) counts() (requests int, events map[EventKind]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	events = map[EventKind]int{}
	for _, e := range h.events {
		events[e.Kind]++
	}
	return len(h.requests), events
}
