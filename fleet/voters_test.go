package fleet_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/fleettest"
)

// awaitVoterList waits until a voter's list of the group satisfies is.
func (r testFleet) awaitVoterList(at, what string, is func(list string) bool) {
	r.t.Helper()
	r.eventually(what, func() (string, bool) {
		out, err := r.runOperatorCommand(at, "voters list")
		return fmt.Sprint(err, "\n", out), err == nil && is(out)
	})
}

// addV4 adds v4 to the group, and waits until all four voters list it as a voter.
func (r testFleet) addV4() {
	r.t.Helper()
	if out, err := r.runOperatorCommand("v1", "voters add", "--name", "v4", "--raft", r.Children["v4"].Raft); err != nil {
		r.t.Fatalf("voters add v4: error %v, output %q", err, out)
	}
	votes := func(list string) bool {
		return strings.Contains(list, "v4") && !strings.Contains(list, "no vote")
	}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		r.awaitVoterList(name, name+" lists v4 as a voter", votes)
	}
}

// checkRemovalRejected waits until dead is listed as not alive, and checks that v4 then rejects
// the removal of the named voter, because no live majority would remain.
func (r testFleet) checkRemovalRejected(dead, name string) {
	r.t.Helper()
	r.awaitVoterList("v4", "v4 lists "+dead+" as not alive", func(list string) bool {
		for _, line := range strings.Split(list, "\n") {
			if strings.HasPrefix(line, dead+" ") {
				return strings.Contains(line, "false")
			}
		}
		return false
	})
	if out, err := r.runOperatorCommand("v4", "voters remove", "--name", name); err == nil || !strings.Contains(out, "no majority") {
		r.t.Errorf("voters remove %s: error %v, output %q; want an error with \"no majority\"", name, err, out)
	}
}

// checkOwnsNoLease waits for 30 accepted writes of other voters at the registry, and checks
// that a removed voter has acquired no lease since line from of the logs.
func (r testFleet) checkOwnsNoLease(removed string, from int) {
	r.t.Helper()
	writes, _ := r.Registry.Writes()
	for range 30 {
		n := len(writes)
		if _, err := r.AwaitWrite("another accepted write", n, func(a fakes.FencedWrite) bool { return a.Accepted && a.By != removed }); err != nil {
			r.t.Fatal(err)
		}
		writes, _ = r.Registry.Writes()
	}
	for _, l := range r.Lines()[from:] {
		if l.Event == "lease" && l.Fields["to"] == removed && l.Child != removed {
			r.t.Errorf("the removed voter %s acquired a lease: %s", removed, l.Text)
		}
	}
}

// TestVoters_GroupChangesDuringFailures changes the group of voters while the fleet is in use:
// v4 joins, the owner is killed and removed, and a second founder is killed. v4 and the
// last founder must form a majority. The removed voter restarts on its old log, and must
// not own a lease.
func TestVoters_GroupChangesDuringFailures(t *testing.T) {
	own := map[string]map[string]any{}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		own[name] = map[string]any{"operators": "127.0.0.1:0"}
	}
	r := startFleet(t, fleettest.Options{
		Voters: 3, Joining: 1, Members: 1, MemberSettings: own,
		Settings: map[string]any{"election_ms": 300, "lease_ms": 300, "probe_ms": 20},
	})
	first := r.awaitWriteAbove(lease.Token{})
	r.addV4()

	removed := first.By
	stay := slices.DeleteFunc([]string{"v1", "v2", "v3"}, func(name string) bool { return name == removed })
	if err := r.Kill(removed); err != nil {
		t.Fatal(err)
	}
	old := r.awaitWrite("an accepted write of another owner", func(a fakes.FencedWrite) bool {
		return a.Accepted && a.By != removed && a.Token.Compare(first.Token) > 0
	})
	if out, err := r.runOperatorCommand(stay[0], "voters remove", "--name", removed); err != nil {
		t.Fatalf("voters remove %s: error %v, output %q", removed, err, out)
	}
	r.awaitVoterList("v4", "v4 no longer lists "+removed, func(list string) bool { return !strings.Contains(list, removed) })
	dead := stay[0]
	if err := r.Kill(dead); err != nil {
		t.Fatal(err)
	}
	writes, _ := r.Registry.Writes()
	next, err := r.AwaitWrite("an accepted write with two of three voters alive", len(writes), func(a fakes.FencedWrite) bool { return a.Accepted && a.By != dead })
	if err != nil {
		t.Fatal(err)
	}
	if next.Token.Compare(old.Token) < 0 || next.By == removed {
		t.Errorf("the registry accepted a write of %s with token %v after token %v, want no lower token and no write of a removed voter", next.By, next.Token, old.Token)
	}
	r.checkRemovalRejected(dead, stay[1])

	from := len(r.Lines())
	if err := r.Launch(removed); err != nil {
		t.Fatal(err)
	}
	r.checkOwnsNoLease(removed, from)
}
