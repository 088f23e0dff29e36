package consensus

import (
	"encoding/json"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// listMachine is a state machine whose state is the list of all distinct commands.
// At the leader it proposes the wanted item every second until the item is in the
// list.
type listMachine struct {
	mu         sync.Mutex
	items      []string
	wanted     string
	proposedAt time.Time
	leader     bool
}

// Apply implements StateMachine.
func (l *listMachine) Apply(data []byte, _, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.items, string(data)) {
		l.items = append(l.items, string(data))
	}
}

// Tick implements StateMachine.
func (l *listMachine) Tick(leader bool) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
	if !leader || l.wanted == "" || slices.Contains(l.items, l.wanted) || time.Since(l.proposedAt) < time.Second {
		return nil
	}
	l.proposedAt = time.Now()
	return [][]byte{[]byte(l.wanted)}
}

// Snapshot implements StateMachine.
func (l *listMachine) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.items)
}

// Restore implements StateMachine.
func (l *listMachine) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = nil
	return json.Unmarshal(data, &l.items)
}

func (l *listMachine) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

// propose makes Tick propose an item as soon as this voter leads.
func (l *listMachine) propose(item string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted, l.proposedAt = item, time.Time{}
}

func (l *listMachine) leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// cluster is a group of voters that call each other's Receive directly.
type cluster struct {
	t        *testing.T
	dir      string
	founders map[string]string
	names    []string        // all voters, including those that join
	joining  map[string]bool // voters that are started with Options.Join

	mu       sync.Mutex
	nodes    map[string]*Node // nil for a stopped voter
	machines map[string]*listMachine
}

// newCluster starts the named founders of a group.
func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), founders: map[string]string{}, names: names, joining: map[string]bool{},
		nodes: map[string]*Node{}, machines: map[string]*listMachine{},
	}
	for _, name := range names {
		c.founders[name] = "at " + name
	}
	for _, name := range names {
		c.start(name)
	}
	return c
}

// options returns the options of a voter. Its Send calls the Receive of the other
// voter if both are running.
func (c *cluster) options(name string) Options {
	return Options{
		Self: name, Voters: c.founders, Join: c.joining[name], ElectionTimeout: time.Second,
		Dir: filepath.Join(c.dir, name), StateMachine: &listMachine{},
		Send: func(to string, message []byte) {
			c.mu.Lock()
			peer, running := c.nodes[to], c.nodes[name] != nil
			c.mu.Unlock()
			if peer != nil && running {
				peer.Receive(message)
			}
		},
	}
}

func (c *cluster) start(name string) {
	c.t.Helper()
	machine := &listMachine{}
	options := c.options(name)
	options.StateMachine = machine
	node, err := Start(options)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name], c.machines[name] = node, machine
}

// join starts a voter with Options.Join that is not yet a member of the group.
func (c *cluster) join(name string) {
	c.t.Helper()
	c.names, c.joining[name] = append(c.names, name), true
	c.start(name)
}

func (c *cluster) stop(name string) {
	c.t.Helper()
	c.mu.Lock()
	node := c.nodes[name]
	c.nodes[name] = nil
	c.mu.Unlock()
	if err := node.Stop(); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) stopAll() {
	for _, name := range c.names {
		if c.nodes[name] != nil {
			c.stop(name)
		}
	}
}

// addItem proposes an item until the named voters have applied it.
func (c *cluster) addItem(item string, voters ...string) {
	c.t.Helper()
	for _, name := range c.names {
		c.machines[name].propose(item)
	}
	const pollInterval, polls = 10 * time.Millisecond, 10000
	for range polls {
		missing := slices.ContainsFunc(voters, func(name string) bool { return !slices.Contains(c.machines[name].list(), item) })
		if !missing {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("%q was not applied by all of %v within %v", item, voters, polls*pollInterval)
}

// leader waits until the group has a leader and returns its name.
func (c *cluster) leader() string {
	c.t.Helper()
	const pollInterval, polls = 10 * time.Millisecond, 10000
	for range polls {
		for _, name := range c.names {
			if c.nodes[name] != nil && c.machines[name].leads() {
				return name
			}
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("no voter became leader within %v", polls*pollInterval)
	return ""
}

// changeMembership proposes a change at the first of the named voters until all of
// them have the wanted group. It repeats the proposal, because one may be lost.
func (c *cluster) changeMembership(propose func(*Node) error, want string, voters ...string) {
	c.t.Helper()
	const pollInterval, polls = 100 * time.Millisecond, 1000
	for range polls {
		if err := propose(c.nodes[voters[0]]); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(pollInterval)
		if !slices.ContainsFunc(voters, func(name string) bool { return voterNames(c.nodes[name]) != want }) {
			return
		}
	}
	c.t.Fatalf("after %v the group at %s, one of %v, is %s, want %s at each", polls*pollInterval, voters[0], voters, voterNames(c.nodes[voters[0]]), want)
}

// voterNames concatenates the names in a node's group, with a star after each
// learner's name.
func voterNames(n *Node) string {
	var s strings.Builder
	for _, voter := range n.Voters() {
		s.WriteString(voter.Name)
		if voter.Learner {
			s.WriteString("*")
		}
	}
	return s.String()
}
