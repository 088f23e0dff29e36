package faultsoak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestLogSinkHoldsUpNoRequest: whoever reads the process's log stops reading, or goes. The
// process serves on.
func TestLogSinkHoldsUpNoRequest(t *testing.T) {
	for name, sink := range map[string]LogSink{"stands still": LogUnread, "has gone": LogClosed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			operator := filepath.Join(t.TempDir(), "operator.toml")
			if err := os.WriteFile(operator, []byte("[log]\nlevel = \"debug\"\nrepeats = 100\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			b := newBenchWith(t, NodeConfig{
				Binary: builtProgram, Took: 5 * time.Millisecond, LogSink: sink, Args: []string{"--operator", operator},
			})
			clients := b.dialMany()
			const each = 100 // more than the pipe holds of their lines
			for i := range each {
				for j, c := range clients {
					b.ask(c, Ask{Body: fmt.Sprint("page ", i, " ", j)})
				}
				time.Sleep(2 * time.Millisecond)
			}
			for _, c := range clients {
				c.awaitAnswersOrTimeout()
			}
			if n := answers(b.verdict()); n != each*connections {
				t.Errorf("%d answers to %d requests", n, each*connections)
			}
		})
	}
}
