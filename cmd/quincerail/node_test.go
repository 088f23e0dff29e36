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

// node is a process of the built program among fakes of the systems that it talks to.
type node struct {
	cmd       *exec.Cmd
	config    string         // path of the configuration file
	addresses map[string]any // the configuration's address keys
	work      *fakes.Work
	processor *fakes.Processor
	ledger    *fakes.Dependency
	announce  *fakes.DiscoveryService

	thriftAddress, uwsgiAddress string
	controlAddress              string // set only for a node with an inherited socket

	exited           chan error  // receives the process's exit error
	reloadLines      chan string // log lines that report the result of a SIGHUP
	metricsAddresses chan string // receives the metrics listener's address
	args             []string
	socket           *os.File // inherited listening socket, or nil
	handoverDir      string   // TMPDIR, where processes that share a socket find each other
	shellCommand     string   // shell command that starts the program; "" runs it directly
}

// must fails the test on an error, and returns v otherwise.
func must[T any](t *testing.T, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

const anyPort = "127.0.0.1:0"

// writeConfig writes the example's config.json with changes, and returns the file's path.
func writeConfig(t *testing.T, changes map[string]any) string {
	t.Helper()
	return writeConfigOf(t, "config.json", changes)
}

// writeConfigOf writes one of the example configurations with changes, and returns the
// file's path.
func writeConfigOf(t *testing.T, example string, changes map[string]any) string {
	t.Helper()
	config := make(map[string]any)
	must(t, 0, json.Unmarshal([]byte(dispatchtest.ReadExample(t, example)), &config))
	delete(config, "control") // a test that needs the control port adds it
	for key, value := range changes {
		config[key] = value
	}
	out, err := json.Marshal(config)
	path := filepath.Join(t.TempDir(), "config.json")
	must(t, out, err)
	must(t, 0, os.WriteFile(path, out, 0o600))
	return path
}

// metricsLine matches the log line with the address of the metrics.
var metricsLine = regexp.MustCompile(`event=metrics address=(\S+)`)

// listenLine matches the log lines with the addresses of the frontends and of the control port.
var listenLine = regexp.MustCompile(`event=(listening name=\S+|control) address=(\S+)`)

// startNode starts a node with both frontends and listeners of its own.
func startNode(t *testing.T) *node {
	t.Helper()
	return startNodeWith(t, nil, "")
}

// startNodeWith starts a node with both frontends and further arguments. If socket isn't nil,
// the node instead runs without arguments, inherits the socket as its listener, and shares
// handoverDir with the other processes on the socket.
func startNodeWith(t *testing.T, socket *os.File, handoverDir string, args ...string) *node {
	t.Helper()
	n := &node{work: fakes.NewWork(0), exited: make(chan error, 1), reloadLines: make(chan string, 16), metricsAddresses: make(chan string, 1)}
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
	uwsgiFile := filepath.Join(t.TempDir(), "uwsgi.toml")
	text := fmt.Sprintf("listen = %q\nbackend = %q\n", anyPort, app.Addr())
	for _, class := range []string{"kampanjsida", "givarhistorik", "ny-gava"} {
		text += fmt.Sprintf("[[route]]\npath = \"/%s\"\nclass = %q\n", class, class)
	}
	must(t, 0, os.WriteFile(uwsgiFile, []byte(text), 0o600))

	n.args = append([]string{"--uwsgi", uwsgiFile}, args...)
	n.socket, n.handoverDir = socket, handoverDir
	t.Cleanup(func() {
		n.processor.Close()
		n.ledger.Close()
		n.announce.Close()
		app.Close()
	})
	n.launch(t)
	return n
}

// launch starts the node's process, or restarts it after a kill, and waits until it listens
// and the processor is connected.
func (n *node) launch(t *testing.T) {
	t.Helper()
	n.exited = make(chan error, 1)
	n.cmd = exec.CommandContext(context.Background(), binary, n.args...)
	if n.shellCommand != "" {
		n.cmd = exec.CommandContext(context.Background(), "/bin/sh", append([]string{"-c", n.shellCommand, "sh"}, n.args...)...)
	}
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+n.config)
	if n.socket != nil {
		n.cmd.Args, n.cmd.ExtraFiles = n.cmd.Args[:1], []*os.File{n.socket}
		n.cmd.Env = append(n.cmd.Env, "GW_FD=3", "TMPDIR="+n.handoverDir)
	}
	stderr, err := n.cmd.StderrPipe()
	must(t, 0, err)
	must(t, 0, n.cmd.Start())
	cmd, exited := n.cmd, n.exited
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have exited
	addresses := make(chan string, 2)
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if m := listenLine.FindStringSubmatch(lines.Text()); m != nil {
				addresses <- m[2]
			} else if m := metricsLine.FindStringSubmatch(lines.Text()); m != nil {
				n.metricsAddresses <- m[1]
			} else if strings.Contains(lines.Text(), "event=reload") {
				select {
				case n.reloadLines <- lines.Text():
				default:
				}
			}
		}
		close(addresses)
		exited <- cmd.Wait()
	}()
	if n.thriftAddress, n.uwsgiAddress = <-addresses, <-addresses; n.uwsgiAddress == "" {
		t.Fatalf("process exited before it listened: %v", <-exited)
	} else if n.socket != nil { // the control port's address is logged first
		n.thriftAddress, n.controlAddress = n.uwsgiAddress, n.thriftAddress
	}
	<-n.processor.Up()
}

// request sends a request and waits for its outcome.
func (n *node) request(t *testing.T, client fakes.Client, address, class, key, body string) fakes.Outcome {
	t.Helper()
	attempt, err := client(address, class, key, body)
	must(t, 0, err)
	must(t, 0, attempt.Send())
	o, err := attempt.Outcome()
	return must(t, o, err)
}

// startNodeWithRunningRequest starts a node and sends it a keyed request, and returns once the
// processor runs the request. The run takes 300 ms.
func startNodeWithRunningRequest(t *testing.T) (*node, *fakes.Attempt) {
	t.Helper()
	n := startNode(t)
	n.work.Duration = 300 * time.Millisecond
	attempt, err := fakes.Thrift(n.thriftAddress, "ny-gava", "k", "gift")
	must(t, 0, err)
	must(t, 0, attempt.Send())
	<-n.work.Started()
	return n, attempt
}
