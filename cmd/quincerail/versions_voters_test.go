package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/fleettest"
)

// What the fleets of these tests call their two versions.
const (
	previousVersion = "previous"
	currentVersion  = "current"
)

const (
	// budgetCalls and budgetRepeats are what the fleet may have in hand at the
	// ledger, and how many repeats it may make in a second.
	budgetCalls   = 12
	budgetRepeats = 6
	// repeatJitter is how much later than one before it a repeat may reach the
	// ledger, which counts them.
	repeatJitter = 50 * time.Millisecond
	// keyedInFlight run in a voter as it is told to end.
	keyedInFlight = 4
	keyedRunTime  = 400 * time.Millisecond
	// settledWithin bounds the time until the rights of ended processes are back.
	settledWithin = 60 * time.Second
)

// quickPlan has settings go to all servers at once; endlessPlan watches the
// servers until it is halted.
const (
	quickPlan   = planForm + "watch = 1\nwatch_most = 1\n"
	endlessPlan = planForm + "watch = 1000000\nwatch_most = 1000000\n"
	planForm    = "warm = 0\nstages = [{share = 1, bake = 1, patience = 600}]\n" +
		"limits = {worse = 10, mistaken = 0.01, missed = 0.001, least = 0.5}\n"
)

// TestVersionsSideBySideVoters replaces the three voters of a fleet one by one, to
// the current program and back again, while callers of all members make calls on
// the fleet's budget, keyed requests run, and a rollout is under way (to) or has
// been halted (back). Each lease has one owner under each token, tokens only grow,
// the rollout's record and the budget last, no key runs twice, and nobody finds a
// record or message that it can't read.
func TestVersionsSideBySideVoters(t *testing.T) {
	forEachVersionPair(t, func(t *testing.T, pair versionPair) {
		began := time.Now()
		f := startVersionsFleet(t, fleettest.Options{
			Binary: pair.previous, Version: previousVersion,
			Versions: map[string]string{currentVersion: pair.current}, Members: 1,
		})
		f.rollOut(pair.current, "before", quickPlan)
		f.awaitPhase("done")
		f.rollOut(pair.previous, "across", endlessPlan)
		f.awaitPhase("watching")
		f.replaceVoters(currentVersion)

		f.operate(pair.previous, "v1", "rollout halt", "--id", "across")
		f.awaitPhase("halted")
		f.replaceVoters(previousVersion)

		f.rollOut(pair.previous, "after", quickPlan)
		f.awaitPhase("done")
		f.checkAtRest()
		f.checkLogs()
		f.report(time.Since(began))
	})
}

// TestVersionsSideBySideJoin has a voter of one program join the voters of the
// other: it is caught up by their snapshot.
func TestVersionsSideBySideJoin(t *testing.T) {
	forEachVersionPair(t, func(t *testing.T, pair versionPair) {
		for _, programs := range []versionPair{pair, {previous: pair.current, current: pair.previous}} {
			f := startVersionsFleet(t, fleettest.Options{
				Binary: programs.previous, Version: previousVersion,
				Versions: map[string]string{currentVersion: programs.current}, Joining: 1,
			})
			must(t, 0, f.Replace("v4", currentVersion))
			f.rollOut(programs.previous, "before", quickPlan)
			f.awaitPhase("done")
			f.operate(programs.current, "v1", "voters add", "--name", "v4", "--raft", f.Children["v4"].Raft)
			f.voters = append(f.voters, "v4")
			for _, name := range f.voters {
				f.awaitVoters(name)
			}
			f.awaitRecord("v4", f.lastingRecord("v1"))
			f.awaitAct("an act after the voter joined")
			f.checkLogs()
		}
	})
}

// versionsFleet is a fleet whose voters are replaced.
type versionsFleet struct {
	*fleettest.Fleet
	t        *testing.T
	programs []string // of both versions
	voters   []string
	work     *fakes.Work // of all members' processors together
	rollouts int         // that were started
	window   int         // the last seen of the rollout under way

	keyed     map[string][]keyedRequest // by the voter that they were sent to
	replaced  int
	inFlight  atomic.Int64 // keyed requests that were open as a voter was told to end
	mostCalls int          // in hand at one time
	settled   []time.Duration
}

func startVersionsFleet(t *testing.T, o fleettest.Options) *versionsFleet {
	t.Helper()
	f := &versionsFleet{
		t: t, work: fakes.NewWork(keyedRunTime), voters: []string{"v1", "v2", "v3"}, keyed: map[string][]keyedRequest{},
		programs: []string{o.Binary, o.Versions[currentVersion]},
	}
	o.Dir, o.Seed, o.Example = t.TempDir(), 26, filepath.Join("..", "..", "example", "config.json")
	o.Voters, o.Load, o.Took, o.TurnsAway, o.Within = 3, 4, 60*time.Millisecond, 8, conditionTimeout
	o.Adjust = func(config map[string]any) {
		adjustSettings(config)
		config["control"] = anyPort
	}
	o.Work = func() *fakes.Work { return f.work }
	o.Settings = map[string]any{
		"election_ms": 500, "lease_ms": 500, "probe_ms": 50, "window_ms": 200, "budget_calls": budgetCalls,
		"budget_repeats": budgetRepeats, "horizon_ms": 3000, "hold_ms": 600,
	}
	o.Own, o.Files = map[string]map[string]any{}, map[string]map[string]any{}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		o.Own[name] = map[string]any{"operators": anyPort}
	}
	for _, name := range []string{"v1", "v2", "v3", "v4", "m1"} {
		o.Files[name] = map[string]any{
			"keys": map[string]any{"dir": filepath.Join(o.Dir, name+"-keys")},
			"log":  map[string]any{"level": "debug", "repeats": 100}, // some unreadable messages are for debugging only
		}
	}
	var err error
	f.Fleet, err = fleettest.Start(o)
	must(t, 0, err)
	t.Cleanup(f.end)
	return f
}

func (f *versionsFleet) end() {
	f.Close()
	for _, violation := range f.Violations() {
		f.t.Error(violation)
	}
	if f.t.Failed() {
		for name := range f.Children {
			f.t.Logf("%s:\n%s", name, f.Log(name))
		}
	}
}

// rollOut starts a rollout of settings by the command of a program.
func (f *versionsFleet) rollOut(program, id, plan string) {
	f.t.Helper()
	eventually(f.t, "v1 knows of all servers", func() (string, bool) {
		s, err := f.changes("v1")
		return fmt.Sprint(s.Servers, err), err == nil && len(s.Servers) == len(f.Children)
	})
	dir := f.t.TempDir()
	planFile, settingsFile := filepath.Join(dir, "plan.toml"), filepath.Join(dir, "settings.json")
	must(f.t, 0, os.WriteFile(planFile, []byte(plan), 0o600))
	f.rollouts++
	settings := fmt.Sprintf(`{"familyInfo": {"idleUs": %d}}`, 20_000_000+f.rollouts)
	must(f.t, 0, os.WriteFile(settingsFile, []byte(settings), 0o600))
	f.operate(program, "v1", "rollout start", "--id", id, "--settings", settingsFile, "--plan", planFile)
}

// awaitPhase waits until all voters have the rollout in a phase.
func (f *versionsFleet) awaitPhase(phase string) {
	f.t.Helper()
	for _, name := range []string{"v1", "v2", "v3"} {
		eventually(f.t, name+" has the rollout "+phase, func() (string, bool) {
			s, err := f.changes(name)
			return fmt.Sprint(string(s.Record), err), err == nil && s.phase() == phase
		})
	}
}

// replaceVoters replaces all voters by a version, first the one that owns the
// registry's lease, and then each time its successor.
func (f *versionsFleet) replaceVoters(version string) {
	f.t.Helper()
	lasting := f.lastingRecord("v1")
	waiting := slices.Clone(f.voters)
	for len(waiting) > 0 {
		next := f.lastOwner()
		if !slices.Contains(waiting, next) {
			next = waiting[0]
		}
		waiting = slices.DeleteFunc(waiting, func(name string) bool { return name == next })
		f.replaceVoter(next, version)
		for _, name := range f.voters {
			f.awaitRecord(name, lasting)
			f.awaitVoters(name)
		}
		f.awaitServer(next, version)
		f.awaitAct("an act after " + next + " was replaced")
		f.checkBudget()
	}
	f.awaitRights()
	f.checkBudget()
}

// replaceVoter replaces a voter in which keyed requests run. It answers those,
// and its successor answers their repeats, and all of earlier ones.
func (f *versionsFleet) replaceVoter(name, version string) {
	f.t.Helper()
	f.replaced++
	var requests []keyedRequest
	for i := range keyedInFlight {
		what := fmt.Sprintf("%s-%d-%d", name, f.replaced, i)
		requests = append(requests, keyedRequest{key: what, body: "gift " + what})
	}
	f.keyed[name] = append(f.keyed[name], requests...)
	var open atomic.Int64
	awaitReady(f.t, f.control(name))
	running := f.serveAll(name, requests, &open)
	eventually(f.t, "keyed requests run in "+name, func() (string, bool) {
		return "", !slices.ContainsFunc(requests, func(r keyedRequest) bool { return f.work.Runs(r.body) == 0 })
	})
	f.inFlight.Add(open.Load())
	must(f.t, 0, f.Replace(name, version))
	running.Wait()
	awaitReady(f.t, f.control(name))
	f.serveAll(name, f.keyed[name], &open).Wait()
	for _, r := range f.keyed[name] {
		if runs := f.work.Runs(r.body); runs != 1 {
			f.t.Errorf("%s ran %d times", r.key, runs)
		}
	}
}

// serveAll has requests served by a voter; open is how many are on the way.
func (f *versionsFleet) serveAll(name string, requests []keyedRequest, open *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	f.t.Cleanup(group.Wait) // of a test that ends early
	address := f.Address(name)
	for _, r := range requests {
		open.Add(1)
		group.Go(func() {
			defer open.Add(-1)
			if _, err := r.serve(f.t.Context(), address); err != nil {
				f.t.Error(err)
			}
		})
	}
	return &group
}

// control is where operators call a member's process, by its log.
func (f *versionsFleet) control(name string) string {
	f.t.Helper()
	for _, l := range slices.Backward(f.Lines()) {
		if l.Child == name && strings.Contains(l.Event, "control") {
			return l.Fields["address"]
		}
	}
	f.t.Fatalf("%s has not logged where operators call it", name)
	return ""
}

// lastOwner is who acted last at the registry.
func (f *versionsFleet) lastOwner() string {
	acts, _ := f.Registry.Writes()
	if len(acts) == 0 {
		return ""
	}
	return acts[len(acts)-1].By
}

// awaitAct waits until the registry accepts an act that comes from now on.
func (f *versionsFleet) awaitAct(what string) {
	f.t.Helper()
	acts, _ := f.Registry.Writes()
	_, err := f.AwaitAct(what, len(acts), func(a fakes.FencedWrite) bool { return a.Accepted })
	must(f.t, 0, err)
}

// checkBudget sees that no more calls were in hand than the fleet's budget has
// since it looked last.
func (f *versionsFleet) checkBudget() {
	f.t.Helper()
	most, _, _ := f.Ledger.Count()
	f.mostCalls = max(f.mostCalls, most)
	if most > budgetCalls {
		f.t.Errorf("%d calls in hand, the budget is %d", most, budgetCalls)
	}
}

// awaitRights waits until members that are there hold all rights that are not
// free: what ended processes held was taken back.
func (f *versionsFleet) awaitRights() {
	f.t.Helper()
	took, err := f.Converge("quincerail_fleet_rights", settledWithin, func(all map[string]map[string]float64) bool {
		free := f.free("v1")
		calls, repeats := free["calls"], free["repeats"]
		for _, rights := range all {
			calls, repeats = calls+rights["calls"], repeats+rights["repeats"]
		}
		return calls == budgetCalls && repeats == budgetRepeats
	})
	must(f.t, 0, err)
	f.settled = append(f.settled, took.Round(time.Millisecond))
}

// free is what of the budgets nobody holds, as a voter has it.
func (f *versionsFleet) free(name string) map[string]float64 {
	f.t.Helper()
	free, err := f.Scrape(name, "quincerail_fleet_free")
	return must(f.t, free, err)
}

// checkAtRest ends the callers, and sees that all rights are held or free and
// that the voters agree on that.
func (f *versionsFleet) checkAtRest() {
	f.t.Helper()
	f.StopCallers()
	f.awaitRights()
	f.checkBudget()
	eventually(f.t, "the voters agree on what is free", func() (string, bool) {
		one, two, three := f.free("v1"), f.free("v2"), f.free("v3")
		return fmt.Sprint(one, two, three), fmt.Sprint(one) == fmt.Sprint(two) && fmt.Sprint(two) == fmt.Sprint(three)
	})
	if _, most := f.Ledger.Retries(time.Second - repeatJitter); most > budgetRepeats {
		f.t.Errorf("%d repeats in a second, the budget is %d", most, budgetRepeats)
	}
}

// checkLogs sees that no process logged a fault, and that the leases that all
// processes logged have one owner under each token, and tokens that only grow.
func (f *versionsFleet) checkLogs() {
	f.t.Helper()
	owners := map[string]string{}        // by lease and token
	highest := map[string]fencingToken{} // by process and lease
	life, moves := map[string]int{}, 0   // by child
	for _, l := range f.Lines() {
		if fault := logFault(l.Event, l.Fields["level"], l.Text); fault != "" {
			f.t.Errorf("%s: %s: %s", l.Child, fault, l.Text)
		}
		if l.Event == "exited" {
			life[l.Child]++
		}
		if !slices.Contains(leaseEvents, l.Event) || l.Fields["to"] == "" {
			continue
		}
		moves++
		lease, token := l.Fields["lease"], parseFencingToken(l.Fields["token"])
		grant := fmt.Sprint(lease, token)
		if owner, known := owners[grant]; known && owner != l.Fields["to"] {
			f.t.Errorf("%s and %s own %s", owner, l.Fields["to"], grant)
		}
		owners[grant] = l.Fields["to"]
		process := fmt.Sprint(l.Child, life[l.Child], lease)
		if token.before(highest[process]) {
			f.t.Errorf("%s: the token went back: %s", l.Child, l.Text)
		}
		highest[process] = token
	}
	if moves == 0 {
		f.t.Errorf("no log has an event of %q", leaseEvents)
	}
}

// report logs the figures of the test.
func (f *versionsFleet) report(took time.Duration) {
	acts, _ := f.Registry.Writes()
	var owners []string
	for _, a := range acts {
		if a.Accepted && (len(owners) == 0 || owners[len(owners)-1] != a.By) {
			owners = append(owners, a.By)
		}
	}
	keys := 0
	for _, requests := range f.keyed {
		keys += len(requests)
	}
	repeats, _ := f.Ledger.Retries(time.Second)
	_, calls, _ := f.Ledger.Count()
	f.t.Logf("replacements %d, acts %d, owners in turn %s, tokens %v to %v, keys %d, in flight at SIGTERM %d, calls %d (at most %d of %d in hand), "+
		"repeats %d, rights settled after %v, took %v", f.replaced, len(acts), strings.Join(owners, " "), acts[0].Token, acts[len(acts)-1].Token,
		keys, f.inFlight.Load(), calls, f.mostCalls, budgetCalls, repeats, f.settled, took.Round(time.Millisecond))
}
