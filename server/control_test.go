package server_test

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/internal/fakes"
)

// sendCommand sends an operator's command, and returns the answer's first word.
func sendCommand(t testing.TB, address, command string) string {
	t.Helper()
	conn := dial(t, address)
	defer closeConn(conn)
	must(conn.Write([]byte(command + "\r\n")))(t)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatalf("%s: %v", command, err)
	}
	word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
	return word
}

// isHealthy returns the answer to a health check over Thrift.
func (h *harness) isHealthy(t testing.TB) bool {
	t.Helper()
	conn := dial(t, h.Addr().String())
	defer closeConn(conn)
	must(conn.Write(fakes.AppendCheck(nil, 1, false)))(t)
	return must(fakes.ReadReply(bufio.NewReader(conn)))(t).Healthy
}

// TestDrainCommands_SwitchHealthAndStillServe checks the operators' commands drain-on and
// drain-off. After the answer to drain-on, health checks fail and the server reports to the
// discovery service that it does not accept requests, but it still serves requests; drain-off
// reverses that. Connections that send no command don't delay the others.
func TestDrainCommands_SwitchHealthAndStillServe(t *testing.T) {
	h := newHarness(t, func(c *config.Config) { c.ControlAddress = "127.0.0.1:0" })
	address := h.ControlAddr().String()
	for range 5 {
		dial(t, address)
	}
	for _, test := range []struct {
		command, answer string
		ready           bool
	}{
		{"check", "done", true},
		{"drain-on", "done", false},
		{"check", "done", false},
		{"drain", "error", false},
		{"drain-off", "done", true},
	} {
		if got := sendCommand(t, address, test.command); got != test.answer {
			t.Errorf("answer to %s = %s, want %s", test.command, got, test.answer)
		}
		if h.isHealthy(t) != test.ready {
			t.Errorf("health check after %s = %t, want %t", test.command, !test.ready, test.ready)
		}
		if strings.HasPrefix(test.command, "drain-") {
			h.waitReport(t, test.ready)
		}
		if o := outcome(t, frontends[0].ask(t, h, "kampanjsida", "", "page")); o.Kind != "served" {
			t.Errorf("outcome of a request after %s = %s, want served", test.command, o.Kind)
		}
	}
}

// TestReload_ReplacesClassesAndRejectsMissingKey checks that after a reload a new class is
// served and requests of a removed class are rejected, and that a file without a required key
// is an error and changes nothing.
func TestReload_ReplacesClassesAndRejectsMissingKey(t *testing.T) {
	var running *config.Config
	h := newHarness(t, func(c *config.Config) { running = c })
	renamed := func(old, new string) *config.Config {
		text := dispatchtest.ReadExample(t, "config.json")
		c := must(config.Parse(strings.Replace(text, old, new, 1)))(t)
		c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress = running.ProcessorAddress, running.DependencyAddress, running.DiscoveryAddress
		return c
	}
	if err := h.Reload(renamed(`"servers": 1,`, ``), nil); err == nil || !strings.Contains(err.Error(), "settings.servers") {
		t.Errorf("Reload without settings.servers = %v, want an error that names settings.servers", err)
	}
	if err := h.Reload(renamed(`"name": "kampanjsida"`, `"name": "galasida"`), nil); err != nil {
		t.Fatal(err)
	}
	for class, want := range map[string]string{"galasida": "served", "kampanjsida": "rejected", "givarhistorik": "served"} {
		if o := outcome(t, frontends[0].ask(t, h, class, "", "page")); o.Kind != want {
			t.Errorf("outcome of class %s = %s, want %s", class, o.Kind, want)
		}
	}
}

// newInheritedSocket opens a listening socket. inherit changes a configuration so that a server
// with it inherits the socket.
func newInheritedSocket(t *testing.T) (listener net.Listener, inherit func(*config.Config)) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("a folder with a long name ", 4)) // too long for a Unix socket's address
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", dir)
	l := listen(t)
	return l, func(c *config.Config) {
		file := must(l.File())(t)
		defer func() { mustSucceed(t, file.Close()) }()
		c.ListenAddress, c.ListenFD = "not used", must(syscall.Dup(int(file.Fd())))(t)
		c.ControlAddress = "127.0.0.1:0"
	}
}

// TestTakeover_RunsEachKeyedRequestOnce starts a successor on the predecessor's socket. The
// predecessor answers its open requests, a keyed request that runs or ran in the predecessor
// never runs in the successor, and the predecessor never reports that it does not accept
// requests.
func TestTakeover_RunsEachKeyedRequestOnce(t *testing.T) {
	_, inherit := newInheritedSocket(t)
	predecessor := newHarness(t, inherit)
	predecessor.work.Duration = 300 * time.Millisecond
	gift := func(h *harness, key string) *fakes.Attempt {
		return frontends[0].ask(t, h, "ny-gava", key, "gift "+key)
	}
	want := fakes.Outcome{Kind: "served", Body: "done: gift ran"}
	if got := outcome(t, gift(predecessor, "ran")); got != want {
		t.Fatalf("outcome in the predecessor before the takeover = %v, want %v", got, want)
	}
	open := gift(predecessor, "runs")
	<-predecessor.work.Started()
	<-predecessor.work.Started()

	successor := newHarness(t, inherit)
	for sendCommand(t, successor.ControlAddr().String(), "check") != "done" {
		time.Sleep(time.Millisecond)
	}
	predecessor.startShutdown()
	attempts := []*fakes.Attempt{gift(successor, "ran"), gift(successor, "runs"), open}
	for i, key := range []string{"ran", "runs", "runs"} {
		want.Body = "done: gift " + key
		if got := outcome(t, attempts[i]); got != want {
			t.Errorf("outcome of attempt %d with key %s = %v, want %v", i, key, got, want)
		}
	}
	<-predecessor.drained
	want.Body = "done: gift new"
	if got := outcome(t, gift(successor, "new")); got != want {
		t.Errorf("outcome of a new key after the predecessor has stopped = %v, want %v", got, want)
	}
	if got := outcome(t, gift(successor, "runs")); got.Body != "done: gift runs" {
		t.Errorf("outcome of a replicated key after the predecessor has stopped = %v, want body %q", got, "done: gift runs")
	}
	for key, where := range map[string]*harness{"ran": predecessor, "runs": predecessor, "new": successor} {
		body := "gift " + key
		if a, b := predecessor.work.Runs(body), successor.work.Runs(body); a+b != 1 || where.work.Runs(body) != 1 {
			t.Errorf("%s: %d runs in the predecessor and %d in the successor, want 1 in total, in the process that received it first", body, a, b)
		}
	}
	for len(predecessor.discovery.Reports) > 0 {
		if report := <-predecessor.discovery.Reports; strings.Contains(report, "false") {
			t.Errorf("the predecessor sent the report %s, want none of accepting false", report)
		}
	}
}

// afterShortGrace is a time after SIGTERM that is well after the grace of shortGrace (1 s)
// and well before its kill time (5 s).
const afterShortGrace = 2 * time.Second

// TestDrain_ShedsOnInheritedSocketAfterGrace drains a server on an inherited listening socket
// without a successor. The socket is still open after the grace, since another process holds
// it too. So the server must accept and shed the requests that arrive then: they would be lost
// if it did not read them.
func TestDrain_ShedsOnInheritedSocketAfterGrace(t *testing.T) {
	listener, inherit := newInheritedSocket(t)
	h := newHarness(t, func(c *config.Config) { inherit(c); shortGrace(c) })
	if o := outcome(t, frontends[0].ask(t, h, "kampanjsida", "", "page")); o.Kind != "served" {
		t.Errorf("outcome over the inherited socket = %s, want served", o.Kind)
	}
	if h.Addr().String() != listener.Addr().String() {
		t.Errorf("Addr() = %s, want the inherited socket's %s", h.Addr(), listener.Addr())
	}
	h.startShutdown()
	h.waitReport(t, false)
	kind := ""
	for began := time.Now(); time.Since(began) < afterShortGrace; {
		if kind = outcome(t, frontends[0].ask(t, h, "kampanjsida", "", "page")).Kind; kind == "served" {
			<-h.work.Started()
		}
	}
	if kind != "refused" {
		t.Errorf("outcome after the grace = %s, want refused", kind)
	}
	<-h.drained
}
