package faultsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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
	config["ledger"], config["announce"] = n.LedgerRelay.Addr(), n.AnnounceRelay.Addr()
	maps.Copy(config, changes)
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return p.writeConfigText(string(text))
}

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
		told := false
		for s := bufio.NewScanner(stderr); s.Scan(); {
			p.node.logged(s.Text())
			if !told && strings.Contains(s.Text(), "event=listening") {
				told = true
				close(listening)
				if p.node.LogSink != LogRead {
					break
				}
			}
		}
		if p.node.LogSink == LogClosed {
			_ = stderr.Close() // it was opened here
		}
		if p.node.LogSink != LogRead { // Wait closes the pipe
			_, _ = cmd.Process.Wait() // it tells how it ended, which nobody asks for here
		}
		err := cmd.Wait()
		p.mu.Lock()
		p.ended = err
		p.mu.Unlock()
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

// signal sends a signal. A process that has ended takes none.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("faultsoak: %s: %w", p.node.Name, err)
	}
	return nil
}

// done is closed when the process has ended.
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

// stop sends SIGTERM, and SIGKILL when the platform may send it at the earliest. It
// reports whether the process ended by itself.
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
