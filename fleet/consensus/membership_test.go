package consensus

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMembership has a voter join a group that has compacted the beginning of
// its log, and another leave for good. The one that joined makes a majority with
// the one founder that is left, also over its own restart; the one that left,
// started again on its old log, receives and disturbs nothing.
func TestMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for i := range entriesPerSnapshot + entriesRetained {
			c.add(fmt.Sprint("item ", i), "a", "b", "c")
		}
		c.join("d")
		time.Sleep(3 * time.Second)
		if got := c.machines["d"].list(); len(got) > 0 {
			t.Errorf("d has %d items before it was added", len(got))
		}
		c.changeMembership(func(n *Node) error { return n.AddVoter("d", "at d") }, "abcd", "a", "b", "c", "d")
		c.add("with d", "a", "b", "c", "d")
		c.stop("d")
		c.start("d")
		c.add("d again", "d")

		c.stop("a")
		c.changeMembership(func(n *Node) error { return n.RemoveVoter("a") }, "bcd", "b", "c", "d")
		c.stop("b")
		c.add("two of three", "c", "d")
		c.start("a")
		time.Sleep(5 * time.Second)
		c.add("after a came back", "c", "d")
		if got := c.machines["a"].list(); slices.Contains(got, "two of three") {
			t.Error("a removed voter receives new entries")
		}
		if name := c.leader(); name == "a" {
			t.Error("a removed voter leads")
		}
		c.start("b")
		c.add("b again", "b", "c", "d")
		bList, cList, dList := c.machines["b"].list(), c.machines["c"].list(), c.machines["d"].list()
		if !slices.Equal(bList, cList) || !slices.Equal(cList, dList) {
			t.Errorf("%d, %d and %d items", len(bList), len(cList), len(dList))
		}
	})
}

// TestLastVoter does not remove the last voter of a group. A learner that never
// comes has no vote, so the group continues without it.
func TestLastVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		defer c.stopAll()
		c.add("first", "a")
		if err := c.nodes["a"].RemoveVoter("a"); err != nil {
			t.Fatal(err)
		}
		c.add("second", "a")
		c.changeMembership(func(n *Node) error { return n.AddVoter("x", "nowhere") }, "ax*", "a")
		c.add("third", "a")
		c.changeMembership(func(n *Node) error { return n.RemoveVoter("x") }, "a", "a")
		c.add("fourth", "a")
	})
}

// TestVoterIDConflict refuses a voter whose name has the hash of another's.
func TestVoterIDConflict(t *testing.T) {
	group := membership{voterID("b"): {Name: "a"}}
	var conflict *VoterIDConflictError
	if err := group.checkIDConflict("b"); !errors.As(err, &conflict) || conflict.First != "b" || conflict.Second != "a" {
		t.Errorf("got %v", err)
	}
}
