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

// TestOperatorFile_MetricsAndLogLevelReload starts the program with an operator's file.
// The metrics address in it serves counts of requests, SIGHUP applies a new log level, and a
// reload with an invalid level fails.
func TestOperatorFile_MetricsAndLogLevelReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.toml")
	text := "[metrics]\nlisten = '127.0.0.1:0'\n[log]\nlevel = '%s'\n"
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "info"), 0o600))
	n := startNodeWith(t, nil, "", "--operator", path)
	for range 2 {
		if got := n.request(t, fakes.Thrift, n.thriftAddress, "ny-gava", "k", "gift"); got.Kind != "served" {
			t.Fatalf("request outcome %v, want served", got)
		}
	}
	page := scrape(t, "http://"+<-n.metricsAddresses+"/metrics")
	for _, want := range []string{
		`quincerail_answers_total{class="ny-gava",kind="served"} 2`, `quincerail_repeats_total{class="ny-gava"} 1`,
		`quincerail_answer_seconds_count{class="ny-gava",kind="served"} 2`, "quincerail_open_requests 0",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("metrics have no %s:\n%s", want, page)
		}
	}
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "loud"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloadLines; !strings.Contains(line, "reload_failed") || !strings.Contains(line, "log.level") {
		t.Errorf("reload with an invalid log level logs %q, want reload_failed with log.level", line)
	}
	must(t, 0, os.WriteFile(path, fmt.Appendf(nil, text, "warn"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloadLines; !strings.Contains(line, "event=reloaded") {
		t.Errorf("reload with log level warn logs %q, want event=reloaded", line)
	}
}

// TestServe_RejectsInvalidConfig checks that the program fails to start, with one line that
// names the invalid key.
func TestServe_RejectsInvalidConfig(t *testing.T) {
	for key, value := range map[string]any{"seed": "xyz", "stop_ms": "soon", "listen": "nowhere", "settings": nil} {
		cmd := exec.CommandContext(context.Background(), binary)
		cmd.Env = append(os.Environ(), "GW_CONFIG="+writeConfig(t, map[string]any{key: value}))
		out, err := cmd.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), key) {
			t.Errorf("start with an invalid %s: error %v, output %q, want an error and one line that names the key", key, err, out)
		}
	}
}

// TestRules_InvalidFileRejectedAtReloadAndStart starts the program with rules that take the
// class and the idempotency key of a request from its body. An invalid rules file at SIGHUP
// leaves these rules in use. Started with the invalid file, the program exits with an error
// that names the rule.
func TestRules_InvalidFileRejectedAtReloadAndStart(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "rules.toml")
	good := "[[rule]]\nname = 'gava'\nmatch = 'body.has_json(\"gava\")'\nclass = '\"ny-gava\"'\nkey = 'body.json(\"gava\")'\n"
	bad := "[[rule]]\nname = 'trasig'\nmatch = 'size(path)'\nclass = '\"ny-gava\"'\n"
	must(t, 0, os.WriteFile(path, []byte(good), 0o600))
	n := startNodeWith(t, nil, "", "--rules", path)
	sendTwice := func(body string) (runs int) {
		for range 2 {
			if got := n.request(t, fakes.Thrift, n.thriftAddress, "kampanjsida", "", body); got.Body != "done: "+body {
				t.Errorf("request with body %s has outcome %v, want body %q", body, got, "done: "+body)
			}
		}
		return n.work.Runs(body)
	}
	if runs := sendTwice(`{"gava": "g1"}`); runs != 1 {
		t.Errorf("a request that the rules give a key ran %d times, want 1", runs)
	}
	must(t, 0, os.WriteFile(path, []byte(bad), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloadLines; !strings.Contains(line, "reload_failed") || !strings.Contains(line, "trasig.match") {
		t.Errorf("reload with an invalid rules file logs %q, want reload_failed with trasig.match", line)
	}
	if runs := sendTwice(`{"gava": "g2"}`); runs != 1 {
		t.Errorf("after the rejected reload, a request that the rules give a key ran %d times, want 1", runs)
	}

	cmd := exec.CommandContext(context.Background(), binary, "--rules", path)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+writeConfig(t, nil))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "trasig.match: gives int") {
		t.Errorf("start with an invalid rules file: error %v, output %q, want an error and one line with trasig.match", err, out)
	}
}
