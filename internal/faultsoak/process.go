package faultsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quincerail.example/quincerail/internal/fakes"
)

// listeningEvent occurs in the line that a process logs when it listens.
const listeningEvent = "event=listening"

// startTimeout limits the wait for a process to log that it listens.
const startTimeout = 20 * time.Second

// process is one process of a node. It has its own processor, as the processor numbers
// notices for each process, its own address for operators' commands and its own
// configuration file.
type process struct {
	node    *Node
	control string
	faults  string // address of the fault layer; "" if the build has none
	config  string // path of the configuration file

	processor *fakes.Processor
	relay     *Relay

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// newProcess makes a process and starts its processor and relay. launch starts the process
// itself.
func (n *Node) newProcess() (*process, error) {
	processor, err := fakes.NewProcessor("127.0.0.1:0", n.Work)
	if err != nil {
		return nil, fmt.Errorf("faultsoak: %w", err)
	}
	n.processes++
	p := &process{node: n, processor: processor, config: filepath.Join(n.Dir, fmt.Sprintf("%s-%d.json", n.Name, n.processes))}
	if p.relay, err = NewRelay(processor.Addr()); err != nil {
		processor.Close()
		return nil, err
	}
	addresses := []*string{&p.control}
	if n.Faults {
		addresses = append(addresses, &p.faults)
	}
	for _, address := range addresses {
		if *address, err = freeAddress(); err != nil {
			p.closeFakes()
			return nil, err
		}
	}
	return p, nil
}

// lastHost is the number of the last loopback host that freeAddress chose.
var lastHost atomic.Uint32

// freeAddress returns a free loopback address for a process to listen on, now and after a
// restart. Each address has a host of its own, so that no outgoing connection takes the
// port in between.
func freeAddress() (string, error) {
	const hosts = 250 // values of each byte that varies
	n := lastHost.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%hosts, 1+n/hosts%hosts, 1+n%hosts)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("faultsoak: %w", err)
	}
	defer func() { _ = listener.Close() }() // the process listens on the port
	return listener.Addr().String(), nil
}

// closeFakes closes the processor and its relay.
func (p *process) closeFakes() {
	p.relay.Close()
	p.processor.Close()
}

// writeConfig writes the configuration file, with changes of top-level settings.
func (p *process) writeConfig(changes map[string]any) error {
	n := p.node
	config := maps.Clone(n.Config)
	config["name"], config["listen"], config["control"] = n.Name, n.Address, p.control
	config["processor"] = p.relay.Addr()
	config["ledger"], config["announce"] = n.DependencyRelay.Addr(), n.DiscoveryRelay.Addr()
	maps.Copy(config, changes)
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return p.writeConfigText(string(text))
}

// writeConfigText replaces the configuration file atomically, by a rename.
func (p *process) writeConfigText(text string) error {
	next := p.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if err := os.Rename(next, p.config); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// command returns the process's command line and environment. SIGHUP is ignored until the
// program handles it, as with the run line of the deploy file.
func (p *process) command() *exec.Cmd {
	n := p.node
	args := append([]string{"-c", `trap '' HUP; exec "$0" "$@"`, n.Binary}, n.Args...)
	if n.DurableKeys {
		args = append(args, "--keys", filepath.Join(n.Dir, "keys"))
	}
	cmd := exec.CommandContext(context.Background(), "/bin/sh", args...)
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+p.config, "QUINCERAIL_FAULTS="+p.faults), n.Env...)
	if n.socket != nil {
		cmd.ExtraFiles = []*os.File{n.socket}
		cmd.Env = append(cmd.Env, "GW_FD=3", "TMPDIR="+n.Dir)
	}
	return cmd
}

// launch starts the process, or restarts it after it has exited. It returns when the
// process listens.
func (p *process) launch() error {
	cmd := p.command()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if pipe, ok := stderr.(*os.File); ok && p.node.LogSink != LogRead {
		const smallPipe = 4096
		_, _ = unix.FcntlInt(pipe.Fd(), unix.F_SETPIPE_SZ, smallPipe) // if it fails, the pipe only has a larger capacity
	}
	listening, exited := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		defer close(exited)
		p.readLog(stderr, listening)
		p.awaitExit(cmd, stderr)
	}()
	select {
	case <-listening:
		return nil
	case <-exited:
		return fmt.Errorf("%w: %s: %s", ErrNotStarted, p.node.Name, p.node.lastLogged())
	case <-time.After(startTimeout):
		return fmt.Errorf("%w within %v: %s", ErrNotStarted, startTimeout, p.node.Name)
	}
}

// readLog records the lines that the process logs, and closes listening when the process
// listens. It returns at the end of the log, or when the process listens unless LogSink is
// LogRead.
func (p *process) readLog(stderr io.Reader, listening chan<- struct{}) {
	listens := false
	for s := bufio.NewScanner(stderr); s.Scan(); {
		p.node.logged(s.Text())
		if !listens && strings.Contains(s.Text(), listeningEvent) {
			listens = true
			close(listening)
			if p.node.LogSink != LogRead {
				return
			}
		}
	}
}

// awaitExit waits until the process has exited, and records the result.
func (p *process) awaitExit(cmd *exec.Cmd, stderr io.Closer) {
	if p.node.LogSink == LogClosed {
		_ = stderr.Close() // an error leaves nothing to clean up
	}
	if p.node.LogSink != LogRead { // cmd.Wait would close the pipe while the process runs
		_, _ = cmd.Process.Wait() // the exit status is not used with these sinks
	}
	err := cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
}

// signal sends a signal. It returns an error if the process has exited.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("faultsoak: %s: %w", p.node.Name, err)
	}
	return nil
}

// done returns a channel that is closed when the process has exited. The channel is nil
// before the first launch.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // an error means that it has exited
	<-p.done()
}

// stop sends SIGTERM, and SIGKILL if the process still runs after MinKillDelay, the earliest
// time at which the platform may send it. It reports whether the process exited before
// SIGKILL.
func (p *process) stop() (exitedInTime bool, err error) {
	sigtermAt := time.Now()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-p.done():
		return true, nil
	case <-time.After(time.Until(sigtermAt.Add(MinKillDelay))):
		p.kill()
		return false, nil
	}
}
