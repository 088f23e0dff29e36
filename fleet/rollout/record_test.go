package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"quincerail.example/quincerail/fleet/lease"
)

func servers(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2)})
	}
	return out
}

func settingsPlan(id string) *Plan {
	return &Plan{ID: id, Kind: Settings, Servers: servers(4), Stages: []Stage{{0, 1, 0, 9}, {1, 1, 0, 9}}, MinWatchWindows: 1, MaxWatchWindows: 1,
		Limits: DefaultLimits()}
}

// TestRecord follows two changes of settings through the log: numbers only grow,
// a step that was made from an older record is refused, and once a plan has ended
// all servers are to run what it left in force.
func TestRecord(t *testing.T) {
	var r Record
	index := uint64(0)
	apply := func(o Command, want bool) {
		t.Helper()
		index++
		next, err := r.Apply(o, index)
		if (err == nil) != want {
			t.Fatalf("%s at %d: %v", o.Kind, index, err)
		}
		r = next
	}
	step := func(s State) Command {
		return Command{Kind: Step, PreviousIndex: r.Index, State: s, HistoriesUnchanged: true}
	}
	settings := func(server string) uint64 {
		of, others := r.DesiredSettings()
		if n, ok := of[server]; ok {
			return n
		}
		return others
	}
	apply(Command{Kind: Step}, false)
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage("{")}, false)
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage(`{"x":1}`)}, true)
	apply(Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage(`{"x":2}`)}, false) // one at a time
	late := step(State{Phase: Done, Stage: 1, Window: 9})
	apply(step(State{Phase: Replacing, Stage: 0, Window: 1}), true)
	apply(late, false)
	changed := 0
	for _, s := range r.Plan.Servers {
		if settings(s.Name) == 1 {
			changed++
		}
	}
	if changed != 1 || settings("new") != 0 {
		t.Errorf("%d servers of the first stage, others run %d", changed, settings("new"))
	}
	apply(step(State{Phase: Done, Stage: 1, Window: 2}), true)
	if settings("s0") != 1 || settings("new") != 1 || string(r.Patches[1]) != `{"x":1}` {
		t.Errorf("after it is done: %d, %d, %s", settings("s0"), settings("new"), r.Patches[1])
	}
	apply(Command{Kind: Start, Plan: settingsPlan("a"), Patch: json.RawMessage(`{"x":2}`)}, false) // the same name
	apply(Command{Kind: Start, Plan: settingsPlan("b"), Patch: json.RawMessage(`{"x":2}`)}, true)
	if r.Plan.From != "1" || r.Plan.To != "2" {
		t.Errorf("from %s to %s", r.Plan.From, r.Plan.To)
	}
	apply(step(State{Phase: Baking, Stage: 1, Window: 5}), true)
	apply(Command{Kind: Stop, ID: "a"}, false)
	apply(Command{Kind: Stop, ID: "b", Reason: "enough"}, true)
	if r.State.Phase != RollingBack || settings("s0") != 1 || r.State.Reason != "enough" {
		t.Errorf("halted: %s, %d", r.State.Phase, settings("s0"))
	}
	apply(step(State{Phase: Halted, Window: 6}), true)
	if settings("s0") != 1 || r.LastSettings != 2 || len(r.Patches) != 1 {
		t.Errorf("all back: %d, last %d, %d patches", settings("s0"), r.LastSettings, len(r.Patches))
	}
}

// TestCollector makes samples of what servers say: late, twice, out of order, over
// replacements and crashes.
func TestCollector(t *testing.T) {
	c := NewCollector()
	say := func(life, seq, requests uint64, version string) Report {
		r := Report{Server: "a", Incarnation: life, Sequence: seq, Version: version, Totals: Totals{Requests: requests}}
		c.Observe(r)
		return r
	}
	window := func(what string, want ...Sample) {
		t.Helper()
		got := c.EndWindow(Program)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %+v, want %+v", what, got, want)
		}
	}
	sample := func(version string, requests, crashes uint64) Sample {
		return Sample{Server: "a", Version: version, Requests: requests, Crashes: crashes}
	}
	first := say(1, 1, 10, "v1")
	window("one report")
	say(1, 3, 50, "v1")
	say(1, 2, 30, "v1") // overtaken
	window("two reports", sample("v1", 40, 0))
	window("no word")
	last := first
	last.Sequence, last.Leaving = 4, true
	c.Observe(last)
	say(2, 1, 5, "v2")
	c.Observe(first) // of the life before
	window("replaced")
	say(2, 2, 25, "v2")
	window("the new version", sample("v2", 20, 0))
	say(3, 1, 4, "v2")
	window("crashed", sample("v2", 0, 1))
	say(3, 2, 10, "v2")
	window("came back", sample("v2", 6, 0))
	left := say(3, 3, 11, "v2")
	left.Sequence, left.Leaving = 4, true
	c.Observe(left)
	say(4, 1, 0, "v2")
	window("restarted by an operator")
}

// TestFollower takes directions in: of an old owner, of an old record, and those
// that were turned down before change nothing.
func TestFollower(t *testing.T) {
	var f Follower
	take := func(term, index, number uint64, want bool) Directive {
		t.Helper()
		d := Directive{Token: lease.Token{Term: term, Index: 1}, Index: index, SettingsNumber: number, Patch: []byte{'0' + byte(number)}}
		if got, _ := f.Accept(d); got != want {
			t.Errorf("term %d, entry %d, settings %d: %v", term, index, number, got)
		}
		return d
	}
	f.Applied(take(2, 10, 1, true), nil)
	take(2, 10, 1, false) // in force
	f.Applied(take(3, 12, 2, true), errors.New("no such class"))
	if n, refused, why := f.Settings(); n != 1 || refused != 2 || why != "no such class" || string(f.Patch()) != "1" {
		t.Errorf("settings %d, turned %d down: %s", n, refused, why)
	}
	take(3, 12, 2, false) // turned down
	if _, err := f.Accept(Directive{Token: lease.Token{Term: 2, Index: 1}, Index: 20, SettingsNumber: 5}); err == nil {
		t.Error("an old owner's word is taken")
	}
	take(3, 11, 5, false) // a record before
	f.Applied(take(3, 13, 0, true), nil)
	if n, refused, _ := f.Settings(); n != 0 || refused != 0 || f.Patch() == nil {
		t.Errorf("settings %d, turned %d down", n, refused)
	}
}

// TestOrder spreads each stage over the zones.
func TestOrder(t *testing.T) {
	p := settingsPlan("a")
	p.From, p.To, p.Servers = "0", "1", servers(20)
	p.Stages = []Stage{{0, 1, 0, 9}, {0.2, 1, 0, 9}, {1, 1, 0, 9}}
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	zones := map[string]int{}
	for _, s := range p.serverOrder()[:p.cohortSize(1)] {
		zones[s.Zone]++
	}
	if zones["z0"] != 2 || zones["z1"] != 2 {
		t.Errorf("the second stage is %v", zones)
	}
	if p.nextStageIsSmall(0) || len(p.firstTestedServers()) != 1 {
		t.Errorf("a fifth is small, %d bear", len(p.firstTestedServers()))
	}
}
