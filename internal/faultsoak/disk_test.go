package faultsoak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// newDiskTestNode starts a node that stores its keys in a folder, built with the fault
// layer.
func newDiskTestNode(t *testing.T) *testNode {
	t.Helper()
	withFaults, err := BuildWithFaults(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return newTestNodeFrom(t, NodeConfig{Binary: withFaults, RunDuration: 5 * time.Millisecond, Faults: true, DurableKeys: true})
}

const keyedPerPhase = 8 // requests before, during and after each disk fault

// sendKeyed sends keyed requests one after the other and returns the number of answers by
// kind. Their keys and bodies start with prefix.
func (b *testNode) sendKeyed(prefix string) map[string]int {
	b.Helper()
	c := b.dial()
	defer c.Close()
	outcomes := map[string]int{}
	for i := range keyedPerPhase {
		r, err := c.Send(RequestSpec{
			Class: KeyedClass, Deadline: KeyedDeadline, Key: fmt.Sprint(prefix, i), Body: fmt.Sprint(prefix, i),
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

// While writes or syncs of the key files fail, keyed requests are refused and other requests
// served. Once the disk works, all requests are served again without a restart. After a kill,
// no keyed request that was served before, during or after the fault runs again.
func TestDurableKeys_RefuseDuringDiskFaultsAndRecover(t *testing.T) {
	b := newDiskTestNode(t)
	for name, rule := range map[string]FaultRule{
		"full":  {Call: "write", Files: true, Probability: 1, Errno: syscall.ENOSPC},
		"short": {Call: "write", Files: true, Probability: 0.5},
		"sync":  {Call: "fsync", Files: true, Probability: 1, Errno: syscall.EIO},
		"io":    {Call: "write", Files: true, Probability: 0.5, Errno: syscall.EIO},
	} {
		if got := b.sendKeyed(name + " before "); got["served"] != keyedPerPhase {
			t.Errorf("%s: outcomes before the fault = %v, want %d served", name, got, keyedPerPhase)
		}
		if err := b.node.SetFaults(FaultPlan{Seed: 1, Rules: []FaultRule{rule}}); err != nil {
			t.Fatal(err)
		}
		got := b.sendKeyed(name + " during ")
		if got["failed"] > 0 || rule.Probability == 1 && got["refused"] != keyedPerPhase {
			t.Errorf("%s: outcomes during the fault = %v, want none failed, and %d refused if all calls fail", name, got, keyedPerPhase)
		}
		if err := b.node.SetFaults(FaultPlan{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond) // the node retries the disk in this time
		if got := b.sendKeyed(name + " after "); got["served"] != keyedPerPhase {
			t.Errorf("%s: outcomes after the fault = %v, want %d served", name, got, keyedPerPhase)
		}
		b.node.Kill()
		if err := b.node.Launch(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // the node connects to its processor in this time
		for _, when := range []string{" before ", " during ", " after "} {
			b.sendKeyed(name + when)
		}
	}
	b.checkRules()
	for _, run := range b.node.Runs() {
		if n := b.node.Work.Runs(run.Body); n > 1 {
			t.Errorf("%q ran %d times, want 1", run.Body, n)
		}
	}
}
