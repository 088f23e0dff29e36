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

// deployment is one of the example's settings, with three of its classes.
type deployment struct {
	example, read, other, keyed string
	fields                      map[string]string // that its requests have beside the common ones
}

// ask sends a request of the deployment.
func (d deployment) ask(t *testing.T, n *node, class, key, body string) *fakes.Attempt {
	t.Helper()
	try, err := fakes.ThriftWith(d.fields)(n.thrift, class, key, body)
	must(t, 0, err)
	must(t, 0, try.Send())
	return try
}

func outcomeOf(t *testing.T, try *fakes.Attempt) fakes.Outcome {
	t.Helper()
	o, err := try.Outcome()
	return must(t, o, err)
}

// loadSettings has a node whose uwsgi routes are for one deployment load the settings of
// another by SIGHUP.
func loadSettings(t *testing.T, n *node, routes string, from, to deployment, routesOf deployment) {
	t.Helper()
	must(t, 0, os.Rename(writeConfigOf(t, to.example, n.addresses), n.config))
	names := strings.NewReplacer(routesOf.read, to.read, routesOf.other, to.other, routesOf.keyed, to.keyed)
	must(t, 0, os.WriteFile(n.args[1], []byte(names.Replace(routes)), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloads; !strings.Contains(line, "event=reloaded") {
		t.Fatalf("from %s to %s: %s", from.example, to.example, line)
	}
}

// checkServed sees that requests of the settings in force are served, and those of the
// former ones are not.
func checkServed(t *testing.T, n *node, former, inForce deployment, key string) {
	t.Helper()
	if o := outcomeOf(t, former.ask(t, n, former.keyed, "another", "old")); o.Kind != "rejected" || n.work.Runs("old") > 0 {
		t.Errorf("a request of %s is %v under %s", former.example, o, inForce.example)
	}
	if o := outcomeOf(t, inForce.ask(t, n, inForce.keyed, key, "new")); o.Kind != "served" || n.work.Class("new") != inForce.keyed {
		t.Errorf("a request of %s: %v, run as %s", inForce.example, o, n.work.Class("new"))
	}
}

// checkMetrics sees that no metric has a class of the former settings.
func checkMetrics(t *testing.T, page string, former, inForce deployment) {
	t.Helper()
	for _, name := range []string{former.read, former.other, former.keyed} {
		if strings.Contains(page, `"`+name+`"`) {
			t.Errorf("%s of the old settings is in\n%s", name, page)
		}
	}
	for _, label := range []string{`class="` + inForce.keyed + `",kind="served"`, `class="(dropped)",kind="served"`} {
		if !strings.Contains(page, label) {
			t.Errorf("no %s in\n%s", label, page)
		}
	}
}

// TestTwoDeployments loads the settings of one deployment after those of another, by
// SIGHUP and back again, each time with a run of the one before standing at its call
// and another that hangs. What is open keeps the class that it came under and is
// answered; nothing is taken under a name of the old settings, and no metric has one.
func TestTwoDeployments(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	must(t, 0, os.WriteFile(path, []byte("[metrics]\nlisten = '127.0.0.1:0'\n"), 0o600))
	n := startOn(t, nil, "", "--operator", path)
	metrics := "http://" + <-n.metrics + "/metrics"
	routes, err := os.ReadFile(n.args[1])
	must(t, 0, err)

	one := deployment{"config.json", "kampanjsida", "givarhistorik", "ny-gava", nil}
	two := deployment{"tenants.json", "status", "free-slots", "book", map[string]string{"team": "coast", "limit": "6000"}}
	was := one
	for i, now := range []deployment{two, one, two} {
		key := fmt.Sprint("key ", i)
		open, hangs := was.ask(t, n, was.keyed, key, "call hold"), was.ask(t, n, was.read, "", "hang on")
		if call := <-n.ledger.Calls; call != "call hold" {
			t.Fatal(call)
		}
		for body := ""; body != "hang on"; body = <-n.work.Started() {
		}
		loadSettings(t, n, string(routes), was, now, one)
		checkServed(t, n, was, now, key+" new")
		n.ledger.Release()
		if o := outcomeOf(t, open); o.Body != "done: call hold" || n.work.Class("call hold") != was.keyed {
			t.Errorf("what was open under %s: %v, run as %s", was.example, o, n.work.Class("call hold"))
		}
		hangs.Cancel()
		if body := <-n.work.Stopped(); body != "hang on" {
			t.Errorf("%s was stopped", body)
		}
		checkMetrics(t, scrape(t, metrics), was, now)
		was = now
	}
}
