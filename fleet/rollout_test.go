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

// plan is what the tests' rollouts go by, in windows.
const plan = `watch = 20
watch_most = 250
warm = 5
stages = [{share = 0, bake = 10, sample = 300, patience = %d}, {share = 0.5, bake = 10, sample = 600, patience = 600},
  {share = 1, bake = 5, patience = 600}]
limits = {worse = %v, mistaken = 0.01, missed = 0.001, least = 0.02}
`

// versions starts three voters and three members in three zones, which answer
// two in five requests late, and builds what versions has: edits of the program.
func versions(t *testing.T, o fleettest.Options, edits map[string]fleettest.Edit) run {
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
	o.Own = map[string]map[string]any{}
	for i, name := range []string{"v1", "v2", "v3", "m1", "m2", "m3"} {
		o.Own[name] = map[string]any{"zone": fmt.Sprint("hall", i%3+1)}
		if i < 3 {
			o.Own[name]["operators"] = "127.0.0.1:0"
		}
	}
	o.Adjust = func(config map[string]any) {
		config["stop_ms"] = 1200
		settings := get[map[string]any](t, config, "settings")
		info := get[map[string]any](t, settings, "familyInfo")
		info["cores"], info["keyKb"] = 16, 0.05
		get[map[string]any](t, settings, "obligations")["drainGraceUs"] = 200000
		for i := range get[[]any](t, settings, "lanes") {
			lane, ok := get[[]any](t, settings, "lanes")[i].(map[string]any)
			if !ok {
				t.Fatalf("lane %d is no object", i)
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

// get returns a member of a JSON object, which has to be of type T.
func get[T any](t *testing.T, object map[string]any, key string) T {
	t.Helper()
	value, ok := object[key].(T)
	if !ok {
		t.Fatalf("%s is a %T", key, object[key])
	}
	return value
}

// operator runs one of the program's commands against a voter.
func (r run) operator(voter, command string, args ...string) (string, error) {
	r.t.Helper()
	address, err := r.Operators(voter)
	if err != nil {
		r.t.Fatal(err)
	}
	all := append(strings.Fields(command), "--address", address)
	out, err := exec.CommandContext(r.t.Context(), binary, append(all, args...)...).CombinedOutput()
	return string(out), err
}

// begin starts a rollout, once all six servers are known to a voter.
func (r run) begin(patience int, worse float64, args ...string) {
	r.t.Helper()
	file := filepath.Join(r.t.TempDir(), "plan.toml")
	writeFile(r.t, file, fmt.Sprintf(plan, patience, worse))
	r.until("v1 knows of all servers", func() (string, bool) {
		s, err := r.Change("v1")
		return fmt.Sprint(len(s.Servers), " ", err), err == nil && len(s.Servers) == 6
	})
	if out, err := r.operator("v1", "rollout start", append([]string{"--plan", file}, args...)...); err != nil {
		r.t.Fatalf("%v: %s", err, out)
	}
}

// phase waits until some voter's log has the rollout in a phase and stage, and gives
// the line.
func (r run) phase(phase, stage string) fleettest.Line {
	r.t.Helper()
	l, err := r.Await("phase "+phase+" of stage "+stage, 0, func(l fleettest.Line) bool {
		return l.Event == "rollout" && l.Fields["phase"] == phase && (stage == "" || l.Fields["stage"] == stage)
	})
	if err != nil {
		status, _ := r.operator("v1", "rollout status")
		r.t.Fatalf("%v\n%s", err, status)
	}
	return l
}

// course gives the phases and stages that a rollout went through, by the voters'
// logs, which must agree entry by entry.
func (r run) course() (out []string) {
	r.t.Helper()
	at := map[string]string{}
	for _, l := range r.Lines() {
		if l.Event != "rollout" {
			continue
		}
		what := l.Fields["phase"] + " " + l.Fields["stage"]
		entry := l.Fields["entry"]
		if was, known := at[entry]; known && was != what {
			r.t.Errorf("entry %s is %q and %q", entry, was, what)
		} else if !known {
			out = append(out, what)
		}
		at[entry] = what
	}
	return slices.DeleteFunc(out, func(s string) bool { return s == " 0" || s == "watching 0" })
}

func (r run) wantCourse(want ...string) {
	r.t.Helper()
	if got := r.course(); !slices.Equal(got, want) {
		r.t.Errorf("the rollout went %q, want %q", got, want)
	}
}

// TestRolloutWorse rolls out a build that answers a fifth more requests late: it
// is halted at the first stage, on one server. The way back fails there at first:
// the server is named until it is back.
func TestRolloutWorse(t *testing.T) {
	const report = "core.RunCompleted(e.id, e.end, e.took, e.result)"
	r := versions(t, fleettest.Options{Word: "page"}, map[string]fleettest.Edit{"late": {
		File: filepath.Join("..", "backend", "processor.go"), Old: report,
		// Of the three in five that were in time two in fifteen are late now.
		New: "report := func() { " + report + " }\nif time.Now().UnixMicro()%1000 < 134 {\ntime.AfterFunc(60*time.Millisecond, report)\nreturn\n}\nreport()",
	}})
	r.begin(900, 1.2, "--id", "r1", "--from", "v1", "--to", "late")
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
	back := r.phase("back", "0")
	if !strings.Contains(back.Fields["reason"], "late is worse") && !strings.Contains(back.Fields["reason"], "slow is worse") {
		t.Errorf("halted for %q", back.Fields["reason"])
	}
	if r.Running("late") != 1 {
		t.Errorf("%d servers run it", r.Running("late"))
	}
	r.until("the server is named", func() (string, bool) {
		out, err := r.operator("v2", "rollout status")
		return fmt.Sprint(err, "\n", out), err == nil && strings.Contains(out, "waits for:")
	})
	close(stuck)
	r.phase("halted", "0")
	most, err := starter.Stop()
	if err != nil || most["late"] != 1 || r.Running("v1") != 6 {
		t.Errorf("%v, at most %v, %d run v1", err, most, r.Running("v1"))
	}
	r.wantCourse("replacing 0", "baking 0", "back 0", "halted 0")
}

// rolloutOwner returns the owner of the rollout's lease.
func (r run) rolloutOwner() string {
	r.t.Helper()
	for _, v := range []string{"v1", "v2", "v3"} {
		if s, err := r.Change(v); err == nil && s.Owner != "" {
			return s.Owner
		}
	}
	r.t.Fatal("nobody owns the rollout")
	return ""
}

// rolloutOwnerOtherThan waits until the log of a process other than former says
// that the rollout's lease has another owner.
func (r run) rolloutOwnerOtherThan(former string) {
	r.t.Helper()
	if _, err := r.Await("another owner", len(r.Lines()), func(l fleettest.Line) bool {
		return l.Event == "lease" && l.Fields["lease"] == "rollout" && l.Child != former && l.Fields["to"] != former && l.Fields["to"] != ""
	}); err != nil {
		r.t.Fatal(err)
	}
}

// TestRolloutOwners rolls out a good build while owners of the rollout are killed
// and stopped in the midst of stages: it goes through each stage once, and an old
// owner that wakes late changes nothing.
func TestRolloutOwners(t *testing.T) {
	r := versions(t, fleettest.Options{Word: "page"}, nil)
	r.begin(900, 1.5, "--id", "r2", "--from", "v1", "--to", "v2")
	starter := r.Starter(nil)
	r.phase("baking", "0")
	killed := r.rolloutOwner()
	if err := r.Kill(killed); err != nil {
		t.Fatal(err)
	}
	r.rolloutOwnerOtherThan(killed)
	if err := r.Launch(killed); err != nil {
		t.Fatal(err)
	}
	r.phase("replacing", "1")
	stopped := r.rolloutOwner()
	r.signal(stopped, syscall.SIGSTOP)
	r.rolloutOwnerOtherThan(stopped)
	r.signal(stopped, syscall.SIGCONT)
	r.phase("done", "2")
	most, err := starter.Stop()
	if err != nil || most["v2"] != 6 {
		t.Errorf("%v, at most %v", err, most)
	}
	r.wantCourse("replacing 0", "baking 0", "replacing 1", "baking 1", "replacing 2", "baking 2", "done 2")
	if out, err := r.operator("v3", "rollout start", "--id", "r2", "--from", "v1", "--to", "v2"); err == nil || !strings.Contains(out, "was there before") {
		t.Errorf("the same plan once more: %v, %s", err, out)
	}
}

// TestRolloutMixed rolls out a build that is fine alone, and writes what the old
// one can't read: the old servers' failures halt it.
func TestRolloutMixed(t *testing.T) {
	const post = "post := ledger.AppendCall(nil, id, wait, body)"
	r := versions(t, fleettest.Options{Class: "ny-gava", Took: 5 * time.Millisecond}, map[string]fleettest.Edit{"newform": {
		File: filepath.Join("..", "downstream", "pool.go"), Old: post,
		New: fmt.Sprintf("post := ledger.AppendCall(nil, id, wait, append([]byte(%q), body...))", fakes.NewForm),
	}})
	r.begin(900, 1.5, "--id", "r3", "--from", "v1", "--to", "newform")
	starter := r.Starter(nil)
	back := r.phase("back", "0")
	if !strings.Contains(back.Fields["reason"], "old-failed is worse") {
		t.Errorf("halted for %q", back.Fields["reason"])
	}
	r.phase("halted", "0")
	if most, err := starter.Stop(); err != nil || most["newform"] != 1 {
		t.Errorf("%v, at most %v", err, most)
	}
}

// TestRolloutSilent cuts off what one zone says once its server has the change:
// what is not reported is never good, so the stage waits, and goes back.
func TestRolloutSilent(t *testing.T) {
	r := versions(t, fleettest.Options{Word: "page"}, nil)
	r.begin(40, 1.5, "--id", "r4", "--from", "v1", "--to", "v2")
	starter := r.Starter(nil)
	r.phase("replacing", "0")
	// The plan's name draws which server is the first: a plain member here.
	var first string
	r.until("a server is to run v2", func() (string, bool) {
		s, err := r.Change("v1")
		for name, version := range s.DesiredVersions {
			if version == "v2" {
				first = name
			}
		}
		return fmt.Sprint(err), first != ""
	})
	if !strings.HasPrefix(first, "m") {
		t.Fatalf("the first is %s", first)
	}
	zone := r.Own(first)["zone"]
	r.Net.SetRule(faultproxy.Rule{Partitioned: true}, func(p *faultproxy.Link) bool { return p.Kind == "gossip" && r.Own(p.From)["zone"] == zone })
	back := r.phase("back", "0")
	if !strings.Contains(back.Fields["reason"], "no word") && !strings.Contains(back.Fields["reason"], "did not come to run") {
		t.Errorf("halted for %q", back.Fields["reason"])
	}
	r.Net.Heal()
	r.phase("halted", "0")
	if most, err := starter.Stop(); err != nil || most["v2"] != 1 {
		t.Errorf("%v, at most %v", err, most)
	}
}

// settings waits until a server's log says that it put settings in force, from a
// place of the logs on.
func (r run) settings(server, number string, from int) {
	r.t.Helper()
	r.line(from, server, "settings", func(f map[string]string) bool { return f["settings"] == number })
}

// settingsPatches writes two patches of settings: good for all servers, and bad
// for those whose rules lead to a class that it renames.
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

// settingsRejected waits until the bad settings were rolled back, from a place of
// the logs on.
func (r run) settingsRejected(from int) {
	r.t.Helper()
	back, err := r.Await("the way back", from, func(l fleettest.Line) bool { return l.Event == "rollout" && l.Fields["phase"] == "back" })
	if err != nil {
		r.t.Fatal(err)
	}
	if why := back.Fields["reason"]; !strings.Contains(why, "m2 turned 2 down") || !strings.Contains(why, "givarhistorik") {
		r.t.Errorf("halted for %q", why)
	}
	if _, err := r.Await("all back", from, func(l fleettest.Line) bool { return l.Event == "rollout" && l.Fields["phase"] == "halted" }); err != nil {
		r.t.Fatal(err)
	}
}

// runSettings checks that all servers run settings of a number, as a voter knows.
func (r run) runSettings(number uint64) {
	r.t.Helper()
	s, err := r.Change("v1")
	if err != nil {
		r.t.Fatal(err)
	}
	for _, x := range s.Servers {
		if x.SettingsNumber != number {
			r.t.Errorf("%s runs settings %d", x.Name, x.SettingsNumber)
		}
	}
}

// TestSettings rolls out settings: good ones reach all servers, also one that
// comes back as its file says. Then ones that are valid alone: a server whose
// rules lead to a class that they rename turns them down, and all go back. One
// that the stream does not reach meanwhile keeps the last good ones.
func TestSettings(t *testing.T) {
	rules, err := filepath.Abs(filepath.Join("..", "deploy", "rules.toml"))
	if err != nil {
		t.Fatal(err)
	}
	r := versions(t, fleettest.Options{Word: "page", Files: map[string]map[string]any{"m2": {"rules": rules}}}, nil)
	good, bad := settingsPatches(t)
	r.begin(900, 1.5, "--id", "s1", "--settings", good)
	r.phase("done", "2")
	for name := range r.Children {
		r.settings(name, "1", 0)
	}
	from := len(r.Lines())
	if err := r.Kill("m1"); err != nil {
		t.Fatal(err)
	}
	if err := r.Launch("m1"); err != nil { // as its file says
		t.Fatal(err)
	}
	r.settings("m1", "1", from)

	r.Net.SetRule(faultproxy.Rule{Partitioned: true}, func(p *faultproxy.Link) bool { return p.Kind == "gossip" && p.To == "m3" })
	from = len(r.Lines())
	r.begin(900, 1.5, "--id", "s2", "--settings", bad)
	r.settingsRejected(from)
	r.Net.Heal()
	r.runSettings(1)
	for _, l := range r.Lines()[from:] {
		if l.Child == "m3" && l.Event == "settings" {
			t.Errorf("m3, cut off: %s", l.Text)
		}
	}
}
