package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestStalledProcessAnswersBeforeItEnds: a process that was told to stop stands still over
// the moment at which it planned to end, and goes on well before it is killed. What was open
// then, what came meanwhile on open connections, and what came on new ones is answered.
func TestStalledProcessAnswersBeforeItEnds(t *testing.T) {
	const plannedEnd = 1900 * time.Millisecond
	for _, at := range []time.Duration{0, 500 * time.Millisecond, drainGrace, plannedEnd - 220*time.Millisecond} {
		t.Run(fmt.Sprint("from ", at, " after the notice"), func(t *testing.T) {
			t.Parallel()
			config := defaultConfig(t)
			config["stop_ms"] = plannedEnd.Milliseconds()
			b := newBenchWith(t, NodeConfig{Binary: builtProgram, Took: 5 * time.Millisecond, Config: config})
			clients := b.dialMany()
			for i, c := range clients[:connections/2] {
				b.ask(c, Ask{Body: fmt.Sprint("hang ", i)})
			}
			notice := b.signal(syscall.SIGTERM)
			b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: notice})
			time.Sleep(time.Until(notice.Add(at)))
			b.pause(time.Until(notice.Add(plannedEnd+300*time.Millisecond)), func() {
				for i, c := range clients {
					b.ask(c, Ask{Body: fmt.Sprint("page ", i)})
				}
				for i := 0; i < connections && at < drainGrace; i++ { // it listens until then
					c := b.dial()
					clients = append(clients, c)
					b.ask(c, Ask{Body: fmt.Sprint("page of a new one ", i)})
				}
			})
			await(clients)
			b.verdict()
		})
	}
}
