package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

const anyPort = "127.0.0.1:0"

// site is a small deployment: the services that all processes of the app server share.
type site struct {
	folder   string // of the case
	temp     string
	trouble  bool
	began    time.Time
	ledger   *fakes.Dependency
	announce *fakes.DiscoveryService
	settings map[string]any
	memoryMB int

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	closers []func()
	work    work
}

func newSite(folder string, trouble bool) (*site, error) {
	s := &site{folder: folder, trouble: trouble, began: time.Now(), settings: defaultSettings(), memoryMB: 192, work: newWork()}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s.file, s.record = file, bufio.NewWriter(file)
	if s.temp, err = os.MkdirTemp("", "drill"); err != nil {
		return nil, err
	}
	s.onClose(func() { _ = os.RemoveAll(s.temp) })
	if s.ledger, err = fakes.NewDependency(anyPort); err != nil {
		return nil, err
	}
	s.onClose(s.ledger.Close)
	s.ledger.Release()
	if s.announce, err = fakes.NewDiscoveryService(anyPort); err != nil {
		return nil, err
	}
	s.onClose(s.announce.Close)
	s.log("trouble=%t", trouble)
	return s, nil
}

// log writes a line to record.txt, with the milliseconds since the start of the case.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		fmt.Fprintf(s.record, "%7d "+format+"\n", append([]any{time.Since(s.began).Milliseconds()}, args...)...)
	}
}

func (s *site) onClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// close ends all processes and services, the latest first.
func (s *site) close() {
	s.mu.Lock()
	closers := s.closers
	s.closers = nil
	s.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

func (s *site) closeRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
	s.record = nil
}

// defaultSettings returns settings like those of the deployment gava-norr, for one app server.
func defaultSettings() map[string]any {
	class := func(name, semantics string, gain float64, goal, limit, window int) map[string]any {
		return map[string]any{
			"gain": gain, "goalTimeUs": goal, "hardLimitUs": limit, "lateWorth": 0.2, "name": name, "semantics": semantics, "windowUs": window,
		}
	}
	return map[string]any{
		"az": 0, "callers": map[string]any{"marksRetry": false},
		"caps":   map[string]any{"cpuUsPerRequest": 0.0, "cpuUsPerS": 62821, "maxRetryAfterUs": 1000000, "retryAfter": true},
		"family": "server",
		"familyInfo": map[string]any{
			"callsByClass": []bool{false, false, false}, "callsOut": 6.0, "callsOverUs": 5000000, "cores": 6,
			"degradedWorth": []float64{0.6, 0, 0}, "dependsOn": "common", "freshUs": 0, "fullChecks": true,
			"heededUs": 1000000, "idleUs": 30000000, "justStarted": false, "keyKb": 6.0, "memoryKb": 64000.0,
			"ownStats": []string{"core_use", "on_cores", "heap_share", "links"}, "passesDeadline": false,
			"readiness": true, "runFactor": 16.0, "say": "silent", "senders": 3, "staysForUs": 200000,
			"stopMode": "drop", "tellsGone": true,
		},
		"lanes": []any{
			class("kampanjsida", "free", 1, 2800000, 9200000, 5000000),
			class("givarhistorik", "free", 2, 1700000, 4600000, 5000000),
			class("ny-gava", "guarded", 3, 1800000, 6900000, 20706000),
		},
		"loadReport": map[string]any{"fields": []string{"latency_ms", "inflight", "queue"}, "via": "piggyback"},
		"obligations": map[string]any{
			"answerSlackUs": 60000, "coldFrom": 0.22, "coldUs": 18000000, "drainGraceUs": 2000000, "fallMultiple": 8.0, "overloadForUs": 1500000,
		},
		"ordinal": 0, "overShareWorth": 0.1,
		"prices":    map[string]any{"connection": 0.0, "handshake": 0.01, "lateFail": 0.05, "origin": 0.02, "waste": 0.054},
		"quantumUs": 4000, "realms": []any{},
		"scoreParts": map[string]any{"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.15},
		"servers":    1, "tier": 0, "tiers": []string{"gavoserver"}, "valueBy": "request", "zones": []string{"hall-sundsvall"},
	}
}

// node is one process of the app server with the processor that the platform gives it.
type node struct {
	site      *site
	label     string
	command   *exec.Cmd
	control   string
	listen    string
	processor *processor
	config    string
	exited    chan struct{}
}

// start starts the app server with the command of the deploy file, plus flags. If socket is not
// nil, the platform holds the callers' listening socket and passes it as descriptor 3.
func (s *site) start(label, listen string, socket *os.File, flags ...string) (*node, error) {
	p, err := newProcessor(s, label)
	if err != nil {
		return nil, err
	}
	n := &node{site: s, label: label, listen: listen, processor: p, exited: make(chan struct{}), config: filepath.Join(s.temp, label+".json")}
	if n.control, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := n.writeConfig(); err != nil {
		return nil, err
	}
	shared := filepath.Join(s.temp, "tmp")
	if err := os.MkdirAll(shared, 0o755); err != nil {
		return nil, err
	}
	run := strings.TrimSpace("trap '' HUP; exec bin/quincerail " + strings.Join(flags, " "))
	n.command = exec.Command("/bin/sh", "-c", run)
	n.command.Env = append(os.Environ(), "GW_NAME=n1", "GW_LISTEN="+listen, "GW_CONFIG="+n.config, "GW_CONTROL="+n.control, "TMPDIR="+shared)
	if socket != nil {
		n.command.Env = append(n.command.Env, "GW_FD=3")
		n.command.ExtraFiles = []*os.File{socket}
	}
	stderr, err := n.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	n.command.Stdout = n.command.Stderr
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	s.log("start %s pid=%d: %s", label, n.command.Process.Pid, run)
	go n.follow(stderr)
	s.onClose(n.kill)
	return n, nil
}

func (n *node) writeConfig() error {
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": n.listen, "processor": n.processor.Addr(), "announce": n.site.announce.Addr(), "ledger": n.site.ledger.Addr(),
		"control": n.control, "seed": "8c1f30d27a5be964", "stop_ms": 3700,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": n.site.memoryMB, "sockets": 1024},
		"settings": n.site.settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.config, text, 0o644)
}

// follow copies the program's log into the record until the process ends.
func (n *node) follow(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		n.site.log("%s says: %s", n.label, lines.Text())
	}
	_ = n.command.Wait()
	n.site.log("%s has ended: %s", n.label, n.command.ProcessState)
	close(n.exited)
}

// awaitReady waits until the operators' check says done.
func (n *node) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if answer, err := n.call("check"); err == nil && strings.HasPrefix(answer, "done") {
			n.site.log("%s is ready", n.label)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s was not ready within %s", n.label, timeout)
}

// call sends an operators' command.
func (n *node) call(command string) (string, error) {
	c, err := net.DialTimeout("tcp", n.control, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "%s\r\n", command); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func (n *node) signal(sig syscall.Signal) {
	n.site.log("%s gets %s", n.label, sig)
	_ = n.command.Process.Signal(sig)
}

// kill ends the process and its processor at once.
func (n *node) kill() {
	select {
	case <-n.exited:
	default:
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.processor.close()
}

// terminate sends the notice to drain, and SIGKILL when the time after it is over.
func (n *node) terminate(killAfter time.Duration) {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(killAfter):
	}
	n.kill()
}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// holdSocket opens the callers' listening socket, which the platform holds.
func (s *site) holdSocket() (address string, socket *os.File, err error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", nil, err
	}
	s.onClose(func() { _ = l.Close() })
	socket, err = l.(*net.TCPListener).File()
	if err != nil {
		return "", nil, err
	}
	s.onClose(func() { _ = socket.Close() })
	return l.Addr().String(), socket, nil
}
