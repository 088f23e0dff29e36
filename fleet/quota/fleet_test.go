package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testTiming = Timing{
	SessionTimeout: 10 * time.Second, MaxClockDrift: 0.05, MaxHoldTime: time.Second, HeartbeatInterval: time.Second,
}

// testFleet is a fleet without a network: the test decides which deltas are delivered.
type testFleet struct {
	t         *testing.T
	now       time.Duration
	members   map[string]*Member
	allocator *Allocator
	index     uint64
}

func newTestFleet(t *testing.T, capacity uint64, names ...string) *testFleet {
	t.Helper()
	f := &testFleet{t: t, members: map[string]*Member{}, allocator: NewAllocator(capacity)}
	for _, name := range names {
		f.start(name, 1)
	}
	return f
}

func (f *testFleet) start(name string, incarnation uint64) {
	f.t.Helper()
	id := ID{Member: name, Incarnation: incarnation}
	m, err := NewMember(id, testTiming, rand.New(rand.NewPCG(incarnation, uint64(len(name)))))
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[name] = m
}

// apply applies a command and delivers the changed accounts to the named members.
func (f *testFleet) apply(c Command, names ...string) error {
	f.index++
	changed, err := f.allocator.Apply(c, f.index)
	for _, delta := range changed {
		for _, name := range names {
			f.members[name].Merge(delta)
		}
	}
	return err
}

// exchange ticks one member and delivers its complete state to another.
func (f *testFleet) exchange(from, to string) {
	f.members[from].Tick(f.now) // the state includes the messages of the tick
	s := f.members[from].State()
	for id, member := range s.Members {
		f.members[to].Merge(Delta{ID: id, MemberState: member})
	}
	for id, account := range s.Accounts {
		f.members[to].Merge(Delta{ID: id, Account: account})
	}
}

// acquireAll acquires as many units as possible and returns how many the member has in
// use.
func (f *testFleet) acquireAll(name string) uint64 {
	for range 100 {
		f.members[name].TryAcquire(f.now)
	}
	return f.members[name].InUse()
}

// acknowledge makes the member publish a heartbeat, and acknowledges its latest one.
func (f *testFleet) acknowledge(name string) {
	m := f.members[name]
	m.Tick(f.now)
	m.Merge(Delta{ID: m.id, Account: &Account{AckedHeartbeat: m.own.Heartbeat}})
}

// tickLeader ticks the leader with the state of a member. It delivers the
// acknowledgements to that member and returns the commands.
func (f *testFleet) tickLeader(l *AllocatorLeader, name string) []Command {
	f.members[name].Tick(f.now)
	commands, acks := l.Tick(f.now, f.members[name].State(), f.allocator)
	for _, ack := range acks {
		f.members[name].Merge(ack)
	}
	return commands
}
