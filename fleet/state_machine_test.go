package fleet

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
)

// machineTest is a state machine under test, with the index of the last entry applied.
type machineTest struct {
	*stateMachine
	t     *testing.T
	index uint64
}

func newMachineTest(t *testing.T) *machineTest {
	t.Helper()
	client, err := lease.NewClient(lease.Owner{Member: "c", Incarnation: 1}, lease.Timing{Duration: time.Second, ClockDrift: 0.05, RenewInterval: time.Second / 4}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return &machineTest{t: t, stateMachine: &stateMachine{
		log: slog.New(slog.DiscardHandler), fence: &lease.Fence{}, leaseClient: client,
		ownerChanged: make(chan struct{}, 1), clock: func() time.Duration { return 0 }, waiters: map[uint64]chan error{},
		allocators: map[string]*quota.Allocator{CallQuota: quota.NewAllocator(8)}, onAccountsChanged: func(string, []quota.Delta) {},
	}}
}

// apply applies a command as the next entry of the log, and returns its index.
func (m *machineTest) apply(c command) uint64 {
	m.t.Helper()
	b, err := json.Marshal(c)
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	m.Apply(b, 1, m.index)
	return m.index
}

// acquire makes a member acquire a lease that was last granted with token from, and
// returns the new token.
func (m *machineTest) acquire(name, by string, from lease.Token) lease.Token {
	m.t.Helper()
	return lease.Token{Term: 1, Index: m.apply(command{Command: &lease.Command{Kind: lease.Acquire, Lease: name, Owner: lease.Owner{Member: by, Incarnation: 1}, Token: from}})}
}

// start starts a rollout, and returns its entry's index.
func (m *machineTest) start() uint64 {
	m.t.Helper()
	plan := rollout.Plan{
		ID: "r", Kind: rollout.Program, From: "1", To: "2", MinWatchWindows: 1, MaxWatchWindows: 1, Limits: rollout.DefaultLimits(),
		Servers: []rollout.Server{{Name: "x"}, {Name: "y"}}, Stages: []rollout.Stage{{Share: 1, BakeWindows: 1, MaxWindows: 9}},
	}
	outcome := m.registerWaiter(7)
	started := m.apply(command{Rollout: &rolloutCommand{Nonce: 7, Command: rollout.Command{Kind: rollout.Start, Plan: &plan}}})
	if err := <-outcome; err != nil {
		m.t.Fatal(err)
	}
	return started
}

// step applies a Step command that sets the phase and is derived from the record of the
// entry prev. It returns the index of the command's entry.
func (m *machineTest) step(token lease.Token, prev uint64, phase rollout.Phase) uint64 {
	m.t.Helper()
	return m.apply(command{Rollout: &rolloutCommand{Token: token, Command: rollout.Command{Kind: rollout.Step, PreviousIndex: prev, State: rollout.State{Phase: phase}}}})
}

// grantRights grants n rights of CallQuota to a member.
func (m *machineTest) grantRights(token lease.Token, n uint64) {
	m.t.Helper()
	m.apply(command{Quota: &quotaCommand{QuotaName: CallQuota, Token: token, Command: quota.Command{Kind: quota.Grant, Target: quota.ID{Member: "x", Incarnation: 1}, Amount: n}}})
}

func (m *machineTest) wantPhase(what string, phase rollout.Phase) {
	m.t.Helper()
	if got := m.rolloutRecord().State.Phase; got != phase {
		m.t.Errorf("%s: phase = %q, want %q", what, got, phase)
	}
}

// TestStateMachine_RejectsStaleCommands checks that the state machine rejects quota commands
// and rollout steps of former owners, and steps made from an older record. A state
// machine restored from a snapshot must have the same state.
func TestStateMachine_RejectsStaleCommands(t *testing.T) {
	m := newMachineTest(t)
	started := m.start()
	m.step(lease.Token{}, started, rollout.Done)
	m.wantPhase("after a step without an owner", "")
	old := m.acquire(RolloutLease, "a", lease.Token{})
	at := m.step(old, started, rollout.Replacing)
	m.wantPhase("after the owner's step", rollout.Replacing)
	now := m.acquire(RolloutLease, "b", old)
	m.step(old, at, rollout.Done)
	m.wantPhase("after a step of the former owner", rollout.Replacing)
	m.step(now, started, rollout.Done)
	m.wantPhase("after a step from an older record", rollout.Replacing)
	m.step(now, at, rollout.RollingBack)
	m.wantPhase("after the new owner's step", rollout.RollingBack)

	former := m.acquire(QuotaLease, "a", lease.Token{})
	m.grantRights(former, 3)
	m.acquire(QuotaLease, "b", former)
	m.grantRights(former, 3)
	if free := m.freeRights(CallQuota); free != 5 {
		t.Errorf("freeRights(%s) = %d, want 5", CallQuota, free)
	}

	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m = newMachineTest(t)
	if err := m.Restore(snap); err != nil {
		t.Fatal(err)
	}
	m.wantPhase("after Restore", rollout.RollingBack)
	if owner, token := m.grant(RolloutLease); owner != "b" || token != now || m.freeRights(CallQuota) != 5 {
		t.Errorf("after Restore: owner %s, token %v, %d rights free; want owner b, token %v, 5 rights free", owner, token, m.freeRights(CallQuota), now)
	}
}
