package main_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"quincerail.example/quincerail/internal/fakes"
)

// TestOperatorFile starts the program with an operator's file: its metrics are
// scraped and count what was answered, and SIGHUP changes the log's level.
func TestOperatorFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := "[metrics]\nlisten = '127.0.0.1:0'\n[log]\nlevel = '%s'\n"
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "info"), 0o600))
	n := startOn(t, nil, "", "--operator", path)
	for range 2 {
		if got := n.ask(t, fakes.Thrift, n.thrift, "ny-gava", "k", "gift"); got.Kind != "served" {
			t.Fatal(got)
		}
	}
	page := scrape(t, "http://"+<-n.metrics+"/metrics")
	for _, want := range []string{
		`quincerail_answers_total{class="ny-gava",kind="served"} 2`, `quincerail_repeats_total{class="ny-gava"} 1`,
		`quincerail_answer_seconds_count{class="ny-gava",kind="served"} 2`, "quincerail_open_requests 0",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("no %s in\n%s", want, page)
		}
	}
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "loud"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloads; !strings.Contains(line, "reload_failed") || !strings.Contains(line, "log.level") {
		t.Errorf("after a level that is none: %s", line)
	}
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "warn"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloads; !strings.Contains(line, "event=reloaded") {
		t.Errorf("to warn: %s", line)
	}
}

func TestBadConfig(t *testing.T) {
	for key, value := range map[string]any{"seed": "xyz", "stop_ms": "soon", "listen": "nowhere", "settings": nil} {
		cmd := exec.CommandContext(context.Background(), binary)
		cmd.Env = append(os.Environ(), "GW_CONFIG="+writeConfig(t, map[string]any{key: value}))
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), key) {
			t.Errorf("%s: %v, output %q, want one line that names it", key, err, out)
		}
	}
}

// TestRulesFile starts the program with rules that make a gift of every request
// whose body names one; a rule file that is refused at SIGHUP leaves them in
// force, and one that is refused at the start ends the program, naming the rule.
func TestRulesFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "rules.toml")
	good := "[[rule]]\nname = 'gava'\nmatch = 'body.has_json(\"gava\")'\nclass = '\"ny-gava\"'\nkey = 'body.json(\"gava\")'\n"
	bad := "[[rule]]\nname = 'trasig'\nmatch = 'size(path)'\nclass = '\"ny-gava\"'\n"
	must(t, 0, os.WriteFile(path, []byte(good), 0o600))
	n := startOn(t, nil, "", "--rules", path)
	twice := func(body string) int {
		for range 2 {
			if got := n.ask(t, fakes.Thrift, n.thrift, "kampanjsida", "", body); got.Body != "done: "+body {
				t.Errorf("%s: %v", body, got)
			}
		}
		return n.work.Runs(body)
	}
	if runs := twice(`{"gava": "g1"}`); runs != 1 {
		t.Errorf("a gift by the rules ran %d times", runs)
	}
	must(t, 0, os.WriteFile(path, []byte(bad), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloads; !strings.Contains(line, "reload_failed") || !strings.Contains(line, "trasig.match") {
		t.Errorf("after a rule file that is refused: %s", line)
	}
	if runs := twice(`{"gava": "g2"}`); runs != 1 {
		t.Errorf("after the refused file, a gift by the rules ran %d times", runs)
	}

	cmd := exec.CommandContext(context.Background(), binary, "--rules", path)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+writeConfig(t, nil))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "trasig.match: gives int") {
		t.Errorf("started with a bad rule file: %v, %q", err, out)
	}
}
