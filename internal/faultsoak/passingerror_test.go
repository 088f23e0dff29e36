package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Reads or writes of sockets sometimes fail with errors that don't mean that the connection
// is closed, as Linux documents them for read, write, recv and send. Each request must be
// answered on the connection on which it was sent.
func TestTransientSocketErrors_KeepConnectionsOpen(t *testing.T) {
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
			b := newTestNodeFrom(t, NodeConfig{Binary: withFaults, Faults: true, RunDuration: 5 * time.Millisecond})
			clients := b.dialMany()
			rule.Probability, rule.Burst = 0.05, 2
			if err := b.node.SetFaults(FaultPlan{Seed: 1, Rules: []FaultRule{rule}}); err != nil {
				t.Fatal(err)
			}
			const each = 20
			for i := range each {
				for j, c := range clients {
					b.send(c, RequestSpec{Body: fmt.Sprint("page ", i, " ", j)})
				}
				time.Sleep(10 * time.Millisecond)
			}
			awaitAnswers(clients)
			if n := countAnswers(b.checkRules()); n != each*connectionCount {
				t.Errorf("clients received %d answers, want %d", n, each*connectionCount)
			}
		})
	}
}
