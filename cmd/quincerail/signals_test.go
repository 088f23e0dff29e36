package main_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

// TestReload_MovedAddressesWhileRequestRuns moves the processor, the ledger and the discovery
// service to other addresses while a request runs, and then reloads the addresses by SIGHUP. A
// SIGHUP with an invalid file, sent before the move, must change nothing. A SIGHUP during the
// drain must not kill the process, as it would without a handler.
func TestReload_MovedAddressesWhileRequestRuns(t *testing.T) {
	n, attempt := startNodeWithRunningRequest(t)
	good, err := os.ReadFile(n.config)
	must(t, 0, err)
	must(t, 0, os.WriteFile(n.config, []byte("{"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if got := n.request(t, fakes.Thrift, n.thriftAddress, "kampanjsida", "", "call one"); got.Body != "done: call one" {
		t.Errorf("request after a reload of an invalid file has outcome %v, want body %q", got, "done: call one")
	}
	must(t, 0, os.WriteFile(n.config, good, 0o600))

	must(t, 0, n.processor.Listen(anyPort))
	ledger, err := fakes.NewDependency(anyPort)
	must(t, 0, err)
	defer ledger.Close()
	announce, err := fakes.NewDiscoveryService(anyPort)
	must(t, 0, err)
	defer announce.Close()
	n.ledger.Close()
	n.announce.Close()
	n.addresses["processor"], n.addresses["ledger"], n.addresses["announce"] = n.processor.Addr(), ledger.Addr(), announce.Addr()
	must(t, 0, os.Rename(writeConfig(t, n.addresses), n.config))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if got, want := <-announce.Reports, `PUT /announce/n1 {"accepting":"true"}`; got != want {
		t.Errorf("the discovery service at the new address received report %s, want %s", got, want)
	}
	if o, err := attempt.Outcome(); err != nil || o.Body != "done: gift" || n.work.Runs("gift") != 1 {
		t.Errorf("the running request has outcome %v, error %v and ran %d times, want body %q and 1 run", o, err, n.work.Runs("gift"), "done: gift")
	}
	if got := n.request(t, fakes.Thrift, n.thriftAddress, "kampanjsida", "", "call two"); got.Body != "done: call two" {
		t.Errorf("request after the reload of moved addresses has outcome %v, want body %q", got, "done: call two")
	}
	if call := <-ledger.Calls; call != "call two" {
		t.Errorf("the ledger at the new address gets call %q, want %q", call, "call two")
	}

	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	for report := range announce.Reports {
		if strings.Contains(report, "false") {
			break
		}
	}
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if err := <-n.exited; err != nil {
		t.Errorf("the process exits with error %v", err)
	}
}

// TestSIGHUP_IgnoredUntilHandlerIsRegistered starts the program with the run command of
// deploy/balancer.toml, which makes the shell ignore SIGHUP and then execute the program. Before
// it executes the program, which registers the handler, the shell sends itself a SIGHUP; this
// must not kill the process. A SIGHUP sent later must reload the files.
func TestSIGHUP_IgnoredUntilHandlerIsRegistered(t *testing.T) {
	n := startNode(t)
	n.kill(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.toml"))
	run := regexp.MustCompile(`(?m)^run = "(.*)exec bin/quincerail"$`).FindStringSubmatch(string(must(t, text, err)))
	if run == nil {
		t.Fatal("run in deploy/balancer.toml doesn't end with exec bin/quincerail")
	}
	n.shellCommand = fmt.Sprintf(`%skill -HUP $$; exec %q "$@"`, run[1], binary)
	n.launch(t)
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloadLines; !strings.Contains(line, "event=reloaded") {
		t.Errorf("SIGHUP while serving logs %q, want event=reloaded", line)
	}
	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-n.exited; err != nil {
		t.Errorf("the process exits with error %v", err)
	}
}

// TestDrain_CompletesDespiteFurtherSignals sends further signals of each handled kind to a
// process that drains while a request runs. The request is answered, SIGHUP still reloads, and
// the process exits without error.
func TestDrain_CompletesDespiteFurtherSignals(t *testing.T) {
	n, attempt := startNodeWithRunningRequest(t)
	signals := []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt, syscall.SIGHUP, syscall.SIGTERM}
	for _, s := range signals {
		must(t, 0, n.cmd.Process.Signal(s))
	}
	for report := range n.announce.Reports {
		if strings.Contains(report, "false") {
			break
		}
	}
	for _, s := range signals {
		must(t, 0, n.cmd.Process.Signal(s))
	}
	if line := <-n.reloadLines; !strings.Contains(line, "event=reloaded") {
		t.Errorf("SIGHUP during the drain logs %q, want event=reloaded", line)
	}
	if o, err := attempt.Outcome(); err != nil || o.Body != "done: gift" || n.work.Runs("gift") != 1 {
		t.Errorf("the running request has outcome %v, error %v and ran %d times, want body %q and 1 run", o, err, n.work.Runs("gift"), "done: gift")
	}
	if err := <-n.exited; err != nil {
		t.Errorf("the process exits with error %v", err)
	}
}

// TestHandover_SuccessorServesPredecessorsResult starts a successor on the predecessor's listening
// socket, and shuts the predecessor down. The successor serves the result of a keyed request that
// the predecessor ran, without running it again. The predecessor exits without error, and doesn't report
// to the discovery service that it stopped accepting, so that the successor's reports stay valid.
func TestHandover_SuccessorServesPredecessorsResult(t *testing.T) {
	socket := listeningSocket(t)
	handoverDir := t.TempDir()
	predecessor := startNodeWith(t, socket, handoverDir)
	sendRequest := func(n *node) fakes.Outcome {
		return n.request(t, fakes.Thrift, n.thriftAddress, "ny-gava", "k", "gift")
	}
	want := fakes.Outcome{Kind: "served", Body: "done: gift"}
	if got := sendRequest(predecessor); got != want {
		t.Errorf("request to the predecessor has outcome %v, want %v", got, want)
	}
	successor := startNodeWith(t, socket, handoverDir)
	conn := dial(t, successor.controlAddress)
	written, err := conn.Write([]byte("check\r\n"))
	must(t, written, err)
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "done\r\n" {
		t.Errorf("the control port answers the command check with %q, error %v, want %q", line, err, "done\r\n")
	}
	must(t, 0, predecessor.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-predecessor.exited; err != nil {
		t.Errorf("the predecessor exits with error %v", err)
	}
	if got := sendRequest(successor); got != want {
		t.Errorf("retry at the successor has outcome %v, want %v", got, want)
	}
	if a, b := predecessor.work.Runs("gift"), successor.work.Runs("gift"); a != 1 || b != 0 {
		t.Errorf("the request ran %d times in the predecessor and %d in the successor, want 1 and 0", a, b)
	}
	for len(predecessor.announce.Reports) > 0 {
		if report := <-predecessor.announce.Reports; strings.Contains(report, "false") {
			t.Errorf("the predecessor sends report %s, want none with accepting=false", report)
		}
	}
}

// TestSIGTERM_AnswersRunningRequestAndExitsInTime sends SIGTERM while a request runs. The process
// reports to the discovery service that it stopped accepting, answers the request, and exits
// without error in time.
func TestSIGTERM_AnswersRunningRequestAndExitsInTime(t *testing.T) {
	n, attempt := startNodeWithRunningRequest(t)
	start := time.Now()
	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	if o, err := attempt.Outcome(); err != nil || o.Body != "done: gift" {
		t.Errorf("the running request has outcome %v, error %v, want body %q", o, err, "done: gift")
	}
	for report := range n.announce.Reports {
		if strings.Contains(report, "false") {
			break
		}
	}
	if err := <-n.exited; err != nil {
		t.Errorf("the process exits with error %v", err)
	}
	if took := time.Since(start); took > 3200*time.Millisecond {
		t.Errorf("the process exits after %v, want at most 3.2s", took)
	}
}
