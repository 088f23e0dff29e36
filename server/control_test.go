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

// operate sends an operator's command, and returns the answer's first word.
func operate(t testing.TB, address, command string) string {
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

// healthy makes a health check over Thrift.
func (w *harness) healthy(t testing.TB) bool {
	t.Helper()
	conn := dial(t, w.Addr().String())
	defer closeConn(conn)
	must(conn.Write(fakes.AppendCheck(nil, 1, false)))(t)
	return must(fakes.ReadReply(bufio.NewReader(conn)))(t).Healthy
}

// TestControl guards the operators' switch of traffic: from the command's answer on, health
// checks fail and reports are false, what still comes is served as before, and the opposite
// command undoes it. Connections without a command hold up nobody.
func TestControl(t *testing.T) {
	w := newHarness(t, func(c *config.Config) { c.ControlAddress = "127.0.0.1:0" })
	address := w.ControlAddr().String()
	for range 5 {
		dial(t, address)
	}
	for _, x := range []struct {
		command, answer string
		ready           bool
	}{
		{"check", "done", true},
		{"drain-on", "done", false},
		{"check", "done", false},
		{"drain", "error", false},
		{"drain-off", "done", true},
	} {
		if got := operate(t, address, x.command); got != x.answer {
			t.Errorf("%s: %s, want %s", x.command, got, x.answer)
		}
		if w.healthy(t) != x.ready {
			t.Errorf("after %s: checks don't report %t", x.command, x.ready)
		}
		if strings.HasPrefix(x.command, "drain-") {
			w.waitReport(t, x.ready)
		}
		if o := outcome(t, fronts[0].ask(t, w, "kampanjsida", "", "page")); o.Kind != "served" {
			t.Errorf("after %s: %s", x.command, o.Kind)
		}
	}
}

// TestReloadSettings has classes change under load: a new one is served from then
// on, one that is gone is not, and a file that lacks a key changes nothing.
func TestReloadSettings(t *testing.T) {
	var running *config.Config
	w := newHarness(t, func(c *config.Config) { running = c })
	renamed := func(old, new string) *config.Config {
		text := dispatchtest.ReadExample(t, "config.json")
		c := must(config.Parse(strings.Replace(text, old, new, 1)))(t)
		c.ProcessorAddress, c.DependencyAddress, c.DiscoveryAddress = running.ProcessorAddress, running.DependencyAddress, running.DiscoveryAddress
		return c
	}
	if err := w.Reload(renamed(`"servers": 1,`, ``), nil); err == nil || !strings.Contains(err.Error(), "settings.servers") {
		t.Errorf("without a key: %v", err)
	}
	if err := w.Reload(renamed(`"name": "kampanjsida"`, `"name": "galasida"`), nil); err != nil {
		t.Fatal(err)
	}
	for class, want := range map[string]string{"galasida": "served", "kampanjsida": "rejected", "givarhistorik": "served"} {
		if o := outcome(t, fronts[0].ask(t, w, class, "", "page")); o.Kind != want {
			t.Errorf("%s: %s, want %s", class, o.Kind, want)
		}
	}
}

// heldSocket opens a listening socket for servers to inherit.
func heldSocket(t *testing.T) (held net.Listener, inherit func(*config.Config)) {
	folder := filepath.Join(t.TempDir(), strings.Repeat("a folder with a long name ", 4)) // too long for a socket's path
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", folder)
	l := listen(t)
	return l, func(c *config.Config) {
		file := must(l.File())(t)
		defer func() { mustDo(t, file.Close()) }()
		c.ListenAddress, c.ListenFD = "held by another", must(syscall.Dup(int(file.Fd())))(t)
		c.ControlAddress = "127.0.0.1:0"
	}
}

// TestTakeOver has a successor take over from a predecessor on the same socket: what is
// open is answered where it is, a gift that runs or ran in the predecessor never runs in
// the successor, and nobody is sent away.
func TestTakeOver(t *testing.T) {
	_, inherit := heldSocket(t)
	predecessor := newHarness(t, inherit)
	predecessor.work.Duration = 300 * time.Millisecond
	gift := func(w *harness, key string) *fakes.Attempt { return fronts[0].ask(t, w, "ny-gava", key, "gift "+key) }
	want := fakes.Outcome{Kind: "served", Body: "done: gift ran"}
	if got := outcome(t, gift(predecessor, "ran")); got != want {
		t.Fatalf("%v", got)
	}
	open := gift(predecessor, "runs")
	<-predecessor.work.Started()
	<-predecessor.work.Started()

	successor := newHarness(t, inherit)
	for operate(t, successor.ControlAddr().String(), "check") != "done" {
		time.Sleep(time.Millisecond)
	}
	predecessor.startShutdown()
	repeats := []*fakes.Attempt{gift(successor, "ran"), gift(successor, "runs"), open}
	for i, key := range []string{"ran", "runs", "runs"} {
		want.Body = "done: gift " + key
		if got := outcome(t, repeats[i]); got != want {
			t.Errorf("%s: %v", key, got)
		}
	}
	<-predecessor.drained
	want.Body = "done: gift new"
	if got := outcome(t, gift(successor, "new")); got != want {
		t.Errorf("after the predecessor's end: %v", got)
	}
	if got := outcome(t, gift(successor, "runs")); got.Body != "done: gift runs" {
		t.Errorf("after the predecessor's end: %v", got)
	}
	for key, where := range map[string]*harness{"ran": predecessor, "runs": predecessor, "new": successor} {
		body := "gift " + key
		if a, b := predecessor.work.Runs(body), successor.work.Runs(body); a+b != 1 || where.work.Runs(body) != 1 {
			t.Errorf("%s: %d runs in the predecessor, %d in the successor", body, a, b)
		}
	}
	for len(predecessor.announce.Reports) > 0 {
		if report := <-predecessor.announce.Reports; strings.Contains(report, "false") {
			t.Errorf("the predecessor reports %s", report)
		}
	}
}

const graceEnds = 2 * time.Second // with room; shortGrace has one second, and five until the end

// TestInherit serves on a listening socket that another holds. In a drain that
// nobody takes over, what comes after the grace finds the socket open, so it must be
// accepted and shed: unread, it would be lost.
func TestInherit(t *testing.T) {
	held, inherit := heldSocket(t)
	w := newHarness(t, func(c *config.Config) { inherit(c); shortGrace(c) })
	if o := outcome(t, fronts[0].ask(t, w, "kampanjsida", "", "page")); o.Kind != "served" {
		t.Errorf("over the inherited socket: %s", o.Kind)
	}
	if w.Addr().String() != held.Addr().String() {
		t.Errorf("it listens on %s", w.Addr())
	}
	w.startShutdown()
	w.waitReport(t, false)
	kind := ""
	for began := time.Now(); time.Since(began) < graceEnds; { // until well after the grace, and well before the end
		if kind = outcome(t, fronts[0].ask(t, w, "kampanjsida", "", "page")).Kind; kind == "served" {
			<-w.work.Started()
		}
	}
	if kind != "refused" {
		t.Errorf("after the grace: %s", kind)
	}
	<-w.drained
}
