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

// fakeVoter answers operators' requests with golden files, and records the requests.
type fakeVoter struct {
	responses map[string][]byte // by path
	requests  chan string       // method, path with the query, and body
}

// ServeHTTP implements http.Handler.
func (v fakeVoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	v.requests <- fmt.Sprintf("%s %s\n%s", r.Method, r.URL, body)
	if err != nil || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := w.Write(v.responses[r.URL.Path]); err != nil {
		v.requests <- err.Error()
	}
}

// captureStdout returns what a command writes to standard output.
func captureStdout(t *testing.T, run func() error) string {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = out
	err = run()
	os.Stdout = stdout
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

// TestGolden_VoterCommands runs each command about rollouts and voters against a fake
// voter, and compares the request that it sends and the text that it prints with golden
// files.
func TestGolden_VoterCommands(t *testing.T) {
	v := fakeVoter{requests: make(chan string, 2), responses: map[string][]byte{
		"/changes": golden.Bytes(t, "answer-changes.json"), "/voters": golden.Bytes(t, "answer-voters.json"),
	}}
	server := httptest.NewServer(v)
	defer server.Close()
	client := voterClient{Address: strings.TrimPrefix(server.URL, "http://")}
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
		{"rollout-start-program", (&rolloutStartCmd{voterClient: client, ID: "r1", From: "1", To: "2"}).Run},
		{"rollout-start-settings", (&rolloutStartCmd{voterClient: client, ID: "r2", Settings: settings}).Run},
		{"rollout-start-planned", (&rolloutStartCmd{voterClient: client, ID: "r3", From: "1", To: "2", Plan: plan}).Run},
		{"rollout-halt", (&rolloutHaltCmd{voterClient: client, ID: "r1", Reason: "halted by an operator"}).Run},
		{"rollout-status", (&rolloutStatusCmd{voterClient: client}).Run},
		{"rollout-status-json", (&rolloutStatusCmd{voterClient: client, JSON: true}).Run},
		{"voters-list", (&votersListCmd{voterClient: client}).Run},
		{"voters-add", (&votersAddCmd{voterClient: client, Name: "v4", Raft: "10.0.0.4:7000"}).Run},
		{"voters-remove", (&votersRemoveCmd{voterClient: client, Name: "v4"}).Run},
	} {
		out := captureStdout(t, c.run)
		golden.Equal(t, c.name, []byte(<-v.requests+"---\n"+out))
	}
}

// TestGolden_KeysList compares the list of keys of a golden folder with a golden file.
func TestGolden_KeysList(t *testing.T) {
	local := time.Local
	time.Local = time.UTC // the command prints times in the local time zone
	defer func() { time.Local = local }()
	out := captureStdout(t, (&keysCmd{Dir: golden.CopyFolder(t, "keys"), List: true}).Run)
	golden.Equal(t, "keys-list", []byte(out))
}
