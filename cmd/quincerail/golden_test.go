package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/golden"
)

// goldenVoter answers operators' calls with golden files, and gives what was
// asked.
type goldenVoter struct {
	answers map[string][]byte // by path
	asked   chan string       // method, path with the query, and body
}

// ServeHTTP implements http.Handler.
func (v goldenVoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	v.asked <- fmt.Sprintf("%s %s\n%s", r.Method, r.URL, body)
	if err != nil || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := w.Write(v.answers[r.URL.Path]); err != nil {
		v.asked <- err.Error()
	}
}

// printed gives what a command prints.
func printed(t *testing.T, run func() error) string {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	was := os.Stdout
	os.Stdout = out
	err = run()
	os.Stdout = was
	if err != nil {
		t.Error(err)
	}
	if err := out.Close(); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestGoldenCalls has each command about rollouts and voters call a voter: what
// is asked of it, and what is printed of its answer, are the same.
func TestGoldenCalls(t *testing.T) {
	v := goldenVoter{asked: make(chan string, 2), answers: map[string][]byte{
		"/changes": golden.Bytes(t, "answer-changes.json"), "/voters": golden.Bytes(t, "answer-voters.json"),
	}}
	server := httptest.NewServer(v)
	defer server.Close()
	at := voter{Address: strings.TrimPrefix(server.URL, "http://")}
	settings, plan := filepath.Join(t.TempDir(), "settings.json"), filepath.Join(t.TempDir(), "plan.toml")
	for file, text := range map[string]string{
		settings: `{"lanes":{"a":{"aim_ms":5}}}`,
		plan: "watch = 30\nwatch_most = 40\nwarm = 1\nservers = [{name = 'a', zone = 'z1'}, {name = 'b', zone = 'z2'}]\n" +
			"stages = [{share = 1.0, bake = 2, sample = 100, patience = 9}]\n" +
			"limits = {worse = 1.5, mistaken = 0.01, missed = 0.01, small = 0.25, least = 0.004}\n",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name string
		run  func() error
	}{
		{"rollout-start-program", (&rolloutStartCmd{voter: at, ID: "r1", From: "1", To: "2"}).Run},
		{"rollout-start-settings", (&rolloutStartCmd{voter: at, ID: "r2", Settings: settings}).Run},
		{"rollout-start-planned", (&rolloutStartCmd{voter: at, ID: "r3", From: "1", To: "2", Plan: plan}).Run},
		{"rollout-halt", (&rolloutHaltCmd{voter: at, ID: "r1", Reason: "halted by an operator"}).Run},
		{"rollout-status", (&rolloutStatusCmd{voter: at}).Run},
		{"rollout-status-json", (&rolloutStatusCmd{voter: at, JSON: true}).Run},
		{"voters-list", (&votersListCmd{voter: at}).Run},
		{"voters-add", (&votersAddCmd{voter: at, Name: "v4", Raft: "10.0.0.4:7000"}).Run},
		{"voters-remove", (&votersRemoveCmd{voter: at, Name: "v4"}).Run},
	} {
		out := printed(t, c.run)
		golden.Equal(t, c.name, []byte(<-v.asked+"---\n"+out))
	}
}

// TestGoldenKeys has the keys of a golden folder listed.
func TestGoldenKeys(t *testing.T) {
	local := time.Local
	time.Local = time.UTC // times are printed in the machine's own time zone
	defer func() { time.Local = local }()
	out := printed(t, (&keysCmd{Dir: golden.CopyFolder(t, "keys"), List: true}).Run)
	golden.Equal(t, "keys-list", []byte(out))
}
