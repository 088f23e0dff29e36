package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"quincerail.example/quincerail/internal/fakes"
)

// deployment is one of the example configurations, with three of its classes.
type deployment struct {
	example, read, other, keyed string
	fields                      map[string]string // additional request fields
}

// send sends a request with the deployment's fields.
func (d deployment) send(t *testing.T, n *node, class, key, body string) *fakes.Attempt {
	t.Helper()
	attempt, err := fakes.ThriftWith(d.fields)(n.thriftAddress, class, key, body)
	must(t, 0, err)
	must(t, 0, attempt.Send())
	return attempt
}

// awaitOutcome waits for the outcome of an attempt.
func awaitOutcome(t *testing.T, attempt *fakes.Attempt) fakes.Outcome {
	t.Helper()
	o, err := attempt.Outcome()
	return must(t, o, err)
}

// reloadSettings switches a node from the settings of from to those of to: it replaces the
// configuration and the uwsgi frontend's file, and sends SIGHUP. routes is the text of a uwsgi
// frontend's file with the classes of routesOf, which reloadSettings replaces by those of to.
func reloadSettings(t *testing.T, n *node, routes string, from, to deployment, routesOf deployment) {
	t.Helper()
	must(t, 0, os.Rename(writeConfigOf(t, to.example, n.addresses), n.config))
	names := strings.NewReplacer(routesOf.read, to.read, routesOf.other, to.other, routesOf.keyed, to.keyed)
	must(t, 0, os.WriteFile(n.args[1], []byte(names.Replace(routes)), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloadLines; !strings.Contains(line, "event=reloaded") {
		t.Fatalf("reload from %s to %s logs %q, want event=reloaded", from.example, to.example, line)
	}
}

// checkServed checks that requests of classes in the current settings are served, and that
// those of classes in the former settings are rejected.
func checkServed(t *testing.T, n *node, former, current deployment, key string) {
	t.Helper()
	if o := awaitOutcome(t, former.send(t, n, former.keyed, "another", "old")); o.Kind != "rejected" || n.work.Runs("old") > 0 {
		t.Errorf("a request of %s has outcome %v under the settings of %s, want it rejected and not run", former.example, o, current.example)
	}
	if o := awaitOutcome(t, current.send(t, n, current.keyed, key, "new")); o.Kind != "served" || n.work.Class("new") != current.keyed {
		t.Errorf("a request of %s has outcome %v and ran with class %q, want it served with class %q", current.example, o, n.work.Class("new"), current.keyed)
	}
}

// checkMetricClasses checks that no metric has a class of the former settings, and that the
// counts of removed classes are reported as class "(dropped)".
func checkMetricClasses(t *testing.T, page string, former, current deployment) {
	t.Helper()
	for _, name := range []string{former.read, former.other, former.keyed} {
		if strings.Contains(page, `"`+name+`"`) {
			t.Errorf("class %s of the former settings is in the metrics:\n%s", name, page)
		}
	}
	for _, label := range []string{`class="` + current.keyed + `",kind="served"`, `class="(dropped)",kind="served"`} {
		if !strings.Contains(page, label) {
			t.Errorf("metrics have no %s:\n%s", label, page)
		}
	}
}

// TestReload_SwitchesBetweenDeployments reloads a node by SIGHUP, alternately with the settings
// of two deployments that have different classes. Two requests are open at each reload: one
// waits for its downstream call and must be served under its former class, the other hangs
// and must be cancelled when its client cancels it. After the reload, requests of the former
// classes must be rejected, and no metric may have such a class.
func TestReload_SwitchesBetweenDeployments(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	must(t, 0, os.WriteFile(path, []byte("[metrics]\nlisten = '127.0.0.1:0'\n"), 0o600))
	n := startNodeWith(t, nil, "", "--operator", path)
	metrics := "http://" + <-n.metricsAddresses + "/metrics"
	routes, err := os.ReadFile(n.args[1])
	must(t, 0, err)

	one := deployment{"config.json", "kampanjsida", "givarhistorik", "ny-gava", nil}
	two := deployment{"tenants.json", "status", "free-slots", "book", map[string]string{"team": "coast", "limit": "6000"}}
	former := one
	for i, current := range []deployment{two, one, two} {
		key := fmt.Sprint("key ", i)
		open, hanging := former.send(t, n, former.keyed, key, "call hold"), former.send(t, n, former.read, "", "hang on")
		if call := <-n.ledger.Calls; call != "call hold" {
			t.Fatalf("the ledger received call %q, want %q", call, "call hold")
		}
		for body := ""; body != "hang on"; body = <-n.work.Started() {
		}
		reloadSettings(t, n, string(routes), former, current, one)
		checkServed(t, n, former, current, key+" new")
		n.ledger.Release()
		if o := awaitOutcome(t, open); o.Body != "done: call hold" || n.work.Class("call hold") != former.keyed {
			t.Errorf("the request open since %s has outcome %v and ran with class %q, want it served with class %q", former.example, o, n.work.Class("call hold"), former.keyed)
		}
		hanging.Cancel()
		if body := <-n.work.Stopped(); body != "hang on" {
			t.Errorf("the processor cancelled the run of %q, want %q", body, "hang on")
		}
		checkMetricClasses(t, scrape(t, metrics), former, current)
		former = current
	}
}
