package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	killDelay   = 3700 * time.Millisecond // from SIGTERM to SIGKILL in an upgrade
	stopMS      = 3200
	readyWithin = 6 * time.Second // a new process's yes
)

// settings are those of a small deployment of gava-norr, in the form of the WIRE page.
func settings() map[string]any {
	class := func(name string, gain float64, goal, limit int, late float64, semantics string, window int) map[string]any {
		return map[string]any{
			"name": name, "gain": gain, "goalTimeUs": goal, "hardLimitUs": limit, "lateWorth": late,
			"semantics": semantics, "windowUs": window,
		}
	}
	return map[string]any{
		"az": 0, "callers": map[string]any{"marksRetry": false},
		"caps":   map[string]any{"cpuUsPerRequest": 0.0, "cpuUsPerS": 62821, "maxRetryAfterUs": 1000000, "retryAfter": true},
		"family": "server",
		"familyInfo": map[string]any{
			"callsByClass": []bool{true, false, true}, "callsOut": 60.0, "callsOverUs": 5000000, "cores": 6,
			"degradedWorth": []float64{0.6, 0, 0}, "dependsOn": "common", "freshUs": 0, "fullChecks": true,
			"heededUs": 1000000, "idleUs": 30000000, "justStarted": false, "keyKb": 0.5, "memoryKb": 65536.0,
			"ownStats": []string{"core_use", "on_cores", "heap_share", "links"}, "passesDeadline": false,
			"readiness": true, "runFactor": 16.0, "say": "silent", "senders": 3, "staysForUs": 200000,
			"stopMode": "drop", "tellsGone": true,
		},
		"lanes": []any{
			class(safeClass, 1, 2800000, 9200000, 0.2, "free", 5000000),
			class("givarhistorik", 2, 1700000, 4600000, 0, "free", 5000000),
			class(keyedClass, 3, 1800000, 6900000, 0.2, "guarded", 20706000),
		},
		"loadReport": map[string]any{"fields": []string{"latency_ms", "inflight", "queue"}, "via": "piggyback"},
		"obligations": map[string]any{
			"answerSlackUs": 60000, "coldFrom": 0.22, "coldUs": 18000000, "drainGraceUs": 2000000,
			"fallMultiple": 8.0, "overloadForUs": 1500000,
		},
		"ordinal": 0, "overShareWorth": 0.1,
		"prices":    map[string]any{"connection": 0.0, "handshake": 0.01, "lateFail": 0.05, "origin": 0.02, "waste": 0.054},
		"quantumUs": 4000, "realms": []any{},
		"scoreParts": map[string]any{"whole": 0.65, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.15},
		"servers":    3, "tier": 0, "tiers": []string{"gavoserver"}, "valueBy": "request",
		"zones": []string{"hall-sundsvall"},
	}
}

// platform is a stand-in of the platform around one app server. It holds the clients'
// listening socket, which every process inherits as descriptor 3.
type platform struct {
	root, dir string
	runLine   string // of the deploy file
	flags     string // added to the run line
	record    *record
	work      *work
	ledger    *ledger
	announce  *announceService
	listener  *net.TCPListener
	socket    *os.File
	address   string

	mu        sync.Mutex
	processes []*process
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

func newPlatform(root, dir string, rec *record, w *work) (*platform, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	found := runPattern.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	p := &platform{root: root, dir: dir, runLine: string(found[1]), record: rec, work: w}
	if p.ledger, err = newLedger(rec, time.Millisecond); err != nil {
		return nil, err
	}
	if p.announce, err = newAnnounceService(rec); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listener = l.(*net.TCPListener)
	p.address = l.Addr().String()
	p.socket, err = p.listener.File()
	return p, err
}

// process is a process of the app server, with its processor.
type process struct {
	name      string
	processor *processor
	control   string
	cmd       *exec.Cmd
	logPath   string
	exited    chan struct{}
	listening chan struct{}
}

// freeAddress returns an address that nothing listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a process by the run line of the deploy file.
func (p *platform) start(name string) (*process, error) {
	proc := &process{name: name, exited: make(chan struct{}), listening: make(chan struct{})}
	var err error
	if proc.processor, err = newProcessor(name, p.record, p.work); err != nil {
		return nil, err
	}
	if proc.control, err = freeAddress(); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": p.address, "processor": proc.processor.address(), "control": proc.control,
		"announce": p.announce.listener.Addr().String(), "ledger": p.ledger.listener.Addr().String(),
		"seed": hexID(8), "stop_ms": stopMS,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings(),
	})
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(p.dir, name+".json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	proc.logPath = filepath.Join(p.dir, name+".log")
	proc.cmd = exec.Command("/bin/sh", "-c", p.runLine+p.flags)
	proc.cmd.Dir = p.root
	proc.cmd.Env = append(os.Environ(), "GW_NAME=n1", "GW_LISTEN="+p.address, "GW_CONFIG="+configPath,
		"GW_CONTROL="+proc.control, "GW_FD=3", "TMPDIR="+p.dir)
	proc.cmd.ExtraFiles = []*os.File{p.socket}
	output, err := proc.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := proc.cmd.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.processes = append(p.processes, proc)
	p.mu.Unlock()
	p.record.line("platform: starts process %s (pid %d)", name, proc.cmd.Process.Pid)
	go func() {
		once := sync.Once{}
		for s := bufio.NewScanner(output); s.Scan(); {
			if strings.Contains(s.Text(), "event=listening") {
				once.Do(func() { close(proc.listening) })
			}
			p.record.line("log of %s: %s", name, s.Text())
		}
		_ = proc.cmd.Wait()
		p.record.line("platform: process %s has ended: %v", name, proc.cmd.ProcessState)
		close(proc.exited)
	}()
	return proc, nil
}

// signal sends a signal to a process.
func (p *platform) signal(proc *process, s syscall.Signal) {
	p.record.line("platform: signal %v to process %s", s, proc.name)
	_ = proc.cmd.Process.Signal(s)
}

// check asks a process at its control address whether it is ready.
func (proc *process) check() bool {
	conn, err := net.DialTimeout("tcp", proc.control, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "check\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "done")
}

// awaitYes waits for a process's yes.
func (p *platform) awaitYes(proc *process) error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if proc.check() {
			p.record.line("platform: process %s says yes", proc.name)
			return nil
		}
		if proc.hasExited() {
			break
		}
	}
	return fmt.Errorf("process %s did not say yes", proc.name)
}

func (proc *process) hasExited() bool {
	select {
	case <-proc.exited:
		return true
	default:
		return false
	}
}

// retire stops the old process of an upgrade: SIGTERM, and SIGKILL after killDelay.
func (p *platform) retire(proc *process) {
	p.signal(proc, syscall.SIGTERM)
	go func() {
		select {
		case <-proc.exited:
		case <-time.After(killDelay):
			p.signal(proc, syscall.SIGKILL)
		}
	}()
}

// upgrade starts a process, waits for its yes, and retires the old one, if there is any.
func (p *platform) upgrade(name string, old *process) (*process, error) {
	next, err := p.start(name)
	if err != nil {
		return nil, err
	}
	close(next.processor.up)
	if err := p.awaitYes(next); err != nil {
		return nil, err
	}
	if old != nil {
		p.retire(old)
	}
	return next, nil
}

// awaitExit waits for the end of a process that was told to end.
func (p *platform) awaitExit(proc *process) error {
	select {
	case <-proc.exited:
		return nil
	case <-time.After(killDelay + time.Second):
		return fmt.Errorf("process %s did not end", proc.name)
	}
}

// close kills all processes and waits for their end.
func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.processes {
		if !proc.hasExited() {
			_ = proc.cmd.Process.Kill()
			<-proc.exited
		}
		proc.processor.close()
	}
	_ = p.listener.Close()
	_ = p.socket.Close()
}

// runs returns the runs of all processors.
func (p *platform) runs() []*run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []*run
	for _, proc := range p.processes {
		runs = append(runs, proc.processor.begun()...)
	}
	return runs
}
