package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// A draining process is paused past its planned exit and resumed well before it is killed.
// It must answer the requests that were open before the pause and those that arrive during
// the pause, on open and on new connections.
func TestDrain_AnswersRequestsWhenPausedPastPlannedExit(t *testing.T) {
	const plannedExit = 1900 * time.Millisecond
	for _, at := range []time.Duration{0, 500 * time.Millisecond, drainGrace, plannedExit - 220*time.Millisecond} {
		t.Run(fmt.Sprint("paused from ", at, " after SIGTERM"), func(t *testing.T) {
			t.Parallel()
			config := defaultConfig(t)
			config["stop_ms"] = plannedExit.Milliseconds()
			b := newTestNodeFrom(t, NodeConfig{Binary: builtProgram, RunDuration: 5 * time.Millisecond, Config: config})
			clients := b.dialMany()
			for i, c := range clients[:connectionCount/2] {
				b.send(c, RequestSpec{Body: fmt.Sprint("hang ", i)})
			}
			sigtermAt := b.signal(syscall.SIGTERM)
			b.history.Add(Event{Node: b.node.Name, Kind: Terminated, At: sigtermAt})
			time.Sleep(time.Until(sigtermAt.Add(at)))
			b.pause(time.Until(sigtermAt.Add(plannedExit+300*time.Millisecond)), func() {
				for i, c := range clients {
					b.send(c, RequestSpec{Body: fmt.Sprint("page ", i)})
				}
				for i := 0; i < connectionCount && at < drainGrace; i++ { // the process listens until then
					c := b.dial()
					clients = append(clients, c)
					b.send(c, RequestSpec{Body: fmt.Sprint("page on a new connection ", i)})
				}
			})
			awaitAnswers(clients)
			b.checkRules()
		})
	}
}
