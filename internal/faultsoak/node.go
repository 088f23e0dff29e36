package faultsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"quincerail.example/quincerail/internal/standin"
)

// startTimeout bounds the wait for a process to say that it listens.
const startTimeout = 20 * time.Second

// ErrNotStarted is given for a process that ended before it listened.
var ErrNotStarted = errors.New("faultsoak: the process ended before it listened")

// NodeConfig is what a node is made of.
type NodeConfig struct {
	Name   string
	Binary string         // path of the program
	Dir    string         // where its configuration is written
	Config map[string]any // the platform's configuration; addresses are filled in
	Took   time.Duration  // of a run, for bodies that name no other
	Env    []string       // of the process, beside the test's own
	Args   []string
	Faults bool // Binary is of a build with faults
}

// Run is a run that the processor began.
type Run struct {
	Node string
	Body string
	At   time.Time
}

// Node is one process of the program among fakes. A process that has ended may be
// started again, with the same address.
type Node struct {
	NodeConfig

	Address, Control string
	FaultsAddress    string // of the fault layer; "" without one
	Work             *standin.Work
	Processor        *standin.Processor
	Ledger           *standin.Ledger
	Announce         *standin.Announce
	// Relays stand between the process and the fakes.
	ProcessorRelay, LedgerRelay, AnnounceRelay *Relay

	config string // path of the configuration

	mu     sync.Mutex
	runs   []Run
	log    []string
	cmd    *exec.Cmd
	exited chan struct{}
	ended  error // how the last process ended
}

// StartNode starts the fakes and the process.
func StartNode(config NodeConfig) (*Node, error) {
	n := &Node{NodeConfig: config, Work: standin.NewWork(config.Took)}
	if err := n.startFakes(); err != nil {
		n.Close()
		return nil, err
	}
	addresses := []*string{&n.Address, &n.Control}
	if config.Faults {
		addresses = append(addresses, &n.FaultsAddress)
	}
	for _, address := range addresses {
		listener, err := listenAnywhere()
		if err != nil {
			n.Close()
			return nil, err
		}
		*address = listener.Addr().String()
		_ = listener.Close() // the process takes the port
	}
	go n.recordRuns()
	n.config = filepath.Join(config.Dir, config.Name+".json")
	if err := n.WriteConfig(nil); err != nil {
		n.Close()
		return nil, err
	}
	if err := n.Launch(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) startFakes() (err error) {
	const anyPort = "127.0.0.1:0"
	if n.Processor, err = standin.NewProcessor(anyPort, n.Work); err != nil {
		return err
	}
	if n.Ledger, err = standin.NewLedger(anyPort); err != nil {
		return err
	}
	if n.Announce, err = standin.NewAnnounce(anyPort); err != nil {
		return err
	}
	if n.ProcessorRelay, err = NewRelay(n.Processor.Addr()); err != nil {
		return err
	}
	if n.LedgerRelay, err = NewRelay(n.Ledger.Addr()); err != nil {
		return err
	}
	n.AnnounceRelay, err = NewRelay(n.Announce.Addr())
	return err
}

// recordRuns keeps what the processor begins, and drains what the fakes tell.
func (n *Node) recordRuns() {
	for {
		select {
		case body := <-n.Work.Begun():
			n.mu.Lock()
			n.runs = append(n.runs, Run{Node: n.Name, Body: body, At: time.Now()})
			n.mu.Unlock()
		case <-n.Work.Stopped():
		case <-n.Ledger.Calls:
		case <-n.Ledger.Given:
		case <-n.Announce.Reports:
		}
	}
}

// Runs gives the runs that were begun so far.
func (n *Node) Runs() []Run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Run(nil), n.runs...)
}

// Log gives the lines that the process logged so far.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log...)
}

// WriteConfig writes the configuration file with changes of its top level. The
// process takes it over at SIGHUP.
func (n *Node) WriteConfig(changes map[string]any) error {
	config := maps.Clone(n.Config)
	config["name"], config["listen"], config["control"] = n.Name, n.Address, n.Control
	config["processor"] = n.ProcessorRelay.Addr()
	config["ledger"], config["announce"] = n.LedgerRelay.Addr(), n.AnnounceRelay.Addr()
	maps.Copy(config, changes)
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return n.WriteConfigText(string(text))
}

// WriteConfigText replaces the configuration file whole.
func (n *Node) WriteConfigText(text string) error {
	next := n.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if err := os.Rename(next, n.config); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	return nil
}

// Launch starts the process, anew after it has ended, and returns once it listens.
func (n *Node) Launch() error {
	cmd := exec.CommandContext(context.Background(), n.Binary, n.Args...)
	cmd.Env = append(append(os.Environ(), "GW_CONFIG="+n.config, "QUINCERAIL_FAULTS="+n.FaultsAddress), n.Env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("faultsoak: %w", err)
	}
	listening, exited := make(chan struct{}), make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		defer close(exited)
		told := false
		for s := bufio.NewScanner(stderr); s.Scan(); {
			n.mu.Lock()
			n.log = append(n.log, s.Text())
			n.mu.Unlock()
			if !told && strings.Contains(s.Text(), "event=listening") {
				told = true
				close(listening)
			}
		}
		err := cmd.Wait()
		n.mu.Lock()
		n.ended = err
		n.mu.Unlock()
	}()
	select {
	case <-listening:
		return nil
	case <-exited:
		return fmt.Errorf("%w: %s: %v", ErrNotStarted, n.Name, n.Log())
	case <-time.After(startTimeout):
		return fmt.Errorf("%w in %v: %s", ErrNotStarted, startTimeout, n.Name)
	}
}

// Signal sends a signal to the process. One that has ended takes none.
func (n *Node) Signal(s syscall.Signal) error {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if err := cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("faultsoak: %s: %w", n.Name, err)
	}
	return nil
}

// Exited is closed when the present process has ended.
func (n *Node) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// Ended gives how the last process ended: nil for exit code 0.
func (n *Node) Ended() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// Kill ends the process at once, and waits for that.
func (n *Node) Kill() {
	_ = n.Signal(syscall.SIGKILL) // it may have ended already
	<-n.Exited()
}

// Close ends the process and the fakes.
func (n *Node) Close() {
	if n.cmd != nil {
		n.Kill()
	}
	for _, relay := range []*Relay{n.ProcessorRelay, n.LedgerRelay, n.AnnounceRelay} {
		if relay != nil {
			relay.Close()
		}
	}
	if n.Processor != nil {
		n.Processor.Close()
	}
	if n.Ledger != nil {
		n.Ledger.Close()
	}
	if n.Announce != nil {
		n.Announce.Close()
	}
}
