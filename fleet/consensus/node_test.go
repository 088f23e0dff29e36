package consensus

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestNode_ReplicatesThroughRestarts adds items to a group of three while each
// voter, and later each leader, is stopped and restarted in turn. All voters must
// end with the same list.
func TestNode_ReplicatesThroughRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const restarts, leaderRestartsFrom = 9, 6
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for i := range restarts {
			stopped := c.names[i%3]
			if i >= leaderRestartsFrom {
				stopped = c.leader()
			}
			c.stop(stopped)
			running := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool { return name == stopped })
			c.addItem(fmt.Sprint("item ", i), running...)
			c.start(stopped)
			c.addItem(fmt.Sprint("item ", i), stopped)
		}
		for _, name := range c.names {
			if got := c.machines[name].list(); !slices.Equal(got, c.machines["a"].list()) || len(got) != restarts {
				t.Errorf("%s has the items %q, want %d items, the same as a: %q", name, got, restarts, c.machines["a"].list())
			}
		}
	})
}

// TestNode_CatchesUpBySnapshot stops a voter until the others have compacted the
// entries that it lacks. It must receive a snapshot, and recover from that
// snapshot when it is restarted.
func TestNode_CatchesUpBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.addItem("first", c.names...)
		c.stop("c")
		const missed = 2*entriesPerSnapshot + entriesRetained
		for i := range missed {
			c.addItem(fmt.Sprint("item ", i), "a", "b")
		}
		c.start("c")
		c.addItem("last", c.names...)
		c.stop("c")
		c.start("c")
		c.addItem("after", c.names...)
		if got := c.machines["c"].list(); len(got) != missed+3 || got[0] != "first" || got[missed+2] != "after" {
			t.Errorf("c has %d items from %q to %q, want %d from \"first\" to \"after\"", len(got), got[0], got[len(got)-1], missed+3)
		}
	})
}

func TestTransferLeadership_MovesLeaderBeforeElectionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.addItem("first", c.names...)
		before := c.leader()
		c.nodes[before].TransferLeadership()
		time.Sleep(200 * time.Millisecond) // shorter than an election timeout
		if after := c.leader(); after == before {
			t.Errorf("%s still leads after TransferLeadership, want another leader", after)
		}
	})
}

// wantStartError calls Start, which must fail, and returns its error.
func wantStartError(t *testing.T, options Options) error {
	t.Helper()
	node, err := Start(options)
	if err == nil {
		t.Error("Start succeeded, want an error")
		if err := node.Stop(); err != nil {
			t.Error(err)
		}
	}
	return err
}

// TestStart_RejectsDamagedLog damages a record of a stopped voter's log. Start must
// then fail.
func TestStart_RejectsDamagedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for i := range 5 {
			c.addItem(fmt.Sprint("item ", i), c.names...)
		}
		c.stop("c")
		options := c.options("c")
		flipByte(t, options.Dir)
		err := wantStartError(t, options)
		var damaged *LogDamagedError
		if !errors.Is(err, ErrLogDamaged) || !errors.As(err, &damaged) || damaged.Dir != options.Dir {
			t.Errorf("Start on a damaged log = %v, want a *LogDamagedError for %s", err, options.Dir)
		}
	})
}

// flipByte flips a bit in the middle of a store's first segment.
func flipByte(t *testing.T, dir string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("segments in %s = %q, error %v, want at least one segment", dir, segments, err)
	}
	b, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 1
	if err := os.WriteFile(segments[0], b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestStart_RejectsLogOfOtherFounders starts a voter on the log of a group with
// other founders, which must fail.
func TestStart_RejectsLogOfOtherFounders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.addItem("first", c.names...)
		c.stop("c")
		options := c.options("c")
		options.Voters = map[string]string{"b": "", "c": "", "d": ""}
		var mismatch *FoundersMismatchError
		if err := wantStartError(t, options); !errors.As(err, &mismatch) || mismatch.Dir != options.Dir {
			t.Errorf("Start on a log of other founders = %v, want a *FoundersMismatchError for %s", err, options.Dir)
		}
	})
}

func TestStart_RejectsNodeOutsideVoters(t *testing.T) {
	var notVoter *NotVoterError
	err := wantStartError(t, Options{Self: "x", Voters: map[string]string{"a": "", "b": ""}})
	if !errors.As(err, &notVoter) || notVoter.Self != "x" || !slices.Equal(notVoter.Voters, []string{"a", "b"}) {
		t.Errorf("Start = %v, want a *NotVoterError of x and the voters a and b", err)
	}
}
