package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
)

// node is the built program at work among stand-ins.
type node struct {
	cmd       *exec.Cmd
	config    string         // path
	addresses map[string]any // of the configuration
	work      *fakes.Work
	processor *fakes.Processor
	ledger    *fakes.Dependency
	announce  *fakes.DiscoveryService
	thrift    string // addresses
	uwsgi     string
	control   string
	exited    chan error
	reloads   chan string // log lines of SIGHUP's outcome
	metrics   chan string // address of the operator's metrics
	args      []string
	socket    *os.File // inherited, or nil
	shared    string
	shell     string // the command that starts it; "" for the binary by itself
}

func must[T any](t *testing.T, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

const anyPort = "127.0.0.1:0"

// writeConfig writes the example's configuration with changes.
func writeConfig(t *testing.T, changes map[string]any) string {
	t.Helper()
	return writeConfigOf(t, "config.json", changes)
}

// writeConfigOf writes one of the examples' configurations with changes.
func writeConfigOf(t *testing.T, example string, changes map[string]any) string {
	t.Helper()
	config := make(map[string]any)
	must(t, 0, json.Unmarshal([]byte(dispatchtest.ReadExample(t, example)), &config))
	delete(config, "control") // a test asks for one if it calls it
	for key, value := range changes {
		config[key] = value
	}
	out, err := json.Marshal(config)
	path := filepath.Join(t.TempDir(), "config.json")
	must(t, out, err)
	must(t, 0, os.WriteFile(path, out, 0o600))
	return path
}

var scraped = regexp.MustCompile(`event=metrics address=(\S+)`)

var listening = regexp.MustCompile(`event=(listening name=\S+|control) address=(\S+)`)

func start(t *testing.T) *node {
	t.Helper()
	return startOn(t, nil, "")
}

// startOn starts a node with both fronts, or one that inherits its listening
// socket and shares a folder with others.
func startOn(t *testing.T, socket *os.File, shared string, args ...string) *node {
	t.Helper()
	n := &node{work: fakes.NewWork(0), exited: make(chan error, 1), reloads: make(chan string, 16), metrics: make(chan string, 1)}
	var err error
	n.processor, err = fakes.NewProcessor(anyPort, n.work)
	must(t, 0, err)
	n.ledger, err = fakes.NewDependency(anyPort)
	must(t, 0, err)
	n.announce, err = fakes.NewDiscoveryService(anyPort)
	must(t, 0, err)
	app, err := fakes.NewUWSGIServer(anyPort, n.work)
	must(t, 0, err)
	n.addresses = map[string]any{
		"listen": anyPort, "processor": n.processor.Addr(),
		"ledger": n.ledger.Addr(), "announce": n.announce.Addr(),
	}
	if socket != nil {
		n.addresses["control"] = anyPort
	}
	n.config = writeConfig(t, n.addresses)
	front := filepath.Join(t.TempDir(), "uwsgi.toml")
	text := fmt.Sprintf("listen = %q\nbackend = %q\n", anyPort, app.Addr())
	for _, class := range []string{"kampanjsida", "givarhistorik", "ny-gava"} {
		text += fmt.Sprintf("[[route]]\npath = \"/%s\"\nclass = %q\n", class, class)
	}
	must(t, 0, os.WriteFile(front, []byte(text), 0o600))

	n.args = append([]string{"--uwsgi", front}, args...)
	n.socket, n.shared = socket, shared
	t.Cleanup(func() {
		n.processor.Close()
		n.ledger.Close()
		n.announce.Close()
		app.Close()
	})
	n.launch(t)
	return n
}

// launch starts the program of a node, anew after it was killed.
func (n *node) launch(t *testing.T) {
	t.Helper()
	n.exited = make(chan error, 1)
	n.cmd = exec.CommandContext(context.Background(), binary, n.args...)
	if n.shell != "" {
		n.cmd = exec.CommandContext(context.Background(), "/bin/sh", append([]string{"-c", n.shell, "sh"}, n.args...)...)
	}
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+n.config)
	if n.socket != nil {
		n.cmd.Args, n.cmd.ExtraFiles = n.cmd.Args[:1], []*os.File{n.socket}
		n.cmd.Env = append(n.cmd.Env, "GW_FD=3", "TMPDIR="+n.shared)
	}
	stderr, err := n.cmd.StderrPipe()
	must(t, 0, err)
	must(t, 0, n.cmd.Start())
	cmd, exited := n.cmd, n.exited
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	addresses := make(chan string, 2)
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if m := listening.FindStringSubmatch(lines.Text()); m != nil {
				addresses <- m[2]
			} else if m := scraped.FindStringSubmatch(lines.Text()); m != nil {
				n.metrics <- m[1]
			} else if strings.Contains(lines.Text(), "event=reload") {
				select {
				case n.reloads <- lines.Text():
				default:
				}
			}
		}
		close(addresses)
		exited <- cmd.Wait()
	}()
	if n.thrift, n.uwsgi = <-addresses, <-addresses; n.uwsgi == "" {
		t.Fatalf("it ended before it listened: %v", <-exited)
	} else if n.socket != nil { // the call's address comes first
		n.thrift, n.control = n.uwsgi, n.thrift
	}
	<-n.processor.Up()
}

func (n *node) ask(t *testing.T, caller fakes.Client, address, class, key, body string) fakes.Outcome {
	t.Helper()
	try, err := caller(address, class, key, body)
	must(t, 0, err)
	must(t, 0, try.Send())
	o, err := try.Outcome()
	return must(t, o, err)
}

// startRun starts a node that is at work on a gift.
func startRun(t *testing.T) (*node, *fakes.Attempt) {
	t.Helper()
	n := start(t)
	n.work.Duration = 300 * time.Millisecond
	try, err := fakes.Thrift(n.thrift, "ny-gava", "k", "gift")
	must(t, 0, err)
	must(t, 0, try.Send())
	<-n.work.Started()
	return n, try
}
