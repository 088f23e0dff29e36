package consensus

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMembership_JoinAndRemoveVoter adds voter d to a group that has compacted the
// beginning of its log, restarts d, and removes founder a. Then c and d must form
// a majority while b is stopped. The removed a, restarted on its old log, must
// receive no entries and must not disturb the group.
func TestMembership_JoinAndRemoveVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for i := range entriesPerSnapshot + entriesRetained {
			c.addItem(fmt.Sprint("item ", i), "a", "b", "c")
		}
		c.join("d")
		time.Sleep(3 * time.Second)
		if got := c.machines["d"].list(); len(got) > 0 {
			t.Errorf("d has %d items before AddVoter, want 0", len(got))
		}
		c.changeMembership(func(n *Node) error { return n.AddVoter("d", "at d") }, "abcd", "a", "b", "c", "d")
		c.addItem("with d", "a", "b", "c", "d")
		c.stop("d")
		c.start("d")
		c.addItem("d again", "d")

		c.stop("a")
		c.changeMembership(func(n *Node) error { return n.RemoveVoter("a") }, "bcd", "b", "c", "d")
		c.stop("b")
		c.addItem("two of three", "c", "d")
		c.start("a")
		time.Sleep(5 * time.Second)
		c.addItem("after a came back", "c", "d")
		if got := c.machines["a"].list(); slices.Contains(got, "two of three") {
			t.Error("the removed voter a received an entry committed after its removal")
		}
		if name := c.leader(); name == "a" {
			t.Error("the removed voter a leads the group")
		}
		c.start("b")
		c.addItem("b again", "b", "c", "d")
		bList, cList, dList := c.machines["b"].list(), c.machines["c"].list(), c.machines["d"].list()
		if !slices.Equal(bList, cList) || !slices.Equal(cList, dList) {
			t.Errorf("the lists of b, c and d have %d, %d and %d items and differ, want equal lists", len(bList), len(cList), len(dList))
		}
	})
}

// TestRemoveVoter_KeepsLastVoter removes the last voter of a group, which must
// have no effect, and adds a learner that never starts. The group must continue
// without the learner, which has no vote.
func TestRemoveVoter_KeepsLastVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		defer c.stopAll()
		c.addItem("first", "a")
		if err := c.nodes["a"].RemoveVoter("a"); err != nil {
			t.Fatal(err)
		}
		c.addItem("second", "a")
		c.changeMembership(func(n *Node) error { return n.AddVoter("x", "nowhere") }, "ax*", "a")
		c.addItem("third", "a")
		c.changeMembership(func(n *Node) error { return n.RemoveVoter("x") }, "a", "a")
		c.addItem("fourth", "a")
	})
}

func TestCheckIDConflict_RejectsNameWithSameHash(t *testing.T) {
	group := membership{voterID("b"): {Name: "a"}}
	var conflict *VoterIDConflictError
	if err := group.checkIDConflict("b"); !errors.As(err, &conflict) || conflict.First != "b" || conflict.Second != "a" {
		t.Errorf("checkIDConflict(b) = %v, want a *VoterIDConflictError of b and a", err)
	}
}
