package faultsoak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// A log pipe that is no longer read, or whose reader has closed it, must not delay or fail
// requests.
func TestLogSink_FullOrClosedPipeDelaysNoRequest(t *testing.T) {
	for name, sink := range map[string]LogSink{"unread": LogUnread, "closed": LogClosed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			operator := filepath.Join(t.TempDir(), "operator.toml")
			if err := os.WriteFile(operator, []byte("[log]\nlevel = \"debug\"\nrepeats = 100\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			b := newTestNodeFrom(t, NodeConfig{
				Binary: builtProgram, RunDuration: 5 * time.Millisecond, LogSink: sink, Args: []string{"--operator", operator},
			})
			clients := b.dialMany()
			const each = 100 // their log lines exceed the capacity of the pipe
			for i := range each {
				for j, c := range clients {
					b.send(c, RequestSpec{Body: fmt.Sprint("page ", i, " ", j)})
				}
				time.Sleep(2 * time.Millisecond)
			}
			for _, c := range clients {
				c.awaitAnswersOrTimeout()
			}
			if n := countAnswers(b.checkRules()); n != each*connectionCount {
				t.Errorf("clients received %d answers, want %d", n, each*connectionCount)
			}
		})
	}
}
