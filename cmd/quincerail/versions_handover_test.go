package main_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

const (
	// earlierKeys are more than one message of the handover brings.
	earlierKeys = 40
	// runningKeys run in the process that hands over from before the next one starts.
	runningKeys = 6
	// concurrentKeys are sent twice each while both processes serve.
	concurrentKeys = 10
	// handoverRunTime is longer than the next process takes to start, and ends
	// before the process that hands over is to have ended.
	handoverRunTime = 1200 * time.Millisecond
)

// TestVersionsSideBySideHandover has one process take over from another on one
// listening socket, and a third from that, of alternating versions. Keyed requests
// ran before, run during and come after each handover: each runs once, and all
// tries are served its result.
func TestVersionsSideBySideHandover(t *testing.T) {
	forEachVersionPair(t, func(t *testing.T, pair versionPair) {
		began := time.Now()
		s := newHandoverSite(t)
		first := s.start(pair.previous)
		s.awaitHandoverSocket()
		s.serveAll(s.newRequests("earlier", earlierKeys), 1)
		second := s.handOver(first, pair.current, "forth")
		third := s.handOver(second, pair.previous, "back")
		s.serveAll(s.requests, 1) // all are repeats by now
		s.checkRuns()
		third.checkLog()
		t.Logf("handovers 2, keys %d, tries served %d, sent again after a refusal or an ended connection %d, in flight at each handover %v, "+
			"most open in the successor until those were answered %v, runs %d, took %v", len(s.requests), s.served.Load(), s.resent.Load(), s.inFlight, s.waiting,
			s.work.Total(), time.Since(began).Round(time.Millisecond))
	})
}

// handoverSite is what processes of one app server share: the listening socket,
// the folder where they find each other, and the parties around them.
type handoverSite struct {
	t        *testing.T
	address  string
	socket   *os.File
	folder   string      // for temporary files
	door     os.FileInfo // the socket where the next process finds the last one
	settings map[string]any
	work     *fakes.Work // of all processors together
	ledger   *fakes.Dependency
	announce *fakes.DiscoveryService

	requests       []keyedRequest // all that were sent
	served, resent atomic.Int64   // tries
	inFlight       []string       // at each handover, as the process logged it
	waiting        []int          // most open in the successor until those were answered
}

func newHandoverSite(t *testing.T) *handoverSite {
	t.Helper()
	s := &handoverSite{t: t, folder: t.TempDir(), settings: exampleSettings(t), work: fakes.NewWork(handoverRunTime)}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", anyPort)
	must(t, 0, err)
	t.Cleanup(func() { closeQuietly(listener) })
	s.address = listener.Addr().String()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		t.Fatalf("%T is no TCP listener", listener)
	}
	s.socket, err = tcp.File()
	must(t, 0, err)
	t.Cleanup(func() { closeQuietly(s.socket) })
	s.ledger, err = fakes.NewDependency(anyPort)
	must(t, 0, err)
	t.Cleanup(s.ledger.Close)
	s.announce, err = fakes.NewDiscoveryService(anyPort)
	must(t, 0, err)
	t.Cleanup(s.announce.Close)
	go func() { // Work holds few of those that nobody takes
		for range s.work.Started() {
		}
	}()
	return s
}

// serverProcess is a process of a handoverSite.
type serverProcess struct {
	t        *testing.T
	command  *exec.Cmd
	control  string     // address of the operators' calls
	metrics  string     // address of its metrics
	exited   chan error // has what it ended with
	mu       sync.Mutex
	logLines []string
}

var addressLine = regexp.MustCompile(`event=(\S+) (?:name=\S+ )?address=(\S+)`)

// start starts a process of a program on the shared socket, and returns once it
// takes requests.
func (s *handoverSite) start(program string) *serverProcess {
	s.t.Helper()
	processor, err := fakes.NewProcessor(anyPort, s.work)
	must(s.t, 0, err)
	s.t.Cleanup(processor.Close)
	operator := filepath.Join(s.t.TempDir(), "operator.toml")
	must(s.t, 0, os.WriteFile(operator, []byte("[metrics]\nlisten = '127.0.0.1:0'\n[log]\nlevel = 'debug'\nrepeats = 100\n"), 0o600))
	config := writeConfig(s.t, map[string]any{
		"listen": anyPort, "control": anyPort, "processor": processor.Addr(),
		"ledger": s.ledger.Addr(), "announce": s.announce.Addr(), "settings": s.settings,
	})
	p := &serverProcess{t: s.t, exited: make(chan error, 1)}
	p.command = exec.CommandContext(s.t.Context(), program, "--operator", operator)
	p.command.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_FD=3", "TMPDIR="+s.folder)
	p.command.ExtraFiles = []*os.File{s.socket}
	stderr, err := p.command.StderrPipe()
	must(s.t, 0, err)
	must(s.t, 0, p.command.Start())
	go p.follow(stderr)
	s.t.Cleanup(p.kill)
	p.awaitAddresses()
	awaitReady(p.t, p.control)
	return p
}

// follow reads the log until the process ends.
func (p *serverProcess) follow(stderr io.Reader) {
	for s := bufio.NewScanner(stderr); s.Scan(); {
		p.mu.Lock()
		p.logLines = append(p.logLines, s.Text())
		p.mu.Unlock()
	}
	p.exited <- p.command.Wait()
	close(p.exited)
}

func (p *serverProcess) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logLines[:len(p.logLines):len(p.logLines)]
}

// kill ends the process if it is still there, and waits for its end.
func (p *serverProcess) kill() {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	for range p.exited {
	}
	if p.t.Failed() {
		p.t.Logf("log of process %d:\n%s", p.command.Process.Pid, strings.Join(p.log(), "\n"))
	}
}

// awaitAddresses waits until the log has where the process hears operators.
func (p *serverProcess) awaitAddresses() {
	p.t.Helper()
	eventually(p.t, "the process logs its addresses", func() (string, bool) {
		for _, line := range p.log() {
			m := addressLine.FindStringSubmatch(line)
			switch {
			case m == nil:
			case strings.Contains(m[1], "control"):
				p.control = m[2]
			case strings.Contains(m[1], "metrics"):
				p.metrics = m[2]
			}
		}
		return strings.Join(p.log(), "\n"), p.control != "" && p.metrics != ""
	})
}

var openRequests = regexp.MustCompile(`(?m)^quincerail_open_requests (\d+)$`)

// open returns how many requests are open in the process, by its metrics.
func (p *serverProcess) open() int {
	p.t.Helper()
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+p.metrics+"/metrics", http.NoBody)
	must(p.t, 0, err)
	response, err := http.DefaultClient.Do(request)
	must(p.t, 0, err)
	defer closeQuietly(response.Body)
	page, err := io.ReadAll(response.Body)
	must(p.t, 0, err)
	m := openRequests.FindSubmatch(page)
	if m == nil {
		p.t.Fatalf("no open requests in\n%s", page)
	}
	n, err := strconv.Atoi(string(m[1]))
	return must(p.t, n, err)
}

var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

func logFields(line string) map[string]string {
	fields := map[string]string{}
	for _, m := range logField.FindAllStringSubmatch(line, -1) {
		fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return fields
}

// awaitHandover waits until the process logs that it hands over, and returns how
// many requests it says to be open.
func (p *serverProcess) awaitHandover() (open string) {
	p.t.Helper()
	eventually(p.t, "the process hands over", func() (string, bool) {
		for _, line := range p.log() {
			if fields := logFields(line); slices.Contains(handoverEvents, fields["event"]) {
				open = fields["open"]
				return "", true
			}
		}
		return strings.Join(p.log(), "\n"), false
	})
	return open
}

// checkLog sees that the process logged no fault.
func (p *serverProcess) checkLog() {
	p.t.Helper()
	for _, line := range p.log() {
		fields := logFields(line)
		if fault := logFault(fields["event"], fields["level"], line); fault != "" {
			p.t.Errorf("%s: %s", fault, line)
		}
	}
}

// awaitHandoverSocket waits until the next process may find the last one: the
// socket's name leads to another socket than before.
func (s *handoverSite) awaitHandoverSocket() {
	s.t.Helper()
	path := filepath.Join(s.folder, "quincerail-n1.sock")
	eventually(s.t, "a process opens its socket for the handover", func() (string, bool) {
		now, err := os.Stat(path)
		if err != nil || s.door != nil && os.SameFile(s.door, now) {
			return fmt.Sprint(now, err), false
		}
		s.door = now
		return "", true
	})
}

// newRequests makes requests with keys of their own.
func (s *handoverSite) newRequests(name string, count int) []keyedRequest {
	requests := make([]keyedRequest, count)
	for i := range requests {
		what := fmt.Sprintf("%s-%d", name, i)
		requests[i] = keyedRequest{key: what, body: "gift " + what}
	}
	s.requests = append(s.requests, requests...)
	return requests
}

// send has each request sent by several callers at a time; the group is done when
// all have been served.
func (s *handoverSite) send(requests []keyedRequest, callers int) *sync.WaitGroup {
	var group sync.WaitGroup
	s.t.Cleanup(group.Wait) // of a test that ends early
	for _, r := range requests {
		for range callers {
			group.Go(func() { s.serve(s.t.Context(), r) })
		}
	}
	return &group
}

func (s *handoverSite) serve(ctx context.Context, r keyedRequest) {
	sent, err := r.serve(ctx, s.address)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.served.Add(1)
	s.resent.Add(int64(sent - 1))
}

func (s *handoverSite) serveAll(requests []keyedRequest, callers int) {
	s.send(requests, callers).Wait()
}

// handOver has a process of a program take over from another, which ends. name
// tells the keys of this handover from others.
func (s *handoverSite) handOver(from *serverProcess, program, name string) *serverProcess {
	s.t.Helper()
	running := s.newRequests(name+"-running", runningKeys)
	answers := s.send(running, 1)
	s.awaitRuns(running)
	to := s.start(program)
	concurrent := s.newRequests(name+"-both", concurrentKeys)
	concurrentAnswers := s.send(concurrent, 2)
	s.awaitRuns(concurrent)

	must(s.t, 0, from.command.Process.Signal(syscall.SIGTERM))
	s.inFlight = append(s.inFlight, from.awaitHandover())
	repeats := s.send(slices.Concat(running, concurrent), 2)
	s.waiting = append(s.waiting, mostOpen(to, answers))
	concurrentAnswers.Wait()
	repeats.Wait()
	if err := <-from.exited; err != nil {
		s.t.Errorf("the process that handed over ends with %v", err)
	}
	from.checkLog()
	s.awaitHandoverSocket()
	s.checkRuns()
	return to
}

// awaitRuns waits until each request runs in a process.
func (s *handoverSite) awaitRuns(requests []keyedRequest) {
	s.t.Helper()
	eventually(s.t, "all requests run", func() (string, bool) {
		waiting := slices.DeleteFunc(slices.Clone(requests), func(r keyedRequest) bool { return s.work.Runs(r.body) > 0 })
		return fmt.Sprint(waiting), len(waiting) == 0
	})
}

// mostOpen is how many requests are open in a process at most, until a group is
// done.
func mostOpen(p *serverProcess, group *sync.WaitGroup) (most int) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	for {
		most = max(most, p.open())
		select {
		case <-done:
			return most
		case <-time.After(pollInterval):
		}
	}
}

// checkRuns sees that each key ran once, in whichever process.
func (s *handoverSite) checkRuns() {
	s.t.Helper()
	for _, r := range s.requests {
		if runs := s.work.Runs(r.body); runs != 1 {
			s.t.Errorf("%s ran %d times", r.key, runs)
		}
	}
}
