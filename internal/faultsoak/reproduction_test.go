package faultsoak

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/fleettest"
)

var builtProgram string

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m, &builtProgram)) }

const connectionCount = 16 // opened by dialMany

// testNode is a node with a history, for a test that injects its own faults.
type testNode struct {
	*testing.T
	node    *Node
	history History
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	return newTestNodeWithRunDuration(t, 5*time.Millisecond)
}

// newTestNodeWithRunDuration starts a node whose runs take the duration took.
func newTestNodeWithRunDuration(t *testing.T, took time.Duration) *testNode {
	t.Helper()
	return newTestNodeFrom(t, NodeConfig{Binary: builtProgram, RunDuration: took})
}

// newTestNodeFrom starts a node, by default with the configuration of DefaultConfig.
func newTestNodeFrom(t *testing.T, config NodeConfig) *testNode {
	t.Helper()
	config.Name, config.Dir = "n1", t.TempDir()
	if config.Config == nil {
		config.Config = defaultConfig(t)
	}
	n, err := StartNode(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	n.AwaitReady()
	return &testNode{T: t, node: n}
}

func defaultConfig(t *testing.T) map[string]any {
	t.Helper()
	config, err := DefaultConfig()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func (b *testNode) dial() *Client {
	b.Helper()
	c, err := Dial(&b.history, b.node.Name, b.node.Address)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// send sends a request, by default of the safe class. It logs an error, as the node may have
// closed the connection.
func (b *testNode) send(c *Client, spec RequestSpec) {
	b.Helper()
	if spec.Class == "" {
		spec.Class, spec.Deadline = SafeClass, SafeDeadline
	}
	if _, err := c.Send(spec); err != nil {
		b.Logf("%s: %v", spec.Body, err)
	}
}

func (b *testNode) signal(s syscall.Signal) time.Time {
	b.Helper()
	if err := b.node.Signal(s); err != nil {
		b.Fatal(err)
	}
	return time.Now()
}

// pause stops the process for d, and calls f while it is stopped.
func (b *testNode) pause(d time.Duration, f func()) {
	b.Helper()
	at := b.signal(syscall.SIGSTOP)
	f()
	time.Sleep(time.Until(at.Add(d)))
	b.history.Add(Event{Node: b.node.Name, Kind: Paused, At: at, Until: b.signal(syscall.SIGCONT)})
}

// checkRules fails the test for each violation of a rule.
func (b *testNode) checkRules() Report {
	b.Helper()
	report := Check(&b.history, b.node.Runs(), DefaultRuleSettings)
	for _, v := range report.Violations {
		b.Error(v)
	}
	b.Logf("outcomes %v, crossed a close %d, excused %d", report.Outcomes, report.Crossed, report.Excused)
	return report
}

// checkAllAnswered fails the test for each violation of a rule, and if the number of answers
// differs from the number of connections of dialMany. This is stricter than the rules: they
// need no answer if the node closes the connection while the request is written.
func (b *testNode) checkAllAnswered() {
	b.Helper()
	if n := countAnswers(b.checkRules()); n != connectionCount {
		b.Errorf("clients received %d answers, want %d", n, connectionCount)
	}
}

// writeEvenly returns a RequestSpec.Write that writes a message in equal pieces with equal
// pauses, which add up to the duration over.
func writeEvenly(pieces int, over time.Duration) func(write func([]byte) error, message []byte) error {
	return func(write func([]byte) error, message []byte) error {
		for i := range pieces {
			if err := write(message[len(message)*i/pieces : len(message)*(i+1)/pieces]); err != nil {
				return err
			}
			if i < pieces-1 {
				time.Sleep(over / time.Duration(pieces-1))
			}
		}
		return nil
	}
}

// awaitAnswers waits until each connection has its answers or is closed.
func awaitAnswers(clients []*Client) {
	for _, c := range clients {
		c.AwaitAnswers()
	}
}

// dialMany opens connectionCount connections.
func (b *testNode) dialMany() (clients []*Client) {
	b.Helper()
	for range connectionCount {
		clients = append(clients, b.dial())
	}
	return clients
}

// sendAll starts to send a request on each connection, in pieces, and returns a function
// that waits until all requests are written.
func (b *testNode) sendAll(clients []*Client, pieces int, over time.Duration) (written func()) {
	done := make(chan struct{})
	for i, c := range clients {
		go func() {
			b.send(c, RequestSpec{Body: fmt.Sprint("request ", i), Write: writeEvenly(pieces, over)})
			done <- struct{}{}
		}()
	}
	return func() {
		for range clients {
			<-done
		}
	}
}

// A request whose last byte was written to an open connection must be answered, even if the
// process is paused while it arrives, its client writes slowly, or the node is short of
// connections and closes idle ones.
func TestConnection_AnswersCompletelyWrittenRequests(t *testing.T) {
	t.Run("first request arrives while the process is paused", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		clients := b.dialMany()
		time.Sleep(900 * time.Millisecond)
		b.pause(2600*time.Millisecond, func() { b.sendAll(clients, 1, 0)() })
		awaitAnswers(clients)
		b.checkAllAnswered()
	})
	t.Run("second half arrives while the process is paused", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		clients := b.dialMany()
		written := b.sendAll(clients, 2, 1500*time.Millisecond)
		time.Sleep(time.Second)
		b.pause(2600*time.Millisecond, written)
		awaitAnswers(clients)
		b.checkAllAnswered()
	})
	t.Run("client writes slowly", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		clients := b.dialMany()
		b.sendAll(clients, 24, 2400*time.Millisecond)()
		awaitAnswers(clients)
		b.checkAllAnswered()
	})
	t.Run("connections are scarce", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t) // limited to 256 sockets
		clients := b.dialMany()
		written := b.sendAll(clients, 6, time.Second)
		for range 140 {
			b.dial()
			time.Sleep(2 * time.Millisecond)
		}
		written()
		awaitAnswers(clients)
		b.checkAllAnswered()
	})
}

// The grace of a drain counts from SIGTERM. Requests that arrive after it must not run, and
// earlier ones must be answered, even if the process is paused at SIGTERM or at the end of
// the grace, or if the field door of a later request is a time within the grace.
func TestDrain_RunsNoRequestThatArrivesAfterGrace(t *testing.T) {
	t.Run("process is paused at SIGTERM", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		c := b.dial()
		b.send(c, RequestSpec{Body: "before"})
		c.AwaitAnswers()
		var sigtermAt time.Time
		b.pause(800*time.Millisecond, func() { sigtermAt = b.signal(syscall.SIGTERM) })
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
		time.Sleep(time.Until(sigtermAt.Add(drainGrace + 100*time.Millisecond)))
		for i := range 20 {
			b.send(c, RequestSpec{Body: fmt.Sprint("after the grace ", i)})
			time.Sleep(30 * time.Millisecond)
		}
		c.AwaitAnswers()
		b.checkRules()
	})
	t.Run("field door is within the grace", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		c := b.dial()
		b.send(c, RequestSpec{Body: "before"})
		c.AwaitAnswers()
		sigtermAt := b.signal(syscall.SIGTERM)
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
		time.Sleep(time.Until(sigtermAt.Add(drainGrace + 100*time.Millisecond)))
		for i := range 5 {
			b.send(c, RequestSpec{Body: fmt.Sprint("early door ", i), ArrivalOffset: 600 * time.Millisecond})
			time.Sleep(30 * time.Millisecond)
		}
		c.AwaitAnswers()
		b.checkRules()
	})
	t.Run("connections wait in the accept queue when the grace ends", func(t *testing.T) {
		t.Parallel()
		b := newTestNode(t)
		sigtermAt := b.signal(syscall.SIGTERM)
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
		time.Sleep(time.Until(sigtermAt.Add(drainGrace - 100*time.Millisecond)))
		var clients []*Client
		b.pause(500*time.Millisecond, func() {
			for i := range 16 {
				c := b.dial()
				clients = append(clients, c)
				b.send(c, RequestSpec{Body: fmt.Sprint("queued ", i)})
			}
		})
		awaitAnswers(clients)
		b.checkRules()
	})
}

// The connection to the processor stops transferring data without a reset. The node must
// open a new one and serve requests again within a few seconds.
func TestProcessorConnection_SilentConnectionIsReplaced(t *testing.T) {
	b := newTestNode(t)
	c := b.dial()
	b.send(c, RequestSpec{Body: "before"})
	c.AwaitAnswers()
	b.node.ProcessorRelay().Blackhole()
	time.Sleep(4 * time.Second)
	c = b.dial()
	for i := range 5 {
		b.send(c, RequestSpec{Body: fmt.Sprint("after ", i)})
		c.AwaitAnswers()
	}
	if served := b.checkRules().Outcomes["served"]; served != 6 {
		t.Errorf("%d requests were served before and after the connection went silent, want 6", served)
	}
}

// A node gets SIGTERM and is paused past the end of the grace, while more silent connections
// arrive than it can hold, so that some wait in the accept queue. It must answer the requests
// on the connections that are queued after the silent ones.
func TestDrain_AnswersRequestsQueuedAfterSilentConnections(t *testing.T) {
	b := newTestNode(t)
	sigtermAt := b.signal(syscall.SIGTERM)
	b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
	var clients []*Client
	b.pause(drainGrace+100*time.Millisecond, func() {
		for range crowdSize + 50 {
			b.dial()
		}
		clients = b.dialMany()
		b.sendAll(clients, 1, 0)()
	})
	awaitAnswers(clients)
	b.checkAllAnswered()
}

// SIGKILL comes at the earliest time that the platform allows, before stop_ms has passed.
// Requests written until shortly before must be answered by then, also on a connection whose
// client keeps sending.
func TestDrain_AnswersAllBeforeEarliestKill(t *testing.T) {
	for _, paused := range []time.Duration{0, 600 * time.Millisecond} {
		t.Run(fmt.Sprint("paused for ", paused), func(t *testing.T) {
			t.Parallel()
			b := newTestNode(t) // stop_ms is 6 s
			idle, busy := b.dial(), b.dial()
			b.send(idle, RequestSpec{Body: "idle"})
			idle.AwaitAnswers()
			var sigtermAt time.Time
			b.pause(paused, func() { sigtermAt = b.signal(syscall.SIGTERM) })
			b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
			kill := sigtermAt.Add(MinKillDelay)
			for i := 0; time.Now().Before(kill.Add(-20 * time.Millisecond)); i++ {
				if _, err := busy.Send(RequestSpec{Class: SafeClass, Deadline: SafeDeadline, Body: fmt.Sprint("hang late ", i)}); err != nil {
					break
				}
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(time.Until(kill))
			b.node.Kill()
			<-busy.Done()
			<-idle.Done()
			b.checkRules()
		})
	}
}
