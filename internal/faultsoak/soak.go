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

// SoakOptions configures Soak.
type SoakOptions struct {
	Seed     uint64
	Nodes    int
	Duration time.Duration // how long faults are injected; the soak then waits for the last answers
	Binary   string        // path of the program
	Dir      string        // parent of the nodes' folders
	Env      []string      // added to the environment that the processes inherit
	Faults   bool          // Binary was built by BuildWithFaults
	Without  []string      // client kinds to leave out, to isolate the cause of a violation
}

// crowdSeedInterval selects the soaks with crowds of clients that send requests: those whose
// seed is a multiple of it.
const crowdSeedInterval = 3

// hasCrowds reports whether the soak of the seed has crowds of clients that send requests.
func (opt SoakOptions) hasCrowds() bool { return opt.Seed%crowdSeedInterval == 0 }

// stopTimesMillis are the values of stop_ms that the seed chooses from. The platform may
// kill a process once MinKillDelay has passed after SIGTERM; some values are shorter than
// that and some longer.
var stopTimesMillis = []int{6000, 3300, 1900}

// SoakResult is the result of a soak.
type SoakResult struct {
	Report

	Requests int
	Events   map[EventKind]int   // number of events by kind
	Failures []string            // failed steps of the soak, and processes that exited unexpectedly
	Reported []string            // rule violations that the nodes logged
	Logs     map[string][]string // log lines by node
}

// Broken reports whether the soak found a violation or a failure.
func (r SoakResult) Broken() bool {
	return len(r.Violations)+len(r.Failures)+len(r.Reported) > 0
}

// soak is the state of a running soak.
type soak struct {
	opt     SoakOptions
	history History
	serial  atomic.Int64 // number of the last request

	mu       sync.Mutex
	failures []string
}

// Soak runs nodes under faults drawn from a seed and checks what their clients received.
// A seed always gives the same faults, but their timing relative to the work of the
// processes varies between runs.
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
	faultsCtx, endFaults := context.WithCancel(ctx)
	defer endFaults()
	clientsCtx, endClients := context.WithCancel(ctx)
	defer endClients()
	var injectors, clients sync.WaitGroup
	for i, n := range nodes {
		nextRNG := rngSource(opt.Seed, i)
		group := &clientGroup{node: n, history: &s.history, serial: &s.serial, retryQueue: make(chan RequestSpec, maxQueuedRetries)}
		inj := &faultInjector{node: n, history: &s.history, clients: group, crowds: opt.hasCrowds(), fail: s.fail}
		go inj.watch(faultsCtx)
		inj.play(faultsCtx, nextRNG, &injectors)
		group.start(clientsCtx, opt.Without, nextRNG, &clients)
	}
	sleep(ctx, opt.Duration)
	endFaults()
	injectors.Wait()
	for _, n := range nodes {
		_ = n.Signal(syscall.SIGCONT) // an error means that it has exited
	}
	endClients()
	clients.Wait()
	return s.result(nodes), ctx.Err()
}

// rngSource returns a function that makes random generators for a node. The sequence of
// generators depends only on seed and node.
func rngSource(seed uint64, node int) func() *rand.Rand {
	const nodeShift = 16 // fewer than 1<<nodeShift generators per node
	made := uint64(0)
	return func() *rand.Rand {
		made++
		return rand.New(rand.NewPCG(seed, uint64(node)<<nodeShift|made))
	}
}

// start starts the clients of each kind, except for the kinds in without. The clients stop
// when ctx is done.
func (group *clientGroup) start(ctx context.Context, without []string, nextRNG func() *rand.Rand, done *sync.WaitGroup) {
	for _, b := range behaviours {
		rng := nextRNG() // drawn for omitted kinds too, so that the other kinds keep their generators
		if slices.Contains(without, b.name) {
			continue
		}
		done.Go(func() { group.run(ctx, b.do, rng) })
	}
}

// fail records a failed step of the soak.
func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// start starts the nodes. If a node fails to start, it returns the error and the nodes that it
// has started before.
func (s *soak) start() (nodes []*Node, err error) {
	config, err := DefaultConfig()
	if err != nil {
		return nil, err
	}
	config["stop_ms"] = stopTimesMillis[s.opt.Seed/crowdSeedInterval%uint64(len(stopTimesMillis))]
	for i := range s.opt.Nodes {
		name := fmt.Sprintf("n%d", i+1)
		dir := filepath.Join(s.opt.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nodes, fmt.Errorf("faultsoak: %w", err)
		}
		n, err := StartNode(NodeConfig{
			Name: name, Binary: s.opt.Binary, Dir: dir, Config: config, RunDuration: 5 * time.Millisecond, Env: s.opt.Env,
			Faults: s.opt.Faults, InheritSocket: i%2 == 1, DurableKeys: i%4 == 0,
		})
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
		n.AwaitReady()
	}
	return nodes, nil
}

// ruleViolationEvent marks the log lines in which a node reports a violation of a rule.
// SoakResult.Reported omits those with lateAnswerRule: the rule allows a share of late
// answers, which the oracle checks.
const (
	ruleViolationEvent = "event=rule_violation"
	lateAnswerRule     = "rule=late_answer"
)

// result evaluates the soak after clients and fault injectors have finished.
func (s *soak) result(nodes []*Node) SoakResult {
	var runs []Run
	logs := map[string][]string{}
	var reported []string
	for _, n := range nodes {
		runs = append(runs, n.Runs()...)
		logs[n.Name] = n.Log()
		for _, line := range logs[n.Name] {
			if strings.Contains(line, ruleViolationEvent) && !strings.Contains(line, lateAnswerRule) {
				reported = append(reported, n.Name+": "+line)
			}
		}
	}
	settings := DefaultRuleSettings
	settings.DurableKeys = map[string]bool{}
	for _, n := range nodes {
		settings.DurableKeys[n.Name] = n.DurableKeys
	}
	result := SoakResult{Report: Check(&s.history, runs, settings), Failures: s.failures, Reported: reported, Logs: logs}
	result.Requests, result.Events = s.history.counts()
	return result
}

// counts returns the number of requests sent and the number of events of each kind.
func (h *History) counts() (requests int, events map[EventKind]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	events = map[EventKind]int{}
	for _, e := range h.events {
		events[e.Kind]++
	}
	return len(h.requests), events
}
