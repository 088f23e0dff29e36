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

// TestRestarts has three voters agree while each is stopped and started again
// in turn: all end with the same list.
func TestRestarts(t *testing.T) {
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
			c.add(fmt.Sprint("item ", i), running...)
			c.start(stopped)
			c.add(fmt.Sprint("item ", i), stopped)
		}
		for _, name := range c.names {
			if got := c.machines[name].list(); !slices.Equal(got, c.machines["a"].list()) || len(got) != restarts {
				t.Errorf("%s has %q", name, got)
			}
		}
	})
}

// TestSnapshotCatchUp leaves a voter so far behind that the others have
// compacted the entries that it lacks: it receives a snapshot, and recovers from
// that when it is restarted.
func TestSnapshotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.add("first", c.names...)
		c.stop("c")
		const missed = 2*entriesPerSnapshot + entriesRetained
		for i := range missed {
			c.add(fmt.Sprint("item ", i), "a", "b")
		}
		c.start("c")
		c.add("last", c.names...)
		c.stop("c")
		c.start("c")
		c.add("after", c.names...)
		if got := c.machines["c"].list(); len(got) != missed+3 || got[0] != "first" || got[missed+2] != "after" {
			t.Errorf("%d items, from %q to %q", len(got), got[0], got[len(got)-1])
		}
	})
}

func TestTransferLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.add("first", c.names...)
		before := c.leader()
		c.nodes[before].TransferLeadership()
		time.Sleep(200 * time.Millisecond) // less than an election time-out
		if after := c.leader(); after == before {
			t.Errorf("%s still leads", after)
		}
	})
}

// startFails expects Start to fail.
func startFails(t *testing.T, options Options) error {
	t.Helper()
	node, err := Start(options)
	if err == nil {
		t.Error("started")
		if err := node.Stop(); err != nil {
			t.Error(err)
		}
	}
	return err
}

// TestStartRefusesDamagedLog damages a record of a stopped voter's log.
func TestStartRefusesDamagedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		for i := range 5 {
			c.add(fmt.Sprint("item ", i), c.names...)
		}
		c.stop("c")
		options := c.options("c")
		flipByte(t, options.Dir)
		err := startFails(t, options)
		var damaged *LogDamagedError
		if !errors.Is(err, ErrLogDamaged) || !errors.As(err, &damaged) || damaged.Dir != options.Dir {
			t.Errorf("on a damaged log: %v", err)
		}
	})
}

// flipByte changes a byte in the middle of a store's first segment.
func flipByte(t *testing.T, dir string) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(dir, "*.log"))
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
}

// TestStartRefusesForeignLog starts a voter on the log of a group with other
// founders.
func TestStartRefusesForeignLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stopAll()
		c.add("first", c.names...)
		c.stop("c")
		options := c.options("c")
		options.Voters = map[string]string{"b": "", "c": "", "d": ""}
		var foreign *FoundersMismatchError
		if err := startFails(t, options); !errors.As(err, &foreign) || foreign.Dir != options.Dir {
			t.Errorf("on a foreign log: %v", err)
		}
	})
}

func TestStartRefusesNodeThatIsNoVoter(t *testing.T) {
	var notVoter *NotVoterError
	err := startFails(t, Options{Self: "x", Voters: map[string]string{"a": "", "b": ""}})
	if !errors.As(err, &notVoter) || notVoter.Self != "x" || !slices.Equal(notVoter.Voters, []string{"a", "b"}) {
		t.Errorf("got %v", err)
	}
}
