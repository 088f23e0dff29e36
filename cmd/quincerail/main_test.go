package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
	"quincerail.example/quincerail/internal/fleettest"
	"quincerail.example/quincerail/store"
)

var binary string

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m, &binary)) }

// node is the built program at work among stand-ins.
type node struct {
	cmd       *exec.Cmd
	config    string         // path
	addresses map[string]any // of the configuration
	work      *fakes.Work
	processor *fakes.Processor
	ledger    *fakes.Ledger
	announce  *fakes.Announce
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
	must(t, 0, json.Unmarshal([]byte(dispatchtest.Example(t, example)), &config))
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
	n.ledger, err = fakes.NewLedger(anyPort)
	must(t, 0, err)
	n.announce, err = fakes.NewAnnounce(anyPort)
	must(t, 0, err)
	app, err := fakes.NewApp(anyPort, n.work)
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

func (n *node) ask(t *testing.T, caller fakes.Caller, address, class, key, body string) fakes.Outcome {
	t.Helper()
	try, err := caller(address, class, key, body)
	must(t, 0, err)
	must(t, 0, try.Send())
	o, err := try.Outcome()
	return must(t, o, err)
}

func TestServes(t *testing.T) {
	n := start(t)
	for _, x := range []struct {
		caller  fakes.Caller
		address string
		class   string
		body    string
		want    fakes.Outcome
	}{
		{fakes.Thrift, n.thrift, "kampanjsida", "a page", fakes.Outcome{Kind: "served", Body: "done: a page"}},
		{fakes.Thrift, n.thrift, "kampanjsida", "call ok", fakes.Outcome{Kind: "served", Body: "done: call ok"}},
		{fakes.Thrift, n.thrift, "kampanjsida", "call error", fakes.Outcome{Kind: "served", Body: "without"}},
		{fakes.Thrift, n.thrift, "ny-gava", "call error", fakes.Outcome{Kind: "failed"}},
		{fakes.Thrift, n.thrift, "ny-gava", "call break", fakes.Outcome{Kind: "failed"}},
		{fakes.UWSGI, n.uwsgi, "kampanjsida", "a page", fakes.Outcome{Kind: "served", Body: "done: a page"}},
		{fakes.UWSGI, n.uwsgi, "ny-gava", "break now", fakes.Outcome{Kind: "failed"}},
	} {
		if got := n.ask(t, x.caller, x.address, x.class, "key of "+x.body, x.body); got != x.want {
			t.Errorf("%s %q: %v, want %v", x.class, x.body, got, x.want)
		}
	}
	if runs := n.work.Runs("break now"); runs != 1 {
		t.Errorf("keyed work was sent %d times after an ambiguous break", runs)
	}
}

// TestAnnounceOutage sees that neither an outage nor its end touches serving,
// and that reports come again after it.
func TestAnnounceOutage(t *testing.T) {
	n := start(t)
	const report = `PUT /announce/n1 {"accepting":"true"}`
	if got := <-n.announce.Reports; got != report {
		t.Errorf("report %s", got)
	}
	address := n.announce.Addr()
	n.announce.Close()
	served := fakes.Outcome{Kind: "served", Body: "done: page"}
	if got := n.ask(t, fakes.Thrift, n.thrift, "kampanjsida", "", "page"); got != served {
		t.Errorf("in an outage: %v", got)
	}
	again, err := fakes.NewAnnounce(address)
	if err != nil {
		t.Skipf("the port was taken meanwhile: %v", err)
	}
	defer again.Close()
	if got := <-again.Reports; got != report {
		t.Errorf("report %s", got)
	}
}

// startRun starts a node that is at work on a gift.
func startRun(t *testing.T) (*node, *fakes.Try) {
	t.Helper()
	n := start(t)
	n.work.Took = 300 * time.Millisecond
	try, err := fakes.Thrift(n.thrift, "ny-gava", "k", "gift")
	must(t, 0, err)
	must(t, 0, try.Send())
	<-n.work.Begun()
	return n, try
}

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

	must(t, 0, n.processor.Move(anyPort))
	ledger, err := fakes.NewLedger(anyPort)
	must(t, 0, err)
	defer ledger.Close()
	announce, err := fakes.NewAnnounce(anyPort)
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

// TestLinkBreak breaks the processor's link while work runs: its end is told
// over the next link, once.
func TestLinkBreak(t *testing.T) {
	n, try := startRun(t)
	n.processor.Break()
	if o, err := try.Outcome(); err != nil || o.Body != "done: gift" {
		t.Errorf("%v, %v", o, err)
	}
	if runs := n.work.Runs("gift"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

func TestHealth(t *testing.T) {
	n := start(t)
	conn := dial(t, n.thrift)
	written, err := conn.Write(fakes.AppendCheck(fakes.AppendCheck(nil, 1, false), 2, true))
	must(t, written, err)
	r := bufio.NewReader(conn)
	for seq := range int32(2) {
		if reply, err := fakes.ReadReply(r); err != nil || reply.Seq != seq+1 || !reply.Good {
			t.Errorf("%+v, %v", reply, err)
		}
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

// TestBadBytes sees that a broken frame ends its connection and nothing else.
func TestBadBytes(t *testing.T) {
	n := start(t)
	for _, bytes := range []string{"\x7f\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x04abcd"} {
		conn := dial(t, n.thrift)
		written, err := conn.Write([]byte(bytes))
		must(t, written, err)
		must(t, 0, conn.SetReadDeadline(time.Now().Add(3*time.Second))) // such a client is owed the end by then
		if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
			t.Errorf("%q: read %q, %v, want the end", bytes, got, err)
		}
	}
	if got := n.ask(t, fakes.Thrift, n.thrift, "kampanjsida", "", "page"); got.Kind != "served" {
		t.Errorf("afterwards: %v", got)
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

// TestKilledWhileGiving kills the program at random moments (seeded) while
// gifts and their repeats come, and starts it again on the same folder of keys:
// no gift runs twice over all the processes, and none is served a result it
// did not have. Without the folder, 17 of 40 ran twice (seen once).
func TestKilledWhileGiving(t *testing.T) {
	n := startOn(t, nil, "", "--keys", t.TempDir())
	n.work.Took = 30 * time.Millisecond
	rng := rand.New(rand.NewSource(11))
	const gifts = 40
	served := map[int]string{}
	for round := range 8 {
		if round > 0 {
			n.launch(t)
		}
		kill := time.Duration(rng.Intn(150)) * time.Millisecond
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 12 {
			gift := rng.Intn(gifts) // new ones, and repeats of earlier ones
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				body := fmt.Sprint("gift ", gift)
				try, err := fakes.Thrift(n.thrift, "ny-gava", fmt.Sprint("k", gift), body)
				if err != nil || try.Send() != nil {
					return // killed already
				}
				if o, err := try.Outcome(); err == nil && o.Kind == "served" {
					mu.Lock()
					defer mu.Unlock()
					if o.Body != fakes.Result(body) {
						t.Errorf("gift %d served %q", gift, o.Body)
					}
					served[gift] = o.Body
				}
			})
		}
		time.Sleep(kill)
		n.kill(t)
		wg.Wait()
	}
	for gift := range gifts {
		if runs := n.work.Runs(fmt.Sprint("gift ", gift)); runs > 1 {
			t.Errorf("gift %d ran %d times", gift, runs)
		}
	}
	t.Logf("%d gifts served over 8 processes", len(served))
}

// command runs the program with arguments and gives its output and exit code.
func command(t *testing.T, config string, args ...string) (string, int) {
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

// TestCommands has each sub-command meet what it is for, and what makes no sense.
func TestCommands(t *testing.T) {
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
		{[]string{"check", "--operator", filepath.Join(dir, "same.toml")}, 1, []string{"metrics.listen: 127.0.0.1:3031 is the uwsgi front's"}},
		{[]string{"describe", doc}, 1, []string{"/gavor", "class ny-gava: the description says aim 1s"}},
		{[]string{"keys", keys, "--list"}, 0, []string{"k1\tny-gava\tin doubt", "1 keys: 0 done, 1 in doubt"}},
		{[]string{"version"}, 0, []string{"quincerail", "go1."}},
		{[]string{"serve", "--no-such-flag"}, 2, []string{"unknown flag"}},
		{[]string{"keys"}, 2, []string{"expected \"<dir>\""}},
	} {
		out, code := command(t, config, c.args...)
		for _, w := range c.want {
			if code != c.code || !strings.Contains(out, w) {
				t.Errorf("%v: exit %d, want %d with %q:\n%s", c.args, code, c.code, w, out)
			}
		}
	}
}
