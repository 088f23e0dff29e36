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
	// earlierKeys is the number of keys that are completed before the first handover. It is
	// higher than the number that fits into one message of the handover protocol.
	earlierKeys = 40
	// runningKeys is the number of keys that run in the predecessor when the successor starts.
	runningKeys = 6
	// concurrentKeys is the number of keys that are sent twice each while both processes serve.
	concurrentKeys = 10
	// handoverRunTime is the run time of each request. It is longer than a successor takes to
	// start, and shorter than the time that the predecessor has to exit.
	handoverRunTime = 1200 * time.Millisecond
)

// TestVersionsSideBySideHandover does two handovers on one listening socket, between processes
// of alternating versions. Keyed requests are completed before, run during and arrive after each
// handover. Each key must run once, and each caller that sends it must be served its result.
func TestVersionsSideBySideHandover(t *testing.T) {
	forEachVersionPair(t, func(t *testing.T, pair versionPair) {
		began := time.Now()
		s := newHandoverSite(t)
		first := s.start(pair.previous)
		s.awaitHandoverSocket()
		s.serveAll(s.newRequests("earlier", earlierKeys), 1)
		second := s.handOver(first, pair.current, "forth")
		third := s.handOver(second, pair.previous, "back")
		s.serveAll(s.requests, 1) // all keys have run, so these are retries
		s.checkRuns()
		third.checkLog()
		t.Logf("handovers 2, keys %d, attempts served %d, resent after a refusal or a closed connection %d, in flight at each handover %v, "+
			"maximum open in the successor until those were answered %v, runs %d, took %v", len(s.requests), s.served.Load(), s.resent.Load(), s.inFlight, s.maxOpen,
			s.work.Total(), time.Since(began).Round(time.Millisecond))
	})
}

// handoverSite is what the successive processes of one app server share: the listening socket,
// the folder where they find each other, and the fakes that they talk to.
type handoverSite struct {
	t              *testing.T
	address        string
	socket         *os.File
	folder         string      // the processes' TMPDIR
	handoverSocket os.FileInfo // Unix socket at which a successor finds its predecessor, as last seen
	settings       map[string]any
	work           *fakes.Work // shared by the processors of all processes
	ledger         *fakes.Dependency
	announce       *fakes.DiscoveryService

	requests       []keyedRequest // all requests sent so far
	served, resent atomic.Int64   // numbers of attempts
	inFlight       []string       // at each handover, as logged by the predecessor
	maxOpen        []int          // at each handover, maximum open in the successor until the predecessor had answered its runs
}

// newHandoverSite opens the listening socket and starts the fakes.
func newHandoverSite(t *testing.T) *handoverSite {
	t.Helper()
	s := &handoverSite{t: t, folder: t.TempDir(), settings: exampleSettings(t), work: fakes.NewWork(handoverRunTime)}
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", anyPort)
	must(t, 0, err)
	t.Cleanup(func() { closeQuietly(listener) })
	s.address = listener.Addr().String()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		t.Fatalf("listener has type %T, want *net.TCPListener", listener)
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
	go func() { // drained, because Work's buffer of started bodies is small
		for range s.work.Started() {
		}
	}()
	return s
}

// serverProcess is a process of a handoverSite.
type serverProcess struct {
	t        *testing.T
	command  *exec.Cmd
	control  string     // address of the control port
	metrics  string     // address of the metrics
	exited   chan error // receives the exit error, and is then closed
	mu       sync.Mutex
	logLines []string
}

// addressLine matches the log lines that report a listener's address.
var addressLine = regexp.MustCompile(`event=(\S+) (?:name=\S+ )?address=(\S+)`)

// start starts a process of a program on the shared socket, and returns once the process
// accepts requests.
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

// follow collects the log lines until the process exits.
func (p *serverProcess) follow(stderr io.Reader) {
	for s := bufio.NewScanner(stderr); s.Scan(); {
		p.mu.Lock()
		p.logLines = append(p.logLines, s.Text())
		p.mu.Unlock()
	}
	p.exited <- p.command.Wait()
	close(p.exited)
}

// log returns the lines logged so far.
func (p *serverProcess) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logLines[:len(p.logLines):len(p.logLines)]
}

// kill kills the process if it still runs, and waits until it has exited. If the test failed,
// kill prints the process's log.
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

// awaitAddresses waits until the log has the addresses of the control port and of the metrics.
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

// openRequests matches the metric of open requests.
var openRequests = regexp.MustCompile(`(?m)^quincerail_open_requests (\d+)$`)

// open returns the number of open requests from the process's metrics.
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
		p.t.Fatalf("metrics have no quincerail_open_requests:\n%s", page)
	}
	n, err := strconv.Atoi(string(m[1]))
	return must(p.t, n, err)
}

// logField matches a key and its value, which may be quoted, in a log line.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// logFields returns the fields of a log line by key, without quotes.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for _, m := range logField.FindAllStringSubmatch(line, -1) {
		fields[m[1]] = strings.Trim(m[2], `"`)
	}
	return fields
}

// awaitHandover waits until the process logs its handover, and returns the number of open
// requests in that log line.
func (p *serverProcess) awaitHandover() (open string) {
	p.t.Helper()
	eventually(p.t, "the process logs its handover", func() (string, bool) {
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

// checkLog checks that the process logged no fault; see logFault.
func (p *serverProcess) checkLog() {
	p.t.Helper()
	for _, line := range p.log() {
		fields := logFields(line)
		if fault := logFault(fields["event"], fields["level"], line); fault != "" {
			p.t.Errorf("%s: %s", fault, line)
		}
	}
}

// awaitHandoverSocket waits until the latest process has opened its Unix socket for the
// handover: the socket's path then refers to another file than before.
func (s *handoverSite) awaitHandoverSocket() {
	s.t.Helper()
	path := filepath.Join(s.folder, "quincerail-n1.sock")
	eventually(s.t, "the latest process opens its handover socket", func() (string, bool) {
		now, err := os.Stat(path)
		if err != nil || s.handoverSocket != nil && os.SameFile(s.handoverSocket, now) {
			return fmt.Sprint(now, err), false
		}
		s.handoverSocket = now
		return "", true
	})
}

// newRequests creates requests with new keys, and adds them to s.requests.
func (s *handoverSite) newRequests(name string, count int) []keyedRequest {
	requests := make([]keyedRequest, count)
	for i := range requests {
		what := fmt.Sprintf("%s-%d", name, i)
		requests[i] = keyedRequest{key: what, body: "gift " + what}
	}
	s.requests = append(s.requests, requests...)
	return requests
}

// send starts several callers for each request, which send it concurrently. The returned group
// is done when all of them have been served.
func (s *handoverSite) send(requests []keyedRequest, callers int) *sync.WaitGroup {
	var group sync.WaitGroup
	s.t.Cleanup(group.Wait) // in case the test fails early
	for _, r := range requests {
		for range callers {
			group.Go(func() { s.serve(s.t.Context(), r) })
		}
	}
	return &group
}

// serve sends a request until it is served, and counts its attempts.
func (s *handoverSite) serve(ctx context.Context, r keyedRequest) {
	sent, err := r.serve(ctx, s.address)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.served.Add(1)
	s.resent.Add(int64(sent - 1))
}

// serveAll sends requests as send does, and waits until all are served.
func (s *handoverSite) serveAll(requests []keyedRequest, callers int) {
	s.send(requests, callers).Wait()
}

// handOver starts a process of a program as the successor of another one, shuts the predecessor
// down while requests run in it, and returns the successor. name is a prefix for the keys of this
// handover.
func (s *handoverSite) handOver(predecessor *serverProcess, program, name string) *serverProcess {
	s.t.Helper()
	running := s.newRequests(name+"-running", runningKeys)
	runningAnswers := s.send(running, 1)
	s.awaitRuns(running)
	successor := s.start(program)
	concurrent := s.newRequests(name+"-both", concurrentKeys)
	concurrentAnswers := s.send(concurrent, 2)
	s.awaitRuns(concurrent)

	must(s.t, 0, predecessor.command.Process.Signal(syscall.SIGTERM))
	s.inFlight = append(s.inFlight, predecessor.awaitHandover())
	retries := s.send(slices.Concat(running, concurrent), 2)
	s.maxOpen = append(s.maxOpen, maxOpenUntil(successor, runningAnswers))
	concurrentAnswers.Wait()
	retries.Wait()
	if err := <-predecessor.exited; err != nil {
		s.t.Errorf("the predecessor exits with error %v", err)
	}
	predecessor.checkLog()
	s.awaitHandoverSocket()
	s.checkRuns()
	return successor
}

// awaitRuns waits until each request has started to run in some process.
func (s *handoverSite) awaitRuns(requests []keyedRequest) {
	s.t.Helper()
	eventually(s.t, "all requests have started to run", func() (string, bool) {
		notRun := slices.DeleteFunc(slices.Clone(requests), func(r keyedRequest) bool { return s.work.Runs(r.body) > 0 })
		return fmt.Sprint("not run: ", notRun), len(notRun) == 0
	})
}

// maxOpenUntil returns the maximum number of open requests in a process until a group is done. It
// samples the metrics every pollInterval.
func maxOpenUntil(p *serverProcess, group *sync.WaitGroup) (most int) {
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

// checkRuns checks that each key ran once over all processes.
func (s *handoverSite) checkRuns() {
	s.t.Helper()
	for _, r := range s.requests {
		if runs := s.work.Runs(r.body); runs != 1 {
			s.t.Errorf("key %s ran %d times, want 1", r.key, runs)
		}
	}
}
