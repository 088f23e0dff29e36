package main_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/store"
)

// runCommand runs the program with arguments, and returns its output and exit code.
func runCommand(t *testing.T, config string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.CommandContext(context.Background(), binary, args...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+config)
	out, err := cmd.CombinedOutput()
	code := 0
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return string(out), code
}

// TestSubcommands_PrintResultsAndExitCode runs the sub-commands with valid and invalid input.
func TestSubcommands_PrintResultsAndExitCode(t *testing.T) {
	config, dir := writeConfig(t, nil), t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	must(t, 0, os.WriteFile(bad, []byte("[[rule]]\nname = 'a'\nmatch = 'size(path)'\nclass = '\"nygava\"'\n"), 0o600))
	doc := filepath.Join(dir, "doc.json")
	must(t, 0, os.WriteFile(doc, []byte(`{"openapi": "3.0.3", "info": {"title": "t", "version": "1"},
  "x-quincerail-classes": {"ny-gava": {"aim_ms": 1000, "deadline_ms": 6900, "effect": "keyed", "window_ms": 20706}},
  "paths": {"/gavor": {"post": {"x-quincerail-class": "ny-gava", "responses": {"200": {"description": "ok"}}}},
            "/x": {"post": {"x-quincerail-class": "ny-gava", "responses": {"200": {"description": "ok"}}}}}}`), 0o600))
	keys := filepath.Join(dir, "keys")
	s, _, err := store.Open(store.Options{Dir: keys})
	must(t, 0, err)
	state, _ := json.Marshal(dispatch.KeyState{Key: "k1", Class: "ny-gava", RanAttemptID: "t1", ExpiresAt: time.Now().Add(time.Hour)})
	done := make(chan error, 1)
	s.Put("key/k1", state, time.Now().Add(time.Hour), func(err error) { done <- err })
	must(t, 0, <-done)
	must(t, 0, s.Close())
	must(t, 0, os.WriteFile(filepath.Join(dir, "op.toml"), []byte("[log]\nlevle = 'info'\n[keys]\nsync = 'never'\n"), 0o600))
	uwsgi := filepath.Join("..", "..", "deploy", "uwsgi.toml")
	must(t, 0, os.WriteFile(filepath.Join(dir, "same.toml"),
		fmt.Appendf(nil, "uwsgi = %q\n[metrics]\nlisten = '127.0.0.1:3031'\n", uwsgi), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"check", "--rules", filepath.Join("..", "..", "deploy", "rules.toml")}, 0, []string{"ok"}},
		{[]string{"check", "--rules", bad}, 1, []string{"a.match: gives int, bool is needed", `a.class: class "nygava"`}},
		{[]string{"check", "--operator", filepath.Join(dir, "op.toml")}, 1, []string{"log.levle: field not allowed", "keys.sync: sync says"}},
		{[]string{"--operator", filepath.Join(dir, "op.toml")}, 1, []string{"log.levle: field not allowed"}},
		{[]string{"check", "--operator", filepath.Join(dir, "same.toml")}, 1, []string{"metrics.listen: 127.0.0.1:3031 is also the uwsgi frontend's"}},
		{[]string{"describe", doc}, 1, []string{"/gavor", "class ny-gava: the description says aim 1s"}},
		{[]string{"keys", keys, "--list"}, 0, []string{"k1\tny-gava\tin doubt", "1 keys: 0 done, 1 in doubt"}},
		{[]string{"version"}, 0, []string{"quincerail", "go1."}},
		{[]string{"serve", "--no-such-flag"}, 2, []string{"unknown flag"}},
		{[]string{"keys"}, 2, []string{"expected \"<dir>\""}},
	} {
		out, code := runCommand(t, config, c.args...)
		for _, w := range c.want {
			if code != c.code || !strings.Contains(out, w) {
				t.Errorf("quincerail %v exits with %d, want %d and output that contains %q; output:\n%s", c.args, code, c.code, w, out)
			}
		}
	}
}
