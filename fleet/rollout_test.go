package fleet_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/faultproxy"
	"quincerail.example/quincerail/internal/fleettest"
)

const window = 200 * time.Millisecond

// plan is the rollout plan of the tests, in TOML. Durations are in windows.
const plan = `watch = 20
watch_most = 250
warm = 5
stages = [{share = 0, bake = 10, sample = 300, patience = %d}, {share = 0.5, bake = 10, sample = 600, patience = 600},
  {share = 1, bake = 5, patience = 600}]
limits = {worse = %v, mistaken = 0.01, missed = 0.001, least = 0.02}
`

// startVersions starts three voters and three members in three zones, with a backend that
// is late for two in five requests. It builds variants of the program, by version name,
// with the given edits of its source.
func startVersions(t *testing.T, o fleettest.Options, edits map[string]fleettest.Edit) testFleet {
	t.Helper()
	o.Versions = map[string]string{"v2": binary}
	for name, e := range edits {
		var err error
		if o.Versions[name], err = fleettest.BuildVariant(t.TempDir(), name, e); err != nil {
			t.Fatal(err)
		}
	}
	o.Version, o.Voters, o.Members, o.Load, o.Within = "v1", 3, 3, 8, 2*time.Minute
	o.Settings = map[string]any{"election_ms": 500, "lease_ms": 500, "window_ms": window.Milliseconds()}
	o.MemberSettings = map[string]map[string]any{}
	for i, name := range []string{"v1", "v2", "v3", "m1", "m2", "m3"} {
		o.MemberSettings[name] = map[string]any{"zone": fmt.Sprint("hall", i%3+1)}
		if i < 3 {
			o.MemberSettings[name]["operators"] = "127.0.0.1:0"
		}
	}
	o.Adjust = func(config map[string]any) {
		config["stop_ms"] = 1200
		settings := jsonMember[map[string]any](t, config, "settings")
		info := jsonMember[map[string]any](t, settings, "familyInfo")
		info["cores"], info["keyKb"] = 16, 0.05
		jsonMember[map[string]any](t, settings, "obligations")["drainGraceUs"] = 200000
		for i := range jsonMember[[]any](t, settings, "lanes") {
			lane, ok := jsonMember[[]any](t, settings, "lanes")[i].(map[string]any)
			if !ok {
				t.Fatalf("lane %d is not an object", i)
			}
			lane["goalTimeUs"] = 40000
		}
	}
	o.Work = func() *fakes.Work {
		w := fakes.NewWork(2 * time.Millisecond)
		w.SlowPerThousand, w.SlowDuration = 400, 60*time.Millisecond
		return w
	}
	return startFleet(t, o)
}

// jsonMember returns a member of a JSON object. It fails the test unless the member has
// type T.
func jsonMember[T any](t *testing.T, object map[string]any, key string) T {
	t.Helper()
	value, ok := object[key].(T)
	if !ok {
		t.Fatalf("member %s has the unexpected type %T", key, object[key])
	}
	return value
}

// runOperatorCommand runs an operator's command of the program against a voter.
func (r testFleet) runOperatorCommand(voter, command string, args ...string) (string, error) {
	r.t.Helper()
	address, err := r.OperatorAddress(voter)
	if err != nil {
		r.t.Fatal(err)
	}
	all := append(strings.Fields(command), "--address", address)
	out, err := exec.CommandContext(r.t.Context(), binary, append(all, args...)...).CombinedOutput()
	return string(out), err
}

// startRollout starts a rollout after v1 has reports of all six servers.
func (r testFleet) startRollout(patience int, worse float64, args ...string) {
	r.t.Helper()
	file := filepath.Join(r.t.TempDir(), "plan.toml")
	writeFile(r.t, file, fmt.Sprintf(plan, patience, worse))
	r.eventually("v1 has reports of all servers", func() (string, bool) {
		s, err := r.ChangeStatus("v1")
		return fmt.Sprint(len(s.Servers), " ", err), err == nil && len(s.Servers) == 6
	})
	if out, err := r.runOperatorCommand("v1", "rollout start", append([]string{"--plan", file}, args...)...); err != nil {
		r.t.Fatalf("rollout start: %v: %s", err, out)
	}
}

// awaitPhase waits until a voter has logged a phase and stage of the rollout, and returns
// the log line. An empty stage matches any.
func (r testFleet) awaitPhase(phase, stage string) fleettest.Line {
	r.t.Helper()
	l, err := r.Await("phase "+phase+" of stage "+stage, 0, func(l fleettest.Line) bool {
		return l.Event == "rollout" && l.Fields["phase"] == phase && (stage == "" || l.Fields["stage"] == stage)
	})
	if err != nil {
		status, _ := r.runOperatorCommand("v1", "rollout status")
		r.t.Fatalf("%v\n%s\n%s", err, status, r.comparison())
	}
	return l
}

// comparison describes what the rollout's tests have counted and compared, for failures.
func (r testFleet) comparison() string {
	status, err := r.ChangeStatus("v1")
	if err != nil {
		return err.Error()
	}
	state := status.Record.State
	return fmt.Sprintf("tests: %+v\nhistories: %+v\nslow from: %v", state.Tests, state.Histories, state.SlowBound)
}

// loggedPhases returns the phases and stages of the rollout in the order of the voters'
// logs. All voters must have logged the same for an entry.
func (r testFleet) loggedPhases() (out []string) {
	r.t.Helper()
	at := map[string]string{}
	for _, l := range r.Lines() {
		if l.Event != "rollout" {
			continue
		}
		what := l.Fields["phase"] + " " + l.Fields["stage"]
		entry := l.Fields["entry"]
		if was, known := at[entry]; known && was != what {
			r.t.Errorf("voters log entry %s as %q and as %q", entry, was, what)
		} else if !known {
			out = append(out, what)
		}
		at[entry] = what
	}
	return slices.DeleteFunc(out, func(s string) bool { return s == " 0" || s == "watching 0" })
}

// checkPhases checks the result of loggedPhases.
func (r testFleet) checkPhases(want ...string) {
	r.t.Helper()
	if got := r.loggedPhases(); !slices.Equal(got, want) {
		r.t.Errorf("logged phases = %q, want %q", got, want)
	}
}

// TestRollout_HaltsWorseBuildAtFirstStage rolls out a build with more late responses. The
// rollout must halt at the first stage, on one server. At first the starter refuses to
// roll that server back. Until the server is rolled back, the status must list it.
func TestRollout_HaltsWorseBuildAtFirstStage(t *testing.T) {
	const report = "core.RunCompleted(e.id, e.end, e.took, e.result)"
	r := startVersions(t, fleettest.Options{Word: "page"}, map[string]fleettest.Edit{"late": {
		File: filepath.Join("..", "backend", "processor.go"), Old: report,
		// Makes 134 of 1000 responses late. Three in five were on time before.
		New: "report := func() { " + report + " }\nif time.Now().UnixMicro()%1000 < 134 {\ntime.AfterFunc(60*time.Millisecond, report)\nreturn\n}\nreport()",
	}})
	r.startRollout(900, 1.2, "--id", "r1", "--from", "v1", "--to", "late")
	stuck := make(chan struct{})
	starter := r.Starter(func(_, version string) bool {
		if version == "late" {
			return false
		}
		select {
		case <-stuck:
			return false
		default:
			return true
		}
	})
	back := r.awaitPhase("back", "0")
	if !strings.Contains(back.Fields["reason"], "late is worse") && !strings.Contains(back.Fields["reason"], "slow is worse") {
		t.Errorf("reason for the rollback = %q, want \"late is worse\" or \"slow is worse\"", back.Fields["reason"])
	}
	if r.Running("late") != 1 {
		t.Errorf("%d servers run the worse build, want 1", r.Running("late"))
	}
	r.eventually("the status lists the pending server", func() (string, bool) {
		out, err := r.runOperatorCommand("v2", "rollout status")
		return fmt.Sprint(err, "\n", out), err == nil && strings.Contains(out, "waits for:")
	})
	close(stuck)
	r.awaitPhase("halted", "0")
	most, err := starter.Stop()
	if err != nil || most["late"] != 1 || r.Running("v1") != 6 {
		t.Errorf("starter: error %v; at most %v servers by version, want 1 with late; %d run v1, want 6", err, most, r.Running("v1"))
	}
	r.checkPhases("replacing 0", "baking 0", "back 0", "halted 0")
}

// rolloutOwner returns the owner of RolloutLease according to the first voter that knows
// one.
func (r testFleet) rolloutOwner() string {
	r.t.Helper()
	for _, v := range []string{"v1", "v2", "v3"} {
		if s, err := r.ChangeStatus(v); err == nil && s.Owner != "" {
			return s.Owner
		}
	}
	r.t.Fatal("no voter knows an owner of the rollout lease")
	return ""
}

// awaitOtherRolloutOwner waits until a process other than former logs that RolloutLease has
// an owner other than former.
func (r testFleet) awaitOtherRolloutOwner(former string) {
	r.t.Helper()
	if _, err := r.Await("another owner of the rollout lease", len(r.Lines()), func(l fleettest.Line) bool {
		return l.Event == "lease" && l.Fields["lease"] == "rollout" && l.Child != former && l.Fields["to"] != former && l.Fields["to"] != ""
	}); err != nil {
		r.t.Fatal(err)
	}
}

// TestRollout_ContinuesAcrossOwnerFailures rolls out a good build, while owners of the
// rollout are killed and paused during stages. The rollout must go through each stage
// once, and the paused owner must change nothing when it resumes.
func TestRollout_ContinuesAcrossOwnerFailures(t *testing.T) {
	r := startVersions(t, fleettest.Options{Word: "page"}, nil)
	r.startRollout(900, 1.5, "--id", "r2", "--from", "v1", "--to", "v2")
	starter := r.Starter(nil)
	r.awaitPhase("baking", "0")
	killed := r.rolloutOwner()
	if err := r.Kill(killed); err != nil {
		t.Fatal(err)
	}
	r.awaitOtherRolloutOwner(killed)
	if err := r.Launch(killed); err != nil {
		t.Fatal(err)
	}
	r.awaitPhase("replacing", "1")
	stopped := r.rolloutOwner()
	r.sendSignal(stopped, syscall.SIGSTOP)
	r.awaitOtherRolloutOwner(stopped)
	r.sendSignal(stopped, syscall.SIGCONT)
	r.awaitPhase("done", "2")
	most, err := starter.Stop()
	if err != nil || most["v2"] != 6 {
		t.Errorf("starter: error %v; at most %v servers by version, want 6 with v2", err, most)
	}
	r.checkPhases("replacing 0", "baking 0", "replacing 1", "baking 1", "replacing 2", "baking 2", "done 2")
	if out, err := r.runOperatorCommand("v3", "rollout start", "--id", "r2", "--from", "v1", "--to", "v2"); err == nil || !strings.Contains(out, "the previous plan has the same id") {
		t.Errorf("rollout start with a used plan ID: error %v, output %q; want an error that the previous plan has the same id", err, out)
	}
}

// TestRollout_HaltsWhenOldVersionFails rolls out a build that works by itself, but writes a
// form that the old version can't read. The failures of the old servers must halt the
// rollout.
func TestRollout_HaltsWhenOldVersionFails(t *testing.T) {
	const post = "post := ledger.AppendCall(nil, id, wait, body)"
	r := startVersions(t, fleettest.Options{Class: "ny-gava", CallDuration: 5 * time.Millisecond}, map[string]fleettest.Edit{"newform": {
		File: filepath.Join("..", "downstream", "pool.go"), Old: post,
		New: fmt.Sprintf("post := ledger.AppendCall(nil, id, wait, append([]byte(%q), body...))", fakes.NewFormPrefix),
	}})
	r.startRollout(900, 1.5, "--id", "r3", "--from", "v1", "--to", "newform")
	starter := r.Starter(nil)
	back := r.awaitPhase("back", "0")
	if !strings.Contains(back.Fields["reason"], "old-failed is worse") {
		t.Errorf("reason for the rollback = %q, want \"old-failed is worse\"", back.Fields["reason"])
	}
	r.awaitPhase("halted", "0")
	if most, err := starter.Stop(); err != nil || most["newform"] != 1 {
		t.Errorf("starter: error %v; at most %v servers by version, want 1 with newform", err, most)
	}
}

// TestRollout_HaltsWithoutReports drops the gossip messages from the zone of the first
// changed server. A server without reports must not count as good, so the stage must wait
// and then roll back.
func TestRollout_HaltsWithoutReports(t *testing.T) {
	r := startVersions(t, fleettest.Options{Word: "page"}, nil)
	r.startRollout(40, 1.5, "--id", "r4", "--from", "v1", "--to", "v2")
	starter := r.Starter(nil)
	r.awaitPhase("replacing", "0")
	// The plan's ID determines which server is the first. With this ID it is not a voter.
	var first string
	r.eventually("the plan wants v2 on a server", func() (string, bool) {
		s, err := r.ChangeStatus("v1")
		for name, version := range s.DesiredVersions {
			if version == "v2" {
				first = name
			}
		}
		return fmt.Sprint(err), first != ""
	})
	if !strings.HasPrefix(first, "m") {
		t.Fatalf("the first server is %s, want one that is not a voter", first)
	}
	zone := r.MemberSettings(first)["zone"]
	r.Net.SetRule(faultproxy.Rule{Partitioned: true}, func(p *faultproxy.Link) bool { return p.Kind == "gossip" && r.MemberSettings(p.From)["zone"] == zone })
	back := r.awaitPhase("back", "0")
	if !strings.Contains(back.Fields["reason"], "no word") && !strings.Contains(back.Fields["reason"], "did not come to run") {
		t.Errorf("reason for the rollback = %q, want \"no word\" or \"did not come to run\"", back.Fields["reason"])
	}
	r.Net.Heal()
	r.awaitPhase("halted", "0")
	if most, err := starter.Stop(); err != nil || most["v2"] != 1 {
		t.Errorf("starter: error %v; at most %v servers by version, want 1 with v2", err, most)
	}
}

// awaitSettings waits until a server has logged, since line from, that it applied the
// settings with a number.
func (r testFleet) awaitSettings(server, number string, from int) {
	r.t.Helper()
	r.awaitLogLine(from, server, "settings", func(f map[string]string) bool { return f["settings"] == number })
}

// settingsPatches writes two patches of settings. All servers accept the good one. The bad
// one renames a class, so that servers with rules for that class reject it.
func settingsPatches(t *testing.T) (good, bad string) {
	t.Helper()
	good, bad = filepath.Join(t.TempDir(), "good.json"), filepath.Join(t.TempDir(), "bad.json")
	writeFile(t, good, `{"familyInfo": {"idleUs": 20000000}}`)
	var example struct {
		Settings struct {
			Lanes []map[string]any `json:"lanes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal([]byte(dispatchtest.ReadExample(t, "config.json")), &example); err != nil {
		t.Fatal(err)
	}
	lanes := example.Settings.Lanes
	lanes[1]["name"] = "givarhistorik-2"
	patch, err := json.Marshal(map[string]any{"lanes": lanes})
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, bad, string(patch))
	return good, bad
}

// awaitSettingsRolledBack waits until voters have logged, since line from, that m2's
// rejection of settings 2 has rolled them back.
func (r testFleet) awaitSettingsRolledBack(from int) {
	r.t.Helper()
	back, err := r.Await("the start of the rollback", from, func(l fleettest.Line) bool { return l.Event == "rollout" && l.Fields["phase"] == "back" })
	if err != nil {
		r.t.Fatal(err)
	}
	if why := back.Fields["reason"]; !strings.Contains(why, "m2 turned 2 down") || !strings.Contains(why, "givarhistorik") {
		r.t.Errorf("reason for the rollback = %q, want \"m2 turned 2 down\" and the class givarhistorik", why)
	}
	if _, err := r.Await("the end of the rollback", from, func(l fleettest.Line) bool { return l.Event == "rollout" && l.Fields["phase"] == "halted" }); err != nil {
		r.t.Fatal(err)
	}
}

// checkSettingsInUse checks that all servers report the settings with a number.
func (r testFleet) checkSettingsInUse(number uint64) {
	r.t.Helper()
	s, err := r.ChangeStatus("v1")
	if err != nil {
		r.t.Fatal(err)
	}
	for _, server := range s.Servers {
		if server.SettingsNumber != number {
			r.t.Errorf("%s runs settings %d, want %d", server.Name, server.SettingsNumber, number)
		}
	}
}

// TestRollout_AppliesOrRollsBackSettings rolls out two patches of settings. The good one must
// reach all servers, also one that restarts with the settings of its file. The bad one is
// rejected by a server whose rules need a class that the patch renames, and must be rolled
// back everywhere. A server that no message reaches meanwhile must keep the good one.
func TestRollout_AppliesOrRollsBackSettings(t *testing.T) {
	rules, err := filepath.Abs(filepath.Join("..", "deploy", "rules.toml"))
	if err != nil {
		t.Fatal(err)
	}
	r := startVersions(t, fleettest.Options{Word: "page", OperatorFileKeys: map[string]map[string]any{"m2": {"rules": rules}}}, nil)
	good, bad := settingsPatches(t)
	r.startRollout(900, 1.5, "--id", "s1", "--settings", good)
	r.awaitPhase("done", "2")
	for name := range r.Children {
		r.awaitSettings(name, "1", 0)
	}
	from := len(r.Lines())
	if err := r.Kill("m1"); err != nil {
		t.Fatal(err)
	}
	if err := r.Launch("m1"); err != nil { // with the settings of its file
		t.Fatal(err)
	}
	r.awaitSettings("m1", "1", from)

	r.Net.SetRule(faultproxy.Rule{Partitioned: true}, func(p *faultproxy.Link) bool { return p.Kind == "gossip" && p.To == "m3" })
	from = len(r.Lines())
	r.startRollout(900, 1.5, "--id", "s2", "--settings", bad)
	r.awaitSettingsRolledBack(from)
	r.Net.Heal()
	r.checkSettingsInUse(1)
	for _, l := range r.Lines()[from:] {
		if l.Child == "m3" && l.Event == "settings" {
			t.Errorf("m3 applied settings while it was cut off: %s", l.Text)
		}
	}
}
