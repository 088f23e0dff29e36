package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/steps"
)

// encode is a state as it compares.
func encode(t *testing.T, s State) string {
	t.Helper()
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// randomState gives a state of a few rows and accounts, any at all.
func randomState(s *steps.Source) State {
	out := NewState()
	ids := []ID{{Member: "a", Incarnation: 1}, {Member: "a", Incarnation: 2}, {Member: "b", Incarnation: 1}, {Member: "c", Incarnation: 1}}
	for range 1 + s.Pick(5) {
		of := ids[s.Pick(len(ids))]
		row := &MemberState{Heartbeat: uint64(s.Pick(4)), Surplus: uint64(s.Pick(3)), Shortfall: uint64(s.Pick(3)),
			Transferred:     map[ID]uint64{ids[s.Pick(4)]: uint64(1 + s.Pick(3)), ids[s.Pick(4)]: uint64(1 + s.Pick(3))},
			TransferReports: map[ID]TransferReport{ids[s.Pick(4)]: {uint64(s.Pick(3)), uint64(s.Pick(3))}},
			Counters:        map[string]PNCounter{"x": {uint64(s.Pick(4)), uint64(s.Pick(4))}}}
		account := &Account{LogIndex: uint64(s.Pick(4)), Granted: uint64(s.Pick(3)), Fenced: s.Pick(2) == 1, Reclaimed: s.Pick(3) == 1,
			SettledTransfers: map[ID]int64{ids[s.Pick(4)]: int64(s.Pick(5)) - 2}, AckedHeartbeat: uint64(s.Pick(4))}
		switch s.Pick(3) {
		case 0:
			row = nil
		case 1:
			account = nil
		}
		out.Join(Delta{of, row, account})
	}
	return out
}

// joinAll joins states, and leaves them as they are.
func joinAll(states ...State) State {
	out := NewState()
	for _, s := range states {
		for id, r := range s.Members {
			out.Join(Delta{ID: id, MemberState: r})
		}
		for id, a := range s.Accounts {
			out.Join(Delta{ID: id, Account: a})
		}
	}
	return out
}

// FuzzJoin checks that joining is commutative, associative and idempotent, and
// that what is news is what was joined, on any states.
func FuzzJoin(f *testing.F) {
	steps.Fuzz(f, func(t *testing.T, s *steps.Source) {
		a, b, c := randomState(s), randomState(s), randomState(s)
		before := encode(t, a)
		ab, ba := joinAll(a, b), joinAll(b, a)
		if encode(t, ab) != encode(t, ba) {
			t.Errorf("not commutative:\n%s\n%s", encode(t, ab), encode(t, ba))
		}
		if l, r := encode(t, joinAll(ab, c)), encode(t, joinAll(a, joinAll(b, c))); l != r {
			t.Errorf("not associative:\n%s\n%s", l, r)
		}
		if again := encode(t, joinAll(ab, a, b, ab)); again != encode(t, ab) {
			t.Errorf("not idempotent:\n%s\n%s", again, encode(t, ab))
		}
		if encode(t, a) != before {
			t.Error("joining changed what was joined")
		}
		for id, r := range a.Members {
			if _, news := ab.Join(Delta{ID: id, MemberState: r}); news {
				t.Errorf("a row of %s is news to its own join", id)
			}
		}
	})
}

var testTiming = Timing{SessionTimeout: 10 * time.Second, MaxClockDrift: 0.05, MaxHoldTime: time.Second, HeartbeatInterval: time.Second}

// testFleet is members whose pieces the test hands around as it likes.
type testFleet struct {
	t         *testing.T
	now       time.Duration
	members   map[string]*Member
	allocator *Allocator
	index     uint64
}

func newTestFleet(t *testing.T, total uint64, names ...string) *testFleet {
	f := &testFleet{t: t, members: map[string]*Member{}, allocator: NewAllocator(total)}
	for _, name := range names {
		f.start(name, 1)
	}
	return f
}

func (f *testFleet) start(name string, life uint64) {
	m, err := NewMember(ID{Member: name, Incarnation: life}, testTiming, rand.New(rand.NewPCG(life, uint64(len(name)))))
	if err != nil {
		f.t.Fatal(err)
	}
	f.members[name] = m
}

// apply has the bank apply an apply and all who are named hear of it.
func (f *testFleet) apply(o Command, names ...string) error {
	f.index++
	items, err := f.allocator.Apply(o, f.index)
	for _, i := range items {
		for _, name := range names {
			f.members[name].Merge(i, f.now)
		}
	}
	return err
}

// exchange has one tell another all that it knows.
func (f *testFleet) exchange(from, to string) {
	f.members[from].Tick(f.now) // what it says, and gives, is in its state too
	s := f.members[from].State()
	for id, r := range s.Members {
		f.members[to].Merge(Delta{ID: id, MemberState: r}, f.now)
	}
	for id, a := range s.Accounts {
		f.members[to].Merge(Delta{ID: id, Account: a}, f.now)
	}
}

// acquireAll has a member acquireAll as many as it may, and gives how many it has.
func (f *testFleet) acquireAll(name string) uint64 {
	for range 100 {
		f.members[name].TryAcquire(f.now)
	}
	return f.members[name].InUse()
}

func (f *testFleet) acknowledge(name string) {
	m := f.members[name]
	m.Tick(f.now)
	m.Merge(Delta{ID: m.id, Account: &Account{AckedHeartbeat: m.own.Heartbeat}}, f.now)
}

// TestReclaim has a member give rights away, tell only one of the others, and
// die. What it gave is not taken back twice, whoever heard of it, and a new life
// of it holds nothing of the old.
func TestReclaim(t *testing.T) {
	f := newTestFleet(t, 30, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		if err := f.apply(Command{Kind: Grant, Target: ID{Member: name, Incarnation: 1}, Amount: 10}, "a", "b", "c"); err != nil {
			t.Fatal(err)
		}
		f.acknowledge(name)
	}
	f.acquireAll("b")
	f.members["a"].HandleRequest(*f.members["b"].Tick(f.now).Request, f.now)
	f.exchange("a", "b") // a gives; c hears nothing
	got := f.members["b"].Rights() - 10
	if got == 0 || f.members["a"].Rights() != 10-got {
		t.Fatalf("a gave %d and holds %d", got, f.members["a"].Rights())
	}
	if err := f.apply(Command{Kind: Fence, Target: ID{Member: "a", Incarnation: 1}}, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	if f.acquireAll("a") != 0 {
		t.Error("a fenced life spends")
	}
	fenced, open := f.allocator.fencedAndLive()
	if _, all := collectReports(f.members["c"].State(), fenced, open); all {
		t.Error("all have reported, and none was asked")
	}
	f.exchange("b", "c")
	f.members["c"].Tick(f.now)
	edges, all := collectReports(f.members["c"].State(), fenced, open)
	if !all {
		t.Fatalf("reports: %v", edges)
	}
	a, b := ID{Member: "a", Incarnation: 1}, ID{Member: "b", Incarnation: 1}
	if err := f.apply(Command{Kind: Reclaim, Reports: map[ID]map[ID]TransferReport{a: {b: edges[a][b]}}}); err == nil {
		t.Error("settled without c's report")
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: edges}, "c"); err != nil {
		t.Fatal(err)
	}
	if f.allocator.Free != 10-got || f.members["b"].Rights() != 10+got {
		t.Errorf("free %d, b holds %d", f.allocator.Free, f.members["b"].Rights())
	}
	f.exchange("c", "b") // b hears of its fold, in place of the transfer
	if f.members["b"].Rights() != 10+got {
		t.Errorf("b holds %d", f.members["b"].Rights())
	}
	f.start("a", 2)
	f.exchange("b", "a")
	if f.members["a"].Rights() != 0 || f.acquireAll("a") != 0 {
		t.Error("a new life has what the old one held")
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: edges}); err == nil {
		t.Error("settled twice")
	}
	if err := f.apply(Command{Kind: Grant, Target: ID{Member: "a", Incarnation: 1}, Amount: 1}); err == nil {
		t.Error("granted to a fenced life")
	}
}

// TestSilentMember has a member that hears nothing spend its own share, and stop
// ahead of the horizon; the keeper fences it only after.
func TestSilentMember(t *testing.T) {
	f := newTestFleet(t, 20, "a", "b")
	k := NewAllocatorLeader(20, testTiming, f.now)
	tick := func() (kinds []string) {
		f.exchange("b", "a")
		f.members["a"].Tick(f.now)
		orders, acks := k.Tick(f.now, f.members["a"].State(), f.allocator)
		for _, a := range acks {
			f.members["a"].Merge(a, f.now)
		}
		for _, o := range orders {
			kinds = append(kinds, fmt.Sprint(o.Kind, " ", o.Target))
			if err := f.apply(o, "a"); err != nil {
				t.Fatal(err)
			}
		}
		f.exchange("a", "b")
		return kinds
	}
	tick()
	f.now += testTiming.HeartbeatInterval
	if got := fmt.Sprint(tick()); got != "[grant a/1 grant b/1]" {
		t.Fatalf("orders: %s", got)
	}
	if n := f.acquireAll("b"); n != 10 {
		t.Fatalf("b has %d", n)
	}
	for range 10 {
		f.members["b"].Release()
	}
	last, spent, fenced := f.now, time.Duration(0), time.Duration(0)
	for fenced == 0 && f.now < last+time.Minute { // b is cut off now
		f.now += 100 * time.Millisecond
		f.members["a"].Tick(f.now)
		f.members["b"].Tick(f.now)
		if f.members["b"].TryAcquire(f.now) {
			f.members["b"].Release()
			spent = f.now
		}
		orders, acks := k.Tick(f.now, f.members["a"].State(), f.allocator)
		for _, a := range acks {
			f.members["a"].Merge(a, f.now)
		}
		for _, o := range orders {
			if o.Kind == Fence && o.Target == (ID{Member: "b", Incarnation: 1}) {
				fenced = f.now
			}
		}
	}
	if spent < last+8*time.Second || spent+testTiming.MaxHoldTime > last+testTiming.SessionTimeout || fenced < last+testTiming.SessionTimeout {
		t.Errorf("last heard at %v, spent until %v, fenced at %v", last, spent, fenced)
	}
}

// TestCounters has counts come to the same at all, whatever was heard twice.
func TestCounters(t *testing.T) {
	f := newTestFleet(t, 1, "a", "b")
	for range 5 {
		f.members["a"].AddToCounter("repeats", 2, 1)
		f.exchange("a", "b")
		f.exchange("a", "b")
	}
	f.members["b"].AddToCounter("repeats", 0, 3)
	f.exchange("b", "a")
	for _, m := range f.members {
		if n := m.State().CounterValue("repeats"); n != 2 {
			t.Errorf("%s counts %d", m.id, n)
		}
	}
	var id ID
	if err := id.UnmarshalText([]byte("a/b/7")); err != nil || id != (ID{Member: "a/b", Incarnation: 7}) {
		t.Errorf("%v, %v", id, err)
	}
}
