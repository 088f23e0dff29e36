package consensus

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// grouped has a change asked for, again and again as it may be lost, until some
// voters see the group so: "d*" is a learner.
func (g *group) grouped(change func(*Node) error, want string, at ...string) {
	g.t.Helper()
	for range 1000 {
		if err := change(g.nodes[at[0]]); err != nil {
			g.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		all := true
		for _, name := range at {
			all = all && seen(g.nodes[name]) == want
		}
		if all {
			return
		}
	}
	g.t.Fatalf("%s sees %s, want %s", at[0], seen(g.nodes[at[0]]), want)
}

func seen(n *Node) (s string) {
	for _, v := range n.Voters() {
		if s += v.Name; v.Learner {
			s += "*"
		}
	}
	return s
}

// TestMembers has a voter join a group that has let go of the log's beginning,
// and another leave for good: the one that joined makes a majority with the one
// founder that is left, also over its own restart, and the one that left, started
// again on its old log, gets and disturbs nothing.
func TestMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		for i := range entriesPerSnapshot + entriesRetained {
			g.add(fmt.Sprint("item ", i), "a", "b", "c")
		}
		g.names, g.joins["d"] = append(g.names, "d"), true
		g.start("d")
		time.Sleep(3 * time.Second)
		if got := g.lists["d"].has(); len(got) > 0 {
			t.Errorf("d has %d items before it was added", len(got))
		}
		g.grouped(func(n *Node) error { return n.AddVoter("d", "at d") }, "abcd", "a", "b", "c", "d")
		g.add("with d", "a", "b", "c", "d")
		g.stop("d")
		g.start("d")
		g.add("d again", "d")

		g.stop("a")
		g.grouped(func(n *Node) error { return n.RemoveVoter("a") }, "bcd", "b", "c", "d")
		g.stop("b")
		g.add("two of three", "c", "d")
		g.start("a")
		time.Sleep(5 * time.Second)
		g.add("after a came back", "c", "d")
		if got := g.lists["a"].has(); slices.Contains(got, "two of three") {
			t.Error("one that was removed gets what comes")
		}
		if name := g.leader(); name == "a" {
			t.Error("one that was removed leads")
		}
		g.start("b")
		g.add("b again", "b", "c", "d")
		if b, c, d := g.lists["b"].has(), g.lists["c"].has(), g.lists["d"].has(); !slices.Equal(b, c) || !slices.Equal(c, d) {
			t.Errorf("%d, %d and %d items", len(b), len(c), len(d))
		}
	})
}

// TestLastVoter keeps the last voter in a group, and one that is added and never
// comes has no vote, so that the group goes on without it.
func TestLastVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, dir: t.TempDir(), names: []string{"a"}, nodes: map[string]*Node{}, lists: map[string]*list{}, joins: map[string]bool{}}
		g.only = true
		g.start("a")
		defer g.stopAll()
		g.add("first", "a")
		if err := g.nodes["a"].RemoveVoter("a"); err != nil {
			t.Fatal(err)
		}
		g.add("second", "a")
		g.grouped(func(n *Node) error { return n.AddVoter("x", "nowhere") }, "ax*", "a")
		g.add("third", "a")
		g.grouped(func(n *Node) error { return n.RemoveVoter("x") }, "a", "a")
		g.add("fourth", "a")
	})
}
