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

// listMachine is a state machine whose state is the list of all commands. The
// leader's proposes the item that the test wants, again each second until it is
// in the list.
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

// want has an item proposed as soon as this voter leads.
func (l *listMachine) want(item string) {
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
	names    []string        // of all voters, those that join too
	joins    map[string]bool // voters that join the running group

	mu       sync.Mutex
	nodes    map[string]*Node // nil for one that is stopped
	machines map[string]*listMachine
}

// newCluster starts a group of the named founders.
func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), founders: map[string]string{}, names: names, joins: map[string]bool{},
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

// options returns the configuration of a voter.
func (c *cluster) options(name string) Options {
	return Options{
		Self: name, Voters: c.founders, Join: c.joins[name], ElectionTimeout: time.Second,
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

// join starts a voter that waits to be added to the group.
func (c *cluster) join(name string) {
	c.t.Helper()
	c.names, c.joins[name] = append(c.names, name), true
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

// add has an item added to the list, and returns once the named voters have it.
func (c *cluster) add(item string, at ...string) {
	c.t.Helper()
	for _, name := range c.names {
		c.machines[name].want(item)
	}
	const pollInterval, polls = 10 * time.Millisecond, 10000
	for range polls {
		missing := slices.ContainsFunc(at, func(name string) bool { return !slices.Contains(c.machines[name].list(), item) })
		if !missing {
			return
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("%s did not reach %v", item, at)
}

// leader returns the name of the leader, once there is one.
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
	c.t.Fatal("no leader")
	return ""
}

// changeMembership proposes a change at the first of some voters, again and again
// as it may be lost, until all of them have the wanted group.
func (c *cluster) changeMembership(propose func(*Node) error, want string, at ...string) {
	c.t.Helper()
	const pollInterval, polls = 100 * time.Millisecond, 1000
	for range polls {
		if err := propose(c.nodes[at[0]]); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(pollInterval)
		if !slices.ContainsFunc(at, func(name string) bool { return voterNames(c.nodes[name]) != want }) {
			return
		}
	}
	c.t.Fatalf("%s has %s, want %s", at[0], voterNames(c.nodes[at[0]]), want)
}

// voterNames returns the names in a node's group in one string; a learner's is
// followed by a star.
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
