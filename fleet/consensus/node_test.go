package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// list is a machine whose state is all that was applied. The leader proposes
// what the test wants added, and again each second until it is there.
type list struct {
	mu     sync.Mutex
	items  []string
	want   string
	asked  time.Time
	leader bool
}

// Apply implements Machine.
func (l *list) Apply(data []byte, _, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.items, string(data)) {
		l.items = append(l.items, string(data))
	}
}

// Tick implements Machine.
func (l *list) Tick(leader bool) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
	if !leader || l.want == "" || slices.Contains(l.items, l.want) || time.Since(l.asked) < time.Second {
		return nil
	}
	l.asked = time.Now()
	return [][]byte{[]byte(l.want)}
}

// Snapshot implements Machine.
func (l *list) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.items)
}

// Restore implements Machine.
func (l *list) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = nil
	return json.Unmarshal(data, &l.items)
}

func (l *list) has() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.items)
}

// group is three voters without a network.
type group struct {
	t     *testing.T
	dir   string
	names []string
	mu    sync.Mutex
	nodes map[string]*Node
	lists map[string]*list
	joins map[string]bool
	only  bool // a is alone
}

// founders are a, b and c.
func (g *group) founders() map[string]string {
	if g.only {
		return map[string]string{"a": "at a"}
	}
	return map[string]string{"a": "at a", "b": "at b", "c": "at c"}
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, dir: t.TempDir(), names: []string{"a", "b", "c"}, nodes: map[string]*Node{}, lists: map[string]*list{}, joins: map[string]bool{}}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

func (g *group) start(name string) {
	g.t.Helper()
	l := &list{}
	n, err := Start(Options{Self: name, Voters: g.founders(), Join: g.joins[name], ElectionTimeout: time.Second, Dir: filepath.Join(g.dir, name), StateMachine: l,
		Send: func(to string, b []byte) {
			g.mu.Lock()
			peer := g.nodes[to]
			up := g.nodes[name] != nil
			g.mu.Unlock()
			if peer != nil && up {
				peer.Receive(b)
			}
		}})
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	g.nodes[name], g.lists[name] = n, l
	g.mu.Unlock()
}

func (g *group) stop(name string) {
	g.t.Helper()
	g.mu.Lock()
	n := g.nodes[name]
	g.nodes[name] = nil
	g.mu.Unlock()
	if err := n.Stop(); err != nil {
		g.t.Error(err)
	}
}

func (g *group) stopAll() {
	for _, name := range g.names {
		if g.nodes[name] != nil {
			g.stop(name)
		}
	}
}

// add has an item added, and returns once some voters have it.
func (g *group) add(item string, at ...string) {
	g.t.Helper()
	for _, name := range g.names {
		g.lists[name].mu.Lock()
		g.lists[name].want, g.lists[name].asked = item, time.Time{}
		g.lists[name].mu.Unlock()
	}
	for range 10000 {
		all := true
		for _, name := range at {
			all = all && slices.Contains(g.lists[name].has(), item)
		}
		if all {
			return
		}
		time.Sleep(10 * time.Millisecond) // of the bubble's clock
	}
	g.t.Fatalf("%s did not come to %v", item, at)
}

func (g *group) leader() string {
	g.t.Helper()
	for range 10000 {
		for _, name := range g.names {
			l := g.lists[name]
			l.mu.Lock()
			leads := l.leader && g.nodes[name] != nil
			l.mu.Unlock()
			if leads {
				return name
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return ""
}

// TestRestarts has three voters agree while each is stopped and started again
// in turn: all end with the same list.
func TestRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		for i := range 9 {
			down := g.names[i%3]
			if i >= 6 { // the leader's turn
				down = g.leader()
			}
			g.stop(down)
			up := slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == down })
			g.add(fmt.Sprint("item ", i), up...)
			g.start(down)
			g.add(fmt.Sprint("item ", i), down)
		}
		for _, name := range g.names {
			if got := g.lists[name].has(); !slices.Equal(got, g.lists["a"].has()) || len(got) != 9 {
				t.Errorf("%s has %q", name, got)
			}
		}
	})
}

// TestCatchUp leaves a voter so far behind that the others have let go of what
// it lacks: it gets a snapshot, and its own restart begins from that.
func TestCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		g.add("first", g.names...)
		g.stop("c")
		const more = 2*entriesPerSnapshot + entriesRetained
		for i := range more {
			g.add(fmt.Sprint("item ", i), "a", "b")
		}
		g.start("c")
		g.add("last", g.names...)
		g.stop("c")
		g.start("c")
		g.add("after", g.names...)
		if got := g.lists["c"].has(); len(got) != more+3 || got[0] != "first" || got[more+2] != "after" {
			t.Errorf("%d items, from %q to %q", len(got), got[0], got[len(got)-1])
		}
	})
}

// TestYield hands leadership on.
func TestYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		g.add("first", g.names...)
		was := g.leader()
		g.nodes[was].TransferLeadership()
		time.Sleep(200 * time.Millisecond) // less than a time-out
		if now := g.leader(); now == was {
			t.Errorf("%s leads still", now)
		}
	})
}

// TestDamaged has a voter whose log lost a record refuse to vote, and one
// whose log is that of other voters refuse to start.
func TestDamaged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		for i := range 5 {
			g.add(fmt.Sprint("item ", i), g.names...)
		}
		g.stop("c")
		options := Options{Self: "c", Voters: map[string]string{"b": "", "c": "", "d": ""}, ElectionTimeout: time.Second, Dir: filepath.Join(g.dir, "c"), StateMachine: &list{}}
		if n, err := Start(options); err == nil {
			t.Error("started on the log of other voters", n.Stop())
		}
		options.Voters = g.founders()
		segments, err := filepath.Glob(filepath.Join(options.Dir, "*.log"))
		if err != nil || len(segments) == 0 {
			t.Fatal(segments, err)
		}
		b, err := os.ReadFile(segments[0])
		if err != nil {
			t.Fatal(err)
		}
		b[len(b)/2] ^= 1
		if err := os.WriteFile(segments[0], b, 0o600); err != nil {
			t.Fatal(err)
		}
		if n, err := Start(options); !errors.Is(err, ErrLogDamaged) {
			t.Errorf("on a damaged log: %v", err)
			if err == nil {
				n.Stop()
			}
		}
	})
}
