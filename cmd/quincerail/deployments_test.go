package main_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"quincerail.example/quincerail/internal/fakes"
)

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

	type deployment struct {
		example, read, other, keyed string
		fields                      map[string]string
	}
	one := deployment{"config.json", "kampanjsida", "givarhistorik", "ny-gava", nil}
	two := deployment{"tenants.json", "status", "free-slots", "book", map[string]string{"team": "coast", "limit": "6000"}}
	ask := func(d deployment, class, key, body string) *fakes.Try {
		t.Helper()
		try, err := fakes.ThriftWith(d.fields)(n.thrift, class, key, body)
		must(t, 0, err)
		must(t, 0, try.Send())
		return try
	}
	outcome := func(try *fakes.Try) fakes.Outcome {
		t.Helper()
		o, err := try.Outcome()
		return must(t, o, err)
	}
	was := one
	for i, now := range []deployment{two, one, two} {
		key := fmt.Sprint("key ", i)
		open, hangs := ask(was, was.keyed, key, "call hold"), ask(was, was.read, "", "hang on")
		if call := <-n.ledger.Calls; call != "call hold" {
			t.Fatal(call)
		}
		for body := ""; body != "hang on"; body = <-n.work.Begun() {
		}
		must(t, 0, os.Rename(writeConfigOf(t, now.example, n.addresses), n.config))
		names := strings.NewReplacer(one.read, now.read, one.other, now.other, one.keyed, now.keyed)
		must(t, 0, os.WriteFile(n.args[1], []byte(names.Replace(string(routes))), 0o600))
		must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
		if line := <-n.reloads; !strings.Contains(line, "event=reloaded") {
			t.Fatalf("from %s to %s: %s", was.example, now.example, line)
		}
		if o := outcome(ask(was, was.keyed, "another", "old")); o.Kind != "rejected" || n.work.Runs("old") > 0 {
			t.Errorf("a request of %s is %v under %s", was.example, o, now.example)
		}
		if o := outcome(ask(now, now.keyed, key+" new", "new")); o.Kind != "served" || n.work.Class("new") != now.keyed {
			t.Errorf("a request of %s: %v, run as %s", now.example, o, n.work.Class("new"))
		}
		n.ledger.Release()
		if o := outcome(open); o.Body != "done: call hold" || n.work.Class("call hold") != was.keyed {
			t.Errorf("what was open under %s: %v, run as %s", was.example, o, n.work.Class("call hold"))
		}
		hangs.GiveUp()
		if body := <-n.work.Stopped(); body != "hang on" {
			t.Errorf("%s was stopped", body)
		}
		resp, err := http.Get(metrics)
		must(t, 0, err)
		page, err := io.ReadAll(resp.Body)
		must(t, 0, err)
		resp.Body.Close()
		for _, name := range []string{was.read, was.other, was.keyed} {
			if strings.Contains(string(page), `"`+name+`"`) {
				t.Errorf("%s of the old settings is in\n%s", name, page)
			}
		}
		for _, label := range []string{`class="` + now.keyed + `",kind="served"`, `class="(dropped)",kind="served"`} {
			if !strings.Contains(string(page), label) {
				t.Errorf("no %s in\n%s", label, page)
			}
		}
		was = now
	}
}
