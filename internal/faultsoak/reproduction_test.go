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

const connections = 16 // of a test of what connections lose

// bench is one node with a history, for a test that plays its faults by hand.
type bench struct {
	*testing.T
	node    *Node
	history History
}

func newBench(t *testing.T) *bench {
	t.Helper()
	return newBenchOf(t, 5*time.Millisecond)
}

// newBenchOf makes a bench whose runs take a time.
func newBenchOf(t *testing.T, took time.Duration) *bench {
	t.Helper()
	return newBenchWith(t, NodeConfig{Binary: builtProgram, Took: took})
}

// newBenchWith makes a bench whose node has the default configuration.
func newBenchWith(t *testing.T, config NodeConfig) *bench {
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
	n.Ready()
	return &bench{T: t, node: n}
}

func defaultConfig(t *testing.T) map[string]any {
	t.Helper()
	config, err := DefaultConfig()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func (b *bench) dial() *Client {
	b.Helper()
	c, err := Dial(&b.history, b.node.Name, b.node.Address)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// ask sends a request whose body names it.
func (b *bench) ask(c *Client, a Ask) {
	b.Helper()
	if a.Class == "" {
		a.Class, a.Deadline = SafeClass, SafeDeadline
	}
	if _, err := c.Send(a); err != nil {
		b.Logf("%s: %v", a.Body, err)
	}
}

func (b *bench) signal(s syscall.Signal) time.Time {
	b.Helper()
	if err := b.node.Signal(s); err != nil {
		b.Fatal(err)
	}
	return time.Now()
}

// pause has the process stand still while f is called, and for the rest of a time.
func (b *bench) pause(d time.Duration, f func()) {
	b.Helper()
	at := b.signal(syscall.SIGSTOP)
	f()
	time.Sleep(time.Until(at.Add(d)))
	b.history.Add(Event{Node: b.node.Name, Kind: Paused, At: at, Until: b.signal(syscall.SIGCONT)})
}

// verdict fails the test for each broken rule.
func (b *bench) verdict() Report {
	b.Helper()
	report := Check(&b.history, b.node.Runs(), DefaultTerms)
	for _, v := range report.Violations {
		b.Error(v)
	}
	b.Logf("outcomes %v, crossed a close %d, excused %d", report.Outcomes, report.Crossed, report.Excused)
	return report
}

// allAnswered fails the test for each broken rule, and if not each connection has had
// one answer: also where the node ended it while the request was written.
func (b *bench) allAnswered() {
	b.Helper()
	if n := answers(b.verdict()); n != connections {
		b.Errorf("%d answers to %d requests", n, connections)
	}
}

// inPieces writes a message evenly over a time.
func inPieces(pieces int, over time.Duration) func(write func([]byte) error, message []byte) error {
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

// await waits until all connections have their answers, or have ended.
func await(clients []*Client) {
	for _, c := range clients {
		c.AwaitAnswers()
	}
}

// dialMany opens the test's connections.
func (b *bench) dialMany() (clients []*Client) {
	b.Helper()
	for range connections {
		clients = append(clients, b.dial())
	}
	return clients
}

// askAll sends a request on each connection, in pieces, and returns a function that
// waits until all are written.
func (b *bench) askAll(clients []*Client, pieces int, over time.Duration) (written func()) {
	done := make(chan struct{})
	for i, c := range clients {
		go func() {
			b.ask(c, Ask{Body: fmt.Sprint("request ", i), Write: inPieces(pieces, over)})
			done <- struct{}{}
		}()
	}
	return func() {
		for range clients {
			<-done
		}
	}
}

// TestConnectionsKeepRequestsThatCameUnread: a request whose last byte was written to
// an open connection is answered, although the process stood still while it came, or
// its client took its time, or connections were scarce.
func TestConnectionsKeepRequestsThatCameUnread(t *testing.T) {
	t.Run("first request comes while the process stands still", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		clients := b.dialMany()
		time.Sleep(900 * time.Millisecond)
		b.pause(2600*time.Millisecond, func() { b.askAll(clients, 1, 0)() })
		await(clients)
		b.allAnswered()
	})
	t.Run("second half comes while the process stands still", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		clients := b.dialMany()
		written := b.askAll(clients, 2, 1500*time.Millisecond)
		time.Sleep(time.Second)
		b.pause(2600*time.Millisecond, written)
		await(clients)
		b.allAnswered()
	})
	t.Run("client writes slowly", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		clients := b.dialMany()
		b.askAll(clients, 24, 2400*time.Millisecond)()
		await(clients)
		b.allAnswered()
	})
	t.Run("connections are scarce", func(t *testing.T) {
		t.Parallel()
		b := newBench(t) // 256 descriptors
		clients := b.dialMany()
		written := b.askAll(clients, 6, time.Second)
		for range 140 {
			b.dial()
			time.Sleep(2 * time.Millisecond)
		}
		written()
		await(clients)
		b.allAnswered()
	})
}

// TestDrainCountsFromTheNotice: what comes after the grace of a drain is never run and
// what came is answered, although the process stood still as the notice or the end of
// the grace came, or a request's field door lies in the grace.
func TestDrainCountsFromTheNotice(t *testing.T) {
	t.Run("process stands still at the notice", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		c := b.dial()
		b.ask(c, Ask{Body: "before"})
		c.AwaitAnswers()
		var notice time.Time
		b.pause(800*time.Millisecond, func() { notice = b.signal(syscall.SIGTERM) })
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
		time.Sleep(time.Until(notice.Add(drainGrace + 100*time.Millisecond)))
		for i := range 20 {
			b.ask(c, Ask{Body: fmt.Sprint("after the grace ", i)})
			time.Sleep(30 * time.Millisecond)
		}
		c.AwaitAnswers()
		b.verdict()
	})
	t.Run("door lies in the grace", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		c := b.dial()
		b.ask(c, Ask{Body: "before"})
		c.AwaitAnswers()
		notice := b.signal(syscall.SIGTERM)
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
		time.Sleep(time.Until(notice.Add(drainGrace + 100*time.Millisecond)))
		for i := range 5 {
			b.ask(c, Ask{Body: fmt.Sprint("early door ", i), DoorEarly: 600 * time.Millisecond})
			time.Sleep(30 * time.Millisecond)
		}
		c.AwaitAnswers()
		b.verdict()
	})
	t.Run("connections wait in the queue as the grace ends", func(t *testing.T) {
		t.Parallel()
		b := newBench(t)
		notice := b.signal(syscall.SIGTERM)
		b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
		time.Sleep(time.Until(notice.Add(drainGrace - 100*time.Millisecond)))
		var clients []*Client
		b.pause(500*time.Millisecond, func() {
			for i := range 16 {
				c := b.dial()
				clients = append(clients, c)
				b.ask(c, Ask{Body: fmt.Sprint("queued ", i)})
			}
		})
		await(clients)
		b.verdict()
	})
}

// TestSilentProcessorLinkIsReplaced: the link to the processor falls silent for good, with
// no reset. Requests are served again within a few seconds, over a new link.
func TestSilentProcessorLinkIsReplaced(t *testing.T) {
	b := newBench(t)
	c := b.dial()
	b.ask(c, Ask{Body: "before"})
	c.AwaitAnswers()
	b.node.ProcessorRelay().Freeze()
	time.Sleep(4 * time.Second)
	c = b.dial()
	for i := range 5 {
		b.ask(c, Ask{Body: fmt.Sprint("after ", i)})
		c.AwaitAnswers()
	}
	if served := b.verdict().Outcomes["served"]; served != 6 {
		t.Errorf("%d requests were served, want 6", served)
	}
}

// TestCrowdedNodeShuts: a node whose table of connections is full of silent ones, and
// whose accept queue holds more, is told to stop and stands still over the end of the
// grace. What was written to the connections behind the silent ones is answered.
func TestCrowdedNodeShuts(t *testing.T) {
	b := newBench(t)
	notice := b.signal(syscall.SIGTERM)
	b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
	var clients []*Client
	b.pause(drainGrace+100*time.Millisecond, func() {
		for range crowdSize + 50 {
			b.dial()
		}
		clients = b.dialMany()
		b.askAll(clients, 1, 0)()
	})
	await(clients)
	b.allAnswered()
}

// TestAllIsAnsweredBeforeTheEarliestKill: SIGKILL comes as early as the platform's
// terms allow, whatever stop_ms says. What was written until shortly before has its
// answer, also on connections that clients go on sending on.
func TestAllIsAnsweredBeforeTheEarliestKill(t *testing.T) {
	for _, paused := range []time.Duration{0, 600 * time.Millisecond} {
		t.Run(fmt.Sprint("stands still for ", paused), func(t *testing.T) {
			t.Parallel()
			b := newBench(t) // stop_ms is 6 s
			resting, busy := b.dial(), b.dial()
			b.ask(resting, Ask{Body: "rests"})
			resting.AwaitAnswers()
			var notice time.Time
			b.pause(paused, func() { notice = b.signal(syscall.SIGTERM) })
			b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
			kill := notice.Add(LongestStop)
			for i := 0; time.Now().Before(kill.Add(-20 * time.Millisecond)); i++ {
				if _, err := busy.Send(Ask{Class: SafeClass, Deadline: SafeDeadline, Body: fmt.Sprint("hang late ", i)}); err != nil {
					break
				}
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(time.Until(kill))
			b.node.Kill()
			<-busy.Done()
			<-resting.Done()
			b.verdict()
		})
	}
}
