package faultsoak

import (
	"syscall"
	"testing"
	"time"
)

// TestTakeOverFromAStalledProcess: a process takes over from one that stands still and
// can't tell its keys. A key that ran there is not run again: at worst its repeat fails.
func TestTakeOverFromAStalledProcess(t *testing.T) {
	config, err := DefaultConfig()
	if err != nil {
		t.Fatal(err)
	}
	n, err := StartNode(NodeConfig{
		Name: "n1", Binary: builtProgram, Dir: t.TempDir(), Config: config, Took: 5 * time.Millisecond, Inherit: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	n.Ready()
	b := &bench{T: t, node: n}
	gift := Ask{Class: KeyedClass, Deadline: KeyedDeadline, Key: "key", Body: "gift"}
	c := b.dial()
	b.ask(c, gift)
	c.AwaitAnswers()
	c.Close()
	old := n.process()
	if err := old.signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = old.signal(syscall.SIGCONT) }()
	stalled := time.Now()
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
		t.Fatal("it does not get ready")
	}
	if waited := time.Since(stalled); waited > keyedWindow {
		t.Fatalf("the key's window is over after %v", waited)
	}
	c = b.dial()
	b.ask(c, gift)
	c.AwaitAnswers()
	b.verdict()
	if runs := n.Work.Runs("gift"); runs != 1 {
		t.Errorf("the gift ran %d times", runs)
	}
}
