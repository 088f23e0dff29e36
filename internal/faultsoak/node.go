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
	readyTimeout       = 6 * time.Second // for the process that takes over to be ready
	readyCheckInterval = 30 * time.Millisecond
)

// Errors of nodes.
var (
	ErrNotStarted = errors.New("faultsoak: the process ended before it listened")
	ErrNotReady   = errors.New("faultsoak: the process that takes over is not ready")
)

// NodeConfig is what a node is made of.
type NodeConfig struct {
	Name    string
	Binary  string         // path of the program
	Dir     string         // where its configuration is written
	Config  map[string]any // the platform's configuration; addresses are filled in
	Took    time.Duration  // of a run, for bodies that name no other
	Env     []string       // of the process, beside the test's own
	Args    []string
	Faults  bool // Binary is of a build with faults
	Keys    bool // its keys outlive the process, in a folder of its own
	Inherit bool // its processes inherit the listening socket, and take over from each other
	LogSink LogSink
}

// LogSink says what becomes of a process's log once it listens.
type LogSink int

// The sinks.
const (
	LogRead   LogSink = iota // it is read and kept
	LogUnread                // its pipe stays open, but nobody reads it any more
	LogClosed                // its pipe has no reader any more
)

// Run is a run that the processor began.
type Run struct {
	Node string
	Body string
	At   time.Time
}

// Node is one app server among fakes: a process of the program, or two while one takes
// over. A process that has ended may be started again, with the same address.
type Node struct {
	NodeConfig

	Address    string
	Work       *fakes.Work
	Dependency *fakes.Dependency
	Discovery  *fakes.DiscoveryService
	// Relays stand between the processes and the fakes.
	DependencyRelay, DiscoveryRelay *Relay

	listener  net.Listener // that processes inherit; nil else
	socket    *os.File
	processes int // made so far

	mu      sync.Mutex
	current *process
	runs    []Run
	log     []string
}

// StartNode starts the fakes and the process.
func StartNode(config NodeConfig) (*Node, error) {
	n := &Node{NodeConfig: config, Work: fakes.NewWork(config.Took)}
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

// listen finds the node's address, and opens the socket that its processes inherit.
func (n *Node) listen() (err error) {
	if !n.Inherit {
		n.Address, err = freeAddress()
		return err
	}
	if n.listener, err = listenAnywhere(); err != nil {
		return err
	}
	n.Address = n.listener.Addr().String()
	tcp, ok := n.listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("faultsoak: a listener of type %T", n.listener)
	}
	if n.socket, err = tcp.File(); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// recordRuns keeps what the processor begins, and drains what the fakes tell.
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

// Runs returns the runs that were begun so far.
func (n *Node) Runs() []Run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Run(nil), n.runs...)
}

// Log returns the lines that the processes logged so far.
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

// process returns the process that serves: the successor from when Upgrade has found it ready.
func (n *Node) process() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// Ready waits until the processor is asked for its gauges: requests are run.
func (n *Node) Ready() { <-n.process().processor.Up() }

// ProcessorRelay returns the relay between the process that serves and its processor.
func (n *Node) ProcessorRelay() *Relay { return n.process().relay }

// Control returns the address at which operators call the process that serves.
func (n *Node) Control() string { return n.process().control }

// FaultsAddress returns the address of the fault layer of the process that serves.
func (n *Node) FaultsAddress() string { return n.process().faults }

// WriteConfig writes the configuration file with changes of its top level. The
// process takes it over at SIGHUP.
func (n *Node) WriteConfig(changes map[string]any) error { return n.process().writeConfig(changes) }

// WriteConfigText replaces the configuration file whole.
func (n *Node) WriteConfigText(text string) error { return n.process().writeConfigText(text) }

// Launch starts the process, anew after it has ended, and returns once it listens.
func (n *Node) Launch() error { return n.process().launch() }

// Signal sends a signal to the process. One that has ended takes none.
func (n *Node) Signal(s syscall.Signal) error { return n.process().signal(s) }

// Exited returns a channel that is closed when the process that serves has ended.
func (n *Node) Exited() <-chan struct{} { return n.process().done() }

// Ended returns how the last process ended: nil for exit code 0.
func (n *Node) Ended() error {
	p := n.process()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Kill ends the process at once, and waits for that.
func (n *Node) Kill() { n.process().kill() }

// Upgrade has a new process take over from the one at work, as the platform does: the
// old one is told to stop once the new one is ready. It returns when the old one has
// ended. Where the new one does not get ready in time, it is ended, and ErrNotReady
// returned.
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

// awaitReady waits until the process says that it can serve.
func (p *process) awaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyCheckInterval) {
		if callOperators(p.control, "check") {
			return true
		}
	}
	return false
}

// Close ends the process and the fakes.
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
