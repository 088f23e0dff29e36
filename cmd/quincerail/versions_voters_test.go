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

// The names of the two versions in the fleets of these tests.
const (
	previousVersion = "previous"
	currentVersion  = "current"
)

const (
	// budgetCalls is the fleet's limit on calls in flight to the ledger, budgetRepeats its limit
	// on retries of calls per second.
	budgetCalls   = 12
	budgetRepeats = 6
	// repeatJitter is subtracted from the second in which retries are checked against
	// budgetRepeats, because the ledger counts retries on arrival, after different delays.
	repeatJitter = 50 * time.Millisecond
	// keyedInFlight is the number of keyed requests that run in a voter when it gets SIGTERM.
	keyedInFlight = 4
	// keyedRunTime is the run time of each keyed request.
	keyedRunTime = 400 * time.Millisecond
	// rightsTimeout is the longest wait until the rights of exited processes are reclaimed.
	rightsTimeout = 60 * time.Second
)

// quickPlan rolls out settings to all servers at once. endlessPlan does so too, and then watches
// the servers until the rollout is halted.
const (
	quickPlan   = planBase + "watch = 1\nwatch_most = 1\n"
	endlessPlan = planBase + "watch = 1000000\nwatch_most = 1000000\n"
	planBase    = "warm = 0\nstages = [{share = 1, bake = 1, patience = 600}]\n" +
		"limits = {worse = 10, mistaken = 0.01, missed = 0.001, least = 0.5}\n"
)

// TestVersionsSideBySideVoters replaces the three voters of a fleet one by one, first with the
// current program and then with the previous one again. Meanwhile, callers of all members make
// calls within the fleet's budget, and keyed requests run. A rollout is in progress during the
// first replacement and has been halted before the second. Each lease has one owner under each
// token, tokens never decrease, the rollout's record and the budget are preserved, no key runs
// twice, and no process finds a record or message that it can't decode.
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

		f.runOperatorCommand(pair.previous, "v1", "rollout halt", "--id", "across")
		f.awaitPhase("halted")
		f.replaceVoters(previousVersion)

		f.rollOut(pair.previous, "after", quickPlan)
		f.awaitPhase("done")
		f.checkSettledState()
		f.checkLogs()
		f.report(time.Since(began))
	})
}

// TestVersionsSideBySideJoin adds a voter that runs the current version to voters that run the
// previous version, and the other way round. The new voter must catch up with the other voters'
// rollout record.
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
			f.runOperatorCommand(programs.current, "v1", "voters add", "--name", "v4", "--raft", f.Children["v4"].Raft)
			f.voters = append(f.voters, "v4")
			for _, name := range f.voters {
				f.awaitVoters(name)
			}
			f.awaitRecord("v4", f.persistentRecord("v1"))
			f.awaitRegistryWrite("a registry write after the voter joined")
			f.checkLogs()
		}
	})
}

// versionsFleet is a fleet whose voters are replaced by processes of other versions.
type versionsFleet struct {
	*fleettest.Fleet
	t        *testing.T
	programs []string // paths of both versions
	voters   []string
	work     *fakes.Work // shared by the processors of all members
	rollouts int         // number of rollouts started
	window   int         // the last window seen of the rollout in progress

	keyed              map[string][]keyedRequest // by the voter to which they were sent
	replaced           int
	inFlight           atomic.Int64 // keyed requests that were open when a voter got SIGTERM
	maxCalls           int          // maximum in flight at one time
	rightsSettledAfter []time.Duration
}

// startVersionsFleet starts a fleet with voters v1, v2 and v3, the further members that o
// configures, and callers.
func startVersionsFleet(t *testing.T, o fleettest.Options) *versionsFleet {
	t.Helper()
	f := &versionsFleet{
		t: t, work: fakes.NewWork(keyedRunTime), voters: []string{"v1", "v2", "v3"}, keyed: map[string][]keyedRequest{},
		programs: []string{o.Binary, o.Versions[currentVersion]},
	}
	o.Dir, o.Seed, o.Example = t.TempDir(), 26, filepath.Join("..", "..", "example", "config.json")
	o.Voters, o.Load, o.CallDuration, o.RejectEvery, o.Within = 3, 4, 60*time.Millisecond, 8, conditionTimeout
	o.Adjust = func(config map[string]any) {
		adjustSettings(config)
		config["control"] = anyPort
	}
	o.Work = func() *fakes.Work { return f.work }
	o.Settings = map[string]any{
		"election_ms": 500, "lease_ms": 500, "probe_ms": 50, "window_ms": 200, "budget_calls": budgetCalls,
		"budget_repeats": budgetRepeats, "horizon_ms": 3000, "hold_ms": 600,
	}
	o.MemberSettings, o.OperatorFileKeys = map[string]map[string]any{}, map[string]map[string]any{}
	for _, name := range []string{"v1", "v2", "v3", "v4"} {
		o.MemberSettings[name] = map[string]any{"operators": anyPort}
	}
	for _, name := range []string{"v1", "v2", "v3", "v4", "m1"} {
		o.OperatorFileKeys[name] = map[string]any{
			"keys": map[string]any{"dir": filepath.Join(o.Dir, name+"-keys")},
			"log":  map[string]any{"level": "debug", "repeats": 100}, // some reports of undecodable messages are logged at debug level only
		}
	}
	var err error
	f.Fleet, err = fleettest.Start(o)
	must(t, 0, err)
	t.Cleanup(f.end)
	return f
}

// end closes the fleet and reports its violations. If the test failed, it prints all logs.
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

// rollOut starts a rollout of new settings with the rollout start sub-command of a program, once
// v1 lists all servers.
func (f *versionsFleet) rollOut(program, id, plan string) {
	f.t.Helper()
	eventually(f.t, "v1 lists all servers", func() (string, bool) {
		s, err := f.rolloutStatus("v1")
		return fmt.Sprint(s.Servers, err), err == nil && len(s.Servers) == len(f.Children)
	})
	dir := f.t.TempDir()
	planFile, settingsFile := filepath.Join(dir, "plan.toml"), filepath.Join(dir, "settings.json")
	must(f.t, 0, os.WriteFile(planFile, []byte(plan), 0o600))
	f.rollouts++
	settings := fmt.Sprintf(`{"familyInfo": {"idleUs": %d}}`, 20_000_000+f.rollouts)
	must(f.t, 0, os.WriteFile(settingsFile, []byte(settings), 0o600))
	f.runOperatorCommand(program, "v1", "rollout start", "--id", id, "--settings", settingsFile, "--plan", planFile)
}

// awaitPhase waits until v1, v2 and v3 report the rollout in a phase.
func (f *versionsFleet) awaitPhase(phase string) {
	f.t.Helper()
	for _, name := range []string{"v1", "v2", "v3"} {
		eventually(f.t, name+" reports rollout phase "+phase, func() (string, bool) {
			s, err := f.rolloutStatus(name)
			return fmt.Sprint(string(s.Record), err), err == nil && s.phase() == phase
		})
	}
}

// replaceVoters replaces the processes of all voters by processes of a version. The next voter is
// the one that wrote to the registry last, unless that voter has been replaced already.
func (f *versionsFleet) replaceVoters(version string) {
	f.t.Helper()
	record := f.persistentRecord("v1")
	remaining := slices.Clone(f.voters)
	for len(remaining) > 0 {
		next := f.lastRegistryWriter()
		if !slices.Contains(remaining, next) {
			next = remaining[0]
		}
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == next })
		f.replaceVoter(next, version)
		for _, name := range f.voters {
			f.awaitRecord(name, record)
			f.awaitVoters(name)
		}
		f.awaitServer(next, version)
		f.awaitRegistryWrite("a registry write after " + next + " was replaced")
		f.checkBudget()
	}
	f.awaitRights()
	f.checkBudget()
}

// replaceVoter replaces the process of a voter while keyed requests run in it. The old process
// answers these requests. The new process then answers retries of all keyed requests that the
// voter has received in this test.
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
	awaitReady(f.t, f.controlAddress(name))
	running := f.serveAll(name, requests, &open)
	eventually(f.t, "keyed requests run in "+name, func() (string, bool) {
		return "", !slices.ContainsFunc(requests, func(r keyedRequest) bool { return f.work.Runs(r.body) == 0 })
	})
	f.inFlight.Add(open.Load())
	must(f.t, 0, f.Replace(name, version))
	running.Wait()
	awaitReady(f.t, f.controlAddress(name))
	f.serveAll(name, f.keyed[name], &open).Wait()
	for _, r := range f.keyed[name] {
		if runs := f.work.Runs(r.body); runs != 1 {
			f.t.Errorf("key %s ran %d times, want 1", r.key, runs)
		}
	}
}

// serveAll sends requests to a voter until they are served. open counts those that aren't served
// yet. The returned group is done when all have been served.
func (f *versionsFleet) serveAll(name string, requests []keyedRequest, open *atomic.Int64) *sync.WaitGroup {
	var group sync.WaitGroup
	f.t.Cleanup(group.Wait) // in case the test fails early
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

// controlAddress returns the address of the control port that a member's process logged last.
func (f *versionsFleet) controlAddress(name string) string {
	f.t.Helper()
	for _, l := range slices.Backward(f.Lines()) {
		if l.Child == name && strings.Contains(l.Event, "control") {
			return l.Fields["address"]
		}
	}
	f.t.Fatalf("%s has not logged the address of its control port", name)
	return ""
}

// lastRegistryWriter returns the member that wrote to the registry last, "" if none has.
func (f *versionsFleet) lastRegistryWriter() string {
	writes, _ := f.Registry.Writes()
	if len(writes) == 0 {
		return ""
	}
	return writes[len(writes)-1].By
}

// awaitRegistryWrite waits until the registry accepts a further write.
func (f *versionsFleet) awaitRegistryWrite(what string) {
	f.t.Helper()
	writes, _ := f.Registry.Writes()
	_, err := f.AwaitWrite(what, len(writes), func(w fakes.FencedWrite) bool { return w.Accepted })
	must(f.t, 0, err)
}

// checkBudget checks that since the last check the calls in flight never exceeded the fleet's
// budget.
func (f *versionsFleet) checkBudget() {
	f.t.Helper()
	most, _, _ := f.Ledger.Count()
	f.maxCalls = max(f.maxCalls, most)
	if most > budgetCalls {
		f.t.Errorf("the ledger had %d calls in flight, want at most the budget of %d", most, budgetCalls)
	}
}

// awaitRights waits until the free rights and those held by the current processes add up to the
// budgets, so that the rights of exited processes have been reclaimed.
func (f *versionsFleet) awaitRights() {
	f.t.Helper()
	took, err := f.Converge("quincerail_fleet_rights", rightsTimeout, func(all map[string]map[string]float64) bool {
		free := f.freeRights("v1")
		calls, repeats := free["calls"], free["repeats"]
		for _, rights := range all {
			calls, repeats = calls+rights["calls"], repeats+rights["repeats"]
		}
		return calls == budgetCalls && repeats == budgetRepeats
	})
	must(f.t, 0, err)
	f.rightsSettledAfter = append(f.rightsSettledAfter, took.Round(time.Millisecond))
}

// freeRights returns the rights that no member holds, from a voter's metrics.
func (f *versionsFleet) freeRights(name string) map[string]float64 {
	f.t.Helper()
	free, err := f.Scrape(name, "quincerail_fleet_free")
	return must(f.t, free, err)
}

// checkSettledState stops the callers, and then checks that all rights are held or free, that the
// voters agree on the free ones, and that the ledger received no more retries in any second than
// the budget allows.
func (f *versionsFleet) checkSettledState() {
	f.t.Helper()
	f.StopCallers()
	f.awaitRights()
	f.checkBudget()
	eventually(f.t, "the voters agree on the free rights", func() (string, bool) {
		one, two, three := f.freeRights("v1"), f.freeRights("v2"), f.freeRights("v3")
		return fmt.Sprint(one, two, three), fmt.Sprint(one) == fmt.Sprint(two) && fmt.Sprint(two) == fmt.Sprint(three)
	})
	if _, most := f.Ledger.Retries(time.Second - repeatJitter); most > budgetRepeats {
		f.t.Errorf("the ledger received %d retries in one second, want at most the budget of %d", most, budgetRepeats)
	}
}

// checkLogs checks that no process logged a fault, that all processes logged the same owner for
// each lease and token, and that the tokens in a process's log never decrease.
func (f *versionsFleet) checkLogs() {
	f.t.Helper()
	owners := map[string]string{}        // by lease and token
	highest := map[string]fencingToken{} // by process and lease
	exits, grants := map[string]int{}, 0 // number of exits by child, number of logged grants
	for _, l := range f.Lines() {
		if fault := logFault(l.Event, l.Fields["level"], l.Text); fault != "" {
			f.t.Errorf("%s: %s: %s", l.Child, fault, l.Text)
		}
		if l.Event == "exited" {
			exits[l.Child]++
		}
		if !slices.Contains(leaseEvents, l.Event) || l.Fields["to"] == "" {
			continue
		}
		grants++
		lease, token := l.Fields["lease"], parseFencingToken(l.Fields["token"])
		grant := fmt.Sprint(lease, token)
		if owner, known := owners[grant]; known && owner != l.Fields["to"] {
			f.t.Errorf("%s and %s both own lease and token %s", owner, l.Fields["to"], grant)
		}
		owners[grant] = l.Fields["to"]
		process := fmt.Sprint(l.Child, exits[l.Child], lease)
		if token.before(highest[process]) {
			f.t.Errorf("%s: token decreased: %s", l.Child, l.Text)
		}
		highest[process] = token
	}
	if grants == 0 {
		f.t.Errorf("no process logged any of the events %q", leaseEvents)
	}
}

// report logs the test's measurements.
func (f *versionsFleet) report(took time.Duration) {
	writes, _ := f.Registry.Writes()
	var owners []string
	for _, w := range writes {
		if w.Accepted && (len(owners) == 0 || owners[len(owners)-1] != w.By) {
			owners = append(owners, w.By)
		}
	}
	keys := 0
	for _, requests := range f.keyed {
		keys += len(requests)
	}
	repeats, _ := f.Ledger.Retries(time.Second)
	_, calls, _ := f.Ledger.Count()
	f.t.Logf("replacements %d, registry writes %d, successive owners %s, tokens %v to %v, keys %d, in flight at SIGTERM %d, calls %d (at most %d of %d in flight), "+
		"retries %d, rights settled after %v, took %v", f.replaced, len(writes), strings.Join(owners, " "), writes[0].Token, writes[len(writes)-1].Token,
		keys, f.inFlight.Load(), calls, f.maxCalls, budgetCalls, repeats, f.rightsSettledAfter, took.Round(time.Millisecond))
}
