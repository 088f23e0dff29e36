package faultsoak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/internal/fakes"
)

const (
	readyTimeout       = 6 * time.Second // for a new process to be ready to take over
	readyCheckInterval = 30 * time.Millisecond
)

// Errors returned by methods of Node.
var (
	ErrNotStarted = errors.New("faultsoak: the process did not start listening")
	ErrNotReady   = errors.New("faultsoak: the new process is not ready to take over")
)

// NodeConfig configures a node.
type NodeConfig struct {
	Name          string
	Binary        string         // path of the program
	Dir           string         // folder for the configuration file and the keys
	Config        map[string]any // the platform's configuration; addresses are filled in
	RunDuration   time.Duration  // duration of runs that neither fail nor hang
	Env           []string       // added to the inherited environment
	Args          []string
	Faults        bool // Binary was built by BuildWithFaults
	DurableKeys   bool // keys are stored in a folder and kept across restarts
	InheritSocket bool // processes inherit the listening socket and can take over from each other
	LogSink       LogSink
}

// LogSink determines what happens to a process's log pipe once the process listens.
type LogSink int

// The ways of treating the log pipe.
const (
	LogRead   LogSink = iota // the log is read and kept
	LogUnread                // the pipe stays open, but is no longer read
	LogClosed                // the reading end is closed
)

// Run is a run that the processor started.
type Run struct {
	Node string
	Body string
	At   time.Time
}

// Node is an app server with fakes of the services around it. It has one process of the
// program, or two during a handover. A process that has exited may be started again, with
// the same address.
type Node struct {
	NodeConfig

	Address    string
	Work       *fakes.Work
	Dependency *fakes.Dependency
	Discovery  *fakes.DiscoveryService
	// The relays are between the processes and the fakes.
	DependencyRelay, DiscoveryRelay *Relay

	listener  net.Listener // inherited by the processes; nil without InheritSocket
	socket    *os.File
	processes int // number of processes created

	mu      sync.Mutex
	current *process
	runs    []Run
	log     []string
}

// StartNode starts the fakes and the process. It returns when the process listens.
func StartNode(config NodeConfig) (*Node, error) {
	n := &Node{NodeConfig: config, Work: fakes.NewWork(config.RunDuration)}
	if err := n.start(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) start() error {
	if err := n.startFakes(); err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		return err
	}
	go n.recordRuns()
	first, err := n.newProcess()
	if err != nil {
		return err
	}
	n.current = first
	if err := first.writeConfig(nil); err != nil {
		return err
	}
	return n.Launch()
}

func (n *Node) startFakes() (err error) {
	const anyPort = "127.0.0.1:0"
	if n.Dependency, err = fakes.NewDependency(anyPort); err != nil {
		return err
	}
	if n.Discovery, err = fakes.NewDiscoveryService(anyPort); err != nil {
		return err
	}
	if n.DependencyRelay, err = NewRelay(n.Dependency.Addr()); err != nil {
		return err
	}
	n.DiscoveryRelay, err = NewRelay(n.Discovery.Addr())
	return err
}

// listen chooses the node's address, and with InheritSocket opens the socket that its
// processes inherit.
func (n *Node) listen() (err error) {
	if !n.InheritSocket {
		n.Address, err = freeAddress()
		return err
	}
	if n.listener, err = listenLoopback(); err != nil {
		return err
	}
	n.Address = n.listener.Addr().String()
	tcp, ok := n.listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("faultsoak: listener has type %T, want *net.TCPListener", n.listener)
	}
	if n.socket, err = tcp.File(); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// recordRuns records the runs that the processor starts. It discards the other events of
// the fakes, so that their channels don't fill up.
func (n *Node) recordRuns() {
	for {
		select {
		case body := <-n.Work.Started():
			n.mu.Lock()
			n.runs = append(n.runs, Run{Node: n.Name, Body: body, At: time.Now()})
			n.mu.Unlock()
		case <-n.Work.Stopped():
		case <-n.Dependency.Calls:
		case <-n.Dependency.Abandoned:
		case <-n.Discovery.Reports:
		}
	}
}

// Runs returns the runs that were started so far.
func (n *Node) Runs() []Run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Run(nil), n.runs...)
}

// Log returns the lines that the processes have logged so far.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log...)
}

func (n *Node) logged(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, line)
}

func (n *Node) lastLogged() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.log) == 0 {
		return ""
	}
	return n.log[len(n.log)-1]
}

// process returns the current process. During Upgrade this is the old process until the
// new one is ready.
func (n *Node) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// AwaitReady waits until the process can run requests. The sign for it is that the process
// has requested the gauges several times; see fakes.Processor.Up.
func (n *Node) AwaitReady() { <-n.process().processor.Up() }

// ProcessorRelay returns the relay between the current process and its processor.
func (n *Node) ProcessorRelay() *Relay { return n.process().relay }

// Control returns the address for operators' commands to the current process.
func (n *Node) Control() string { return n.process().control }

// FaultsAddress returns the address of the fault layer of the current process.
func (n *Node) FaultsAddress() string { return n.process().faults }

// WriteConfig writes the configuration file, with changes of top-level settings. The
// process reads it on SIGHUP.
func (n *Node) WriteConfig(changes map[string]any) error { return n.process().writeConfig(changes) }

// WriteConfigText replaces the content of the configuration file.
func (n *Node) WriteConfigText(text string) error { return n.process().writeConfigText(text) }

// Launch starts the process, or restarts it after it has exited. It returns when the
// process listens.
func (n *Node) Launch() error { return n.process().launch() }

// Signal sends a signal to the current process. It returns an error if the process has
// exited.
func (n *Node) Signal(s syscall.Signal) error { return n.process().signal(s) }

// Exited returns a channel that is closed when the current process has exited.
func (n *Node) Exited() <-chan struct{} { return n.process().done() }

// ExitError returns the result of waiting for the current process: nil for exit code 0, or
// if it has not exited yet.
func (n *Node) ExitError() error {
	p := n.process()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Kill sends SIGKILL to the current process and waits until it has exited.
func (n *Node) Kill() { n.process().kill() }

// Upgrade starts a new process that takes over from the current one. As the platform does,
// Upgrade stops the old process when the new one is ready, and returns when the old process
// has exited. If the new process does not listen or is not ready in time, Upgrade kills the
// new process and returns ErrNotReady.
func (n *Node) Upgrade() error {
	old := n.process()
	next, err := n.newProcess()
	if err != nil {
		return err
	}
	if err := next.writeConfig(nil); err != nil {
		next.closeFakes()
		return err
	}
	if err := next.launch(); err != nil || !next.awaitReady() {
		next.kill()
		next.closeFakes()
		return errors.Join(ErrNotReady, err)
	}
	n.mu.Lock()
	n.current = next
	n.mu.Unlock()
	_, err = old.stop()
	old.closeFakes()
	return err
}

// awaitReady polls the process until it reports that it can serve, for at most readyTimeout.
func (p *process) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyCheckInterval) {
		if callOperatorPort(p.control, "check") {
			return true
		}
	}
	return false
}

// Close kills the process and closes the fakes.
func (n *Node) Close() {
	if p := n.process(); p != nil {
		if p.done() != nil {
			p.kill()
		}
		p.closeFakes()
	}
	for _, relay := range []*Relay{n.DependencyRelay, n.DiscoveryRelay} {
		if relay != nil {
			relay.Close()
		}
	}
	if n.Dependency != nil {
		n.Dependency.Close()
	}
	if n.Discovery != nil {
		n.Discovery.Close()
	}
	if n.socket != nil {
		_ = n.socket.Close()
	}
	if n.listener != nil {
		_ = n.listener.Close()
	}
}
