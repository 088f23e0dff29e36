package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestPassingErrorsEndNoConnection: reads or writes of sockets fail now and then with an
// error that does not say that the connection has ended, as Linux documents them for read,
// write, recv and send. All requests are answered on the connections they were written to.
func TestPassingErrorsEndNoConnection(t *testing.T) {
	withFaults, err := BuildWithFaults(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range []FaultRule{
		{Call: "read", Errno: syscall.EIO},
		{Call: "read", Errno: syscall.ENOMEM},
		{Call: "read", Errno: syscall.EPERM},
		{Call: "write", Errno: syscall.EIO},
		{Call: "write", Errno: syscall.EPERM},
		{Call: "write", Errno: syscall.EACCES},
		{Call: "write", Errno: syscall.ENOSPC},
	} {
		t.Run(fmt.Sprint(rule.Call, " ", rule.Errno), func(t *testing.T) {
			t.Parallel()
			b := newBenchWith(t, NodeConfig{Binary: withFaults, Faults: true, Took: 5 * time.Millisecond})
			clients := b.dialMany()
			rule.Probability, rule.Burst = 0.05, 2
			if err := b.node.SetFaults(FaultPlan{Seed: 1, Rules: []FaultRule{rule}}); err != nil {
				t.Fatal(err)
			}
			const each = 20
			for i := range each {
				for j, c := range clients {
					b.ask(c, Ask{Body: fmt.Sprint("page ", i, " ", j)})
				}
				time.Sleep(10 * time.Millisecond)
			}
			await(clients)
			if n := answers(b.verdict()); n != each*connections {
				t.Errorf("%d answers to %d requests", n, each*connections)
			}
		})
	}
}
