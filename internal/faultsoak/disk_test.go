package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// diskBench is a bench whose node keeps its keys in a folder, with the fault layer.
func diskBench(t *testing.T) *bench {
	t.Helper()
	withFaults, err := BuildWithFaults(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return newBenchWith(t, NodeConfig{Binary: withFaults, Took: 5 * time.Millisecond, Faults: true, Keys: true})
}

const giftsEach = 8 // in each phase of a disk's trouble

// gifts asks for keyed requests one after the other, and returns how many of them had each
// outcome. Their keys and bodies have the name in common.
func (b *bench) gifts(name string) map[string]int {
	b.Helper()
	c := b.dial()
	defer c.Close()
	outcomes := map[string]int{}
	for i := range giftsEach {
		r, err := c.Send(Ask{
			Class: KeyedClass, Deadline: KeyedDeadline, Key: fmt.Sprint(name, i), Body: fmt.Sprint(name, i),
		})
		if err != nil {
			b.Fatal(err)
		}
		c.AwaitAnswers()
		b.history.update(func() {
			for _, a := range r.Answers {
				outcomes[a.Kind]++
			}
		})
	}
	return outcomes
}

// TestKeysOnAFailingDisk: writes or syncs of the folder for keys fail for a while. Then
// keyed requests are turned away, others served, and all are served again once the disk
// works, without a restart. Nothing that was served before, meanwhile or after runs again
// after a kill.
func TestKeysOnAFailingDisk(t *testing.T) {
	b := diskBench(t)
	for name, rule := range map[string]FaultRule{
		"full":  {Call: "write", Files: true, Probability: 1, Errno: syscall.ENOSPC},
		"short": {Call: "write", Files: true, Probability: 0.5},
		"sync":  {Call: "fsync", Files: true, Probability: 1, Errno: syscall.EIO},
		"io":    {Call: "write", Files: true, Probability: 0.5, Errno: syscall.EIO},
	} {
		if got := b.gifts(name + " before "); got["served"] != giftsEach {
			t.Errorf("%s, before: %v", name, got)
		}
		if err := b.node.SetFaults(FaultPlan{Seed: 1, Rules: []FaultRule{rule}}); err != nil {
			t.Fatal(err)
		}
		got := b.gifts(name + " meanwhile ")
		if got["failed"] > 0 || rule.Probability == 1 && got["refused"] != giftsEach {
			t.Errorf("%s, meanwhile: %v", name, got)
		}
		if err := b.node.SetFaults(FaultPlan{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond) // for it to try the disk again
		if got := b.gifts(name + " after "); got["served"] != giftsEach {
			t.Errorf("%s, after: %v", name, got)
		}
		b.node.Kill()
		if err := b.node.Launch(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // its processor and module come up
		for _, when := range []string{" before ", " meanwhile ", " after "} {
			b.gifts(name + when)
		}
	}
	b.verdict()
	for _, run := range b.node.Runs() {
		if n := b.node.Work.Runs(run.Body); n > 1 {
			t.Errorf("%q ran %d times", run.Body, n)
		}
	}
}
