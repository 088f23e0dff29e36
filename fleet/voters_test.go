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

// voters waits until a voter's list of the group satisfies is.
func (r run) voters(at, what string, is func(list string) bool) {
	r.t.Helper()
	r.until(what, func() (string, bool) {
		out, err := r.operator(at, "voters list")
		return fmt.Sprint(err, "\n", out), err == nil && is(out)
	})
}

// v4Joins has v4 join the group, until all four list it as a voter.
func (r run) v4Joins() {
	r.t.Helper()
	if out, err := r.operator("v1", "voters add", "--name", "v4", "--raft", r.Children["v4"].Raft); err != nil {
		r.t.Fatalf("%v: %s", err, out)
	}
	votes := func(list string) bool {
		return strings.Contains(list, "v4") && !strings.Contains(list, "no vote")
	}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		r.voters(name, name+" has v4 as a voter", votes)
	}
}

// removalRefused checks that a voter can't be removed where most of those that
// would stay are not alive, as that would end the group.
func (r run) removalRefused(dead, name string) {
	r.t.Helper()
	r.voters("v4", dead+" is found dead", func(list string) bool {
		for _, line := range strings.Split(list, "\n") {
			if strings.HasPrefix(line, dead+" ") {
				return strings.Contains(line, "false")
			}
		}
		return false
	})
	if out, err := r.operator("v4", "voters remove", "--name", name); err == nil || !strings.Contains(out, "no majority") {
		r.t.Errorf("removed: %v, %s", err, out)
	}
}

// ownsNothing checks that a removed voter owns no lease from a place of the logs
// on, while the others act.
func (r run) ownsNothing(gone string, from int) {
	r.t.Helper()
	acts, _ := r.Registry.Writes()
	for range 30 {
		n := len(acts)
		if _, err := r.AwaitWrite("more acts", n, func(a fakes.FencedWrite) bool { return a.Accepted && a.By != gone }); err != nil {
			r.t.Fatal(err)
		}
		acts, _ = r.Registry.Writes()
	}
	for _, l := range r.Lines()[from:] {
		if l.Event == "lease" && l.Fields["to"] == gone && l.Child != gone {
			r.t.Errorf("%s was removed and owns: %s", gone, l.Text)
		}
	}
}

// TestVoters has the group of voters change while the fleet's work goes on: one
// joins, the owner is killed and removed, a second founder is killed, and the one
// that joined makes a majority with the last founder. The one that was removed
// comes back on its old log, and owns nothing any more.
func TestVoters(t *testing.T) {
	own := map[string]map[string]any{}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		own[name] = map[string]any{"operators": "127.0.0.1:0"}
	}
	r := startFleet(t, fleettest.Options{
		Voters: 3, Joining: 1, Members: 1, MemberSettings: own,
		Settings: map[string]any{"election_ms": 300, "lease_ms": 300, "probe_ms": 20},
	})
	first := r.after(lease.Token{})
	r.v4Joins()

	gone := first.By
	stay := slices.DeleteFunc([]string{"v1", "v2", "v3"}, func(name string) bool { return name == gone })
	if err := r.Kill(gone); err != nil {
		t.Fatal(err)
	}
	old := r.act("another owner", func(a fakes.FencedWrite) bool { return a.Accepted && a.By != gone && a.Token.Compare(first.Token) > 0 })
	if out, err := r.operator(stay[0], "voters remove", "--name", gone); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	r.voters("v4", "v4 has "+gone+" no more", func(list string) bool { return !strings.Contains(list, gone) })
	dead := stay[0]
	if err := r.Kill(dead); err != nil {
		t.Fatal(err)
	}
	acts, _ := r.Registry.Writes()
	next, err := r.AwaitWrite("acts of two of three", len(acts), func(a fakes.FencedWrite) bool { return a.Accepted && a.By != dead })
	if err != nil {
		t.Fatal(err)
	}
	if next.Token.Compare(old.Token) < 0 || next.By == gone {
		t.Errorf("%s acts under %v after %v", next.By, next.Token, old.Token)
	}
	r.removalRefused(dead, stay[1])

	from := len(r.Lines())
	if err := r.Launch(gone); err != nil {
		t.Fatal(err)
	}
	r.ownsNothing(gone, from)
}
