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

// listeningEvent is in the line that a process logs once it listens.
const listeningEvent = "event=listening"

// startTimeout bounds the wait for a process to say that it listens.
const startTimeout = 20 * time.Second

// process is one process of a node, with what belongs to it alone: its processor, which
// numbers notices for it, its address for operators' calls and its configuration file.
type process struct {
	node    *Node
	control string
	faults  string // address of the fault layer; "" without one
	config  string // path of the configuration

	processor *fakes.Processor
	relay     *Relay

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  error
}

// newProcess starts the processor of a process that is still to be launched.
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

// lastHost numbers the loopback addresses that were given to processes.
var lastHost atomic.Uint32

// freeAddress finds an address on loopback that a process may listen on, now and after a
// restart. Its host is no other's, so that no connection gets its port meanwhile.
func freeAddress() (string, error) {
	const hosts = 250 // in the last byte
	n := lastHost.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%hosts, 1+n/hosts%hosts, 1+n%hosts)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("faultsoak: %w", err)
	}
	defer func() { _ = listener.Close() }() // the process takes the port
	return listener.Addr().String(), nil
}

// closeFakes closes the processor and its relay.
func (p *process) closeFakes() {
	p.relay.Close()
	p.processor.Close()
}

// writeConfig writes the configuration file with changes of its top level.
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

// writeConfigText replaces the configuration file as a whole: a reader never sees a part.
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

// command makes the process's command line and environment. SIGHUP is ignored until the
// program asks for it, as the deploy file's line run has it.
func (p *process) command() *exec.Cmd {
	n := p.node
	args := append([]string{"-c", `trap '' HUP; exec "$0" "$@"`, n.Binary}, n.Args...)
	if n.Keys {
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

// launch starts the process, anew after it has ended, and returns once it listens.
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
		_, _ = unix.FcntlInt(pipe.Fd(), unix.F_SETPIPE_SZ, smallPipe) // else it only holds more
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
		return fmt.Errorf("%w in %v: %s", ErrNotStarted, startTimeout, p.node.Name)
	}
}

// readLog keeps the lines that the process logs, and closes listening once it listens. It
// returns at the end of the log, or then already if the log is not to be read any further.
func (p *process) readLog(stderr io.Reader, listening chan<- struct{}) {
	told := false
	for s := bufio.NewScanner(stderr); s.Scan(); {
		p.node.logged(s.Text())
		if !told && strings.Contains(s.Text(), listeningEvent) {
			told = true
			close(listening)
			if p.node.LogSink != LogRead {
				return
			}
		}
	}
}

// awaitExit waits until the process has ended, and keeps how.
func (p *process) awaitExit(cmd *exec.Cmd, stderr io.Closer) {
	if p.node.LogSink == LogClosed {
		_ = stderr.Close() // it was opened here
	}
	if p.node.LogSink != LogRead { // cmd.Wait closes the pipe
		_, _ = cmd.Process.Wait() // how it ended is not asked for in these cases
	}
	err := cmd.Wait()
	p.mu.Lock()
	p.ended = err
	p.mu.Unlock()
}

// signal sends a signal. It fails for a process that has ended.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("faultsoak: %s: %w", p.node.Name, err)
	}
	return nil
}

// done returns a channel that is closed when the process has ended; nil before it is
// launched.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill ends the process at once, and waits for that.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // it may have ended already
	<-p.done()
}

// stop sends SIGTERM, and SIGKILL at LongestStop after it, when the platform may send it at
// the earliest. It reports whether the process ended before SIGKILL.
func (p *process) stop() (byItself bool, err error) {
	notice := time.Now()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-p.done():
		return true, nil
	case <-time.After(time.Until(notice.Add(LongestStop))):
		p.kill()
		return false, nil
	}
}
