package fleet

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
)

// TestMachineFencesOrders has the log refuse what an old owner still sends, of a
// rollout and of the bank, and a step that was made from an older record; a voter
// that takes a snapshot over goes on from the same.
func TestMachineFencesOrders(t *testing.T) {
	newMachine := func() *machine {
		member, err := lease.NewClient(lease.Owner{Member: "c", Incarnation: 1}, lease.Timing{Duration: time.Second, ClockDrift: 0.05, RenewInterval: time.Second / 4}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return &machine{log: slog.New(slog.NewTextHandler(io.Discard, nil)), fence: &lease.Fence{}, member: member,
			moved: make(chan struct{}, 1), clock: func() time.Duration { return 0 }, asked: map[uint64]chan error{},
			banks: map[string]*quota.Allocator{Calls: quota.NewAllocator(8)}, changed: func(string, []quota.Delta) {}}
	}
	m := newMachine()
	index := uint64(0)
	apply := func(c command) uint64 {
		t.Helper()
		b, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		index++
		m.Apply(b, 1, index)
		return index
	}
	take := func(name, by string, from lease.Token) lease.Token {
		return lease.Token{Term: 1, Index: apply(command{Command: &lease.Command{Kind: lease.Acquire, Lease: name, Owner: lease.Owner{Member: by, Incarnation: 1}, Token: from}})}
	}
	plan := rollout.Plan{ID: "r", Kind: rollout.Program, From: "1", To: "2", MinWatchWindows: 1, MaxWatchWindows: 1, Limits: rollout.DefaultLimits(),
		Servers: []rollout.Server{{Name: "x"}, {Name: "y"}}, Stages: []rollout.Stage{{Share: 1, BakeWindows: 1, MaxWindows: 9}}}
	outcome := m.await(7)
	started := apply(command{Rollout: &rolloutOrder{Nonce: 7, Order: rollout.Command{Kind: rollout.Start, Plan: &plan}}})
	if err := <-outcome; err != nil {
		t.Fatal(err)
	}
	step := func(token lease.Token, prev uint64, phase rollout.Phase) uint64 {
		return apply(command{Rollout: &rolloutOrder{Token: token, Order: rollout.Command{Kind: rollout.Step, PreviousIndex: prev, State: rollout.State{Phase: phase}}}})
	}
	want := func(what string, phase rollout.Phase) {
		t.Helper()
		if got := m.changes().State.Phase; got != phase {
			t.Errorf("%s: %q, want %q", what, got, phase)
		}
	}
	step(lease.Token{}, started, rollout.Done)
	want("nobody's step", "")
	old := take(Rollout, "a", lease.Token{})
	at := step(old, started, rollout.Replacing)
	want("the owner's step", rollout.Replacing)
	now := take(Rollout, "b", old)
	step(old, at, rollout.Done)
	want("the old owner's step", rollout.Replacing)
	step(now, started, rollout.Done)
	want("a step from an older record", rollout.Replacing)
	step(now, at, rollout.RollingBack)
	want("the new owner's step", rollout.RollingBack)

	bank := take(Bank, "a", lease.Token{})
	grant := func(token lease.Token, n uint64) {
		apply(command{Bank: &bankOrder{Of: Calls, Token: token, Order: quota.Command{Kind: quota.Grant, Target: quota.ID{Member: "x", Incarnation: 1}, Amount: n}}})
	}
	grant(bank, 3)
	take(Bank, "b", bank)
	grant(bank, 3)
	if free := m.free(Calls); free != 5 {
		t.Errorf("%d rights free", free)
	}

	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m = newMachine()
	if err := m.Restore(snap); err != nil {
		t.Fatal(err)
	}
	want("after the snapshot", rollout.RollingBack)
	if owner, token := m.grant(Rollout); owner != "b" || token != now || m.free(Calls) != 5 {
		t.Errorf("after the snapshot: %s owns under %v, %d free", owner, token, m.free(Calls))
	}
}
