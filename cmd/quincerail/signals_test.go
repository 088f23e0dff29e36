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

// TestReload has the parties move while work runs, and the signal sent that they
// have: first with a file that makes no sense, which must change nothing, and
// again while the program drains. Without a handler the signal ends the program.
func TestReload(t *testing.T) {
	n, try := startRun(t)
	good, err := os.ReadFile(n.config)
	must(t, 0, err)
	must(t, 0, os.WriteFile(n.config, []byte("{"), 0o600))
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if got := n.ask(t, fakes.Thrift, n.thrift, "kampanjsida", "", "call one"); got.Body != "done: call one" {
		t.Errorf("after a file that makes no sense: %v", got)
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
		t.Errorf("report %s at the new address, want %s", got, want)
	}
	if o, err := try.Outcome(); err != nil || o.Body != "done: gift" || n.work.Runs("gift") != 1 {
		t.Errorf("what ran: %v, %v, %d runs", o, err, n.work.Runs("gift"))
	}
	if got := n.ask(t, fakes.Thrift, n.thrift, "kampanjsida", "", "call two"); got.Body != "done: call two" {
		t.Errorf("after the move: %v", got)
	}
	if call := <-ledger.Calls; call != "call two" {
		t.Errorf("the new ledger is called with %q", call)
	}

	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	for report := range announce.Reports {
		if strings.Contains(report, "false") {
			break
		}
	}
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if err := <-n.exited; err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestSignalBeforeItListens sends SIGHUP before the program can have asked for it, by
// the shell that is about to be it: the deploy file's command has it ignored, as the
// configuration is not read yet, and later ones are taken.
func TestSignalBeforeItListens(t *testing.T) {
	n := start(t)
	n.kill(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "balancer.toml"))
	run := regexp.MustCompile(`(?m)^run = "(.*)exec bin/quincerail"$`).FindStringSubmatch(string(must(t, text, err)))
	if run == nil {
		t.Fatal("the deploy file's run does not end by exec")
	}
	n.shell = fmt.Sprintf(`%skill -HUP $$; exec %q "$@"`, run[1], binary)
	n.launch(t)
	must(t, 0, n.cmd.Process.Signal(syscall.SIGHUP))
	if line := <-n.reloads; !strings.Contains(line, "event=reloaded") {
		t.Errorf("SIGHUP at work: %s", line)
	}
	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-n.exited; err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestSignalsInADrain sends further signals, of each kind, at a process that drains
// with a gift running: it is answered and the process ends in order, by itself.
func TestSignalsInADrain(t *testing.T) {
	n, try := startRun(t)
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
	if line := <-n.reloads; !strings.Contains(line, "event=reloaded") {
		t.Errorf("SIGHUP in the drain: %s", line)
	}
	if o, err := try.Outcome(); err != nil || o.Body != "done: gift" || n.work.Runs("gift") != 1 {
		t.Errorf("what ran: %v, %v, %d runs", o, err, n.work.Runs("gift"))
	}
	if err := <-n.exited; err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestUpgrade starts a successor beside a predecessor and ends that: a gift that ran in
// the predecessor is served again and never run by the successor, and the predecessor ends
// well while it is not the platform that takes it off the list.
func TestUpgrade(t *testing.T) {
	socket := listeningSocket(t)
	shared := t.TempDir()
	predecessor := startOn(t, socket, shared)
	gift := func(n *node) fakes.Outcome { return n.ask(t, fakes.Thrift, n.thrift, "ny-gava", "k", "gift") }
	want := fakes.Outcome{Kind: "served", Body: "done: gift"}
	if got := gift(predecessor); got != want {
		t.Errorf("the first try: %v", got)
	}
	successor := startOn(t, socket, shared)
	conn := dial(t, successor.control)
	written, err := conn.Write([]byte("check\r\n"))
	must(t, written, err)
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "done\r\n" {
		t.Errorf("check: %q, %v", line, err)
	}
	must(t, 0, predecessor.cmd.Process.Signal(syscall.SIGTERM))
	if err := <-predecessor.exited; err != nil {
		t.Errorf("the predecessor ends with %v", err)
	}
	if got := gift(successor); got != want {
		t.Errorf("a further try: %v", got)
	}
	if a, b := predecessor.work.Runs("gift"), successor.work.Runs("gift"); a != 1 || b != 0 {
		t.Errorf("%d runs in the predecessor, %d in the successor", a, b)
	}
	for len(predecessor.announce.Reports) > 0 {
		if report := <-predecessor.announce.Reports; strings.Contains(report, "false") {
			t.Errorf("the predecessor reports %s", report)
		}
	}
}

// TestTerm sends the notice to leave while work runs: it is reported, told on
// the connection, the work is answered, and the program ends well in time.
func TestTerm(t *testing.T) {
	n, try := startRun(t)
	began := time.Now()
	must(t, 0, n.cmd.Process.Signal(syscall.SIGTERM))
	if o, err := try.Outcome(); err != nil || o.Body != "done: gift" {
		t.Errorf("%v, %v", o, err)
	}
	for report := range n.announce.Reports {
		if strings.Contains(report, "false") {
			break
		}
	}
	if err := <-n.exited; err != nil {
		t.Errorf("it ends with %v", err)
	}
	if took := time.Since(began); took > 3200*time.Millisecond {
		t.Errorf("it ends after %v", took)
	}
}
