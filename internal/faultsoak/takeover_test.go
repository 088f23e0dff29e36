package faultsoak

import (
	"syscall"
	"testing"
	"time"
)

// A process takes over from a paused one, which can't hand over its keys. A key that ran in
// the old process must not run again in the new one; a retry with the key may fail.
func TestHandover_FromPausedProcessRunsNoKeyAgain(t *testing.T) {
	config, err := DefaultConfig()
	if err != nil {
		t.Fatal(err)
	}
	n, err := StartNode(NodeConfig{
		Name: "n1", Binary: builtProgram, Dir: t.TempDir(), Config: config, RunDuration: 5 * time.Millisecond, InheritSocket: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	n.AwaitReady()
	b := &testNode{T: t, node: n}
	gift := RequestSpec{Class: KeyedClass, Deadline: KeyedDeadline, Key: "key", Body: "gift"}
	c := b.dial()
	b.send(c, gift)
	c.AwaitAnswers()
	c.Close()
	old := n.process()
	if err := old.signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = old.signal(syscall.SIGCONT) }()
	pausedAt := time.Now()
	next, err := n.newProcess()
	if err != nil {
		t.Fatal(err)
	}
	defer next.closeFakes()
	if err := next.writeConfig(nil); err != nil {
		t.Fatal(err)
	}
	if err := next.launch(); err != nil {
		t.Fatal(err)
	}
	defer next.kill()
	if !next.awaitReady() {
		t.Fatalf("the new process is not ready after %v", readyTimeout)
	}
	if waited := time.Since(pausedAt); waited > keyedWindow {
		t.Fatalf("handover took %v, want at most the key's window of %v", waited, keyedWindow)
	}
	c = b.dial()
	b.send(c, gift)
	c.AwaitAnswers()
	b.checkRules()
	if runs := n.Work.Runs("gift"); runs != 1 {
		t.Errorf("the keyed request ran %d times, want 1", runs)
	}
}
