package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quincerail.example/quincerail/internal/steps"
)

// text is a state as it compares.
func text(t *testing.T, s State) string {
	t.Helper()
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// draw gives a state of a few rows and accounts, any at all.
func draw(s *steps.Source) State {
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

// join joins states, and leaves them as they are.
func join(states ...State) State {
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
		a, b, c := draw(s), draw(s), draw(s)
		before := text(t, a)
		ab, ba := join(a, b), join(b, a)
		if text(t, ab) != text(t, ba) {
			t.Errorf("not commutative:\n%s\n%s", text(t, ab), text(t, ba))
		}
		if l, r := text(t, join(ab, c)), text(t, join(a, join(b, c))); l != r {
			t.Errorf("not associative:\n%s\n%s", l, r)
		}
		if again := text(t, join(ab, a, b, ab)); again != text(t, ab) {
			t.Errorf("not idempotent:\n%s\n%s", again, text(t, ab))
		}
		if text(t, a) != before {
			t.Error("joining changed what was joined")
		}
		for id, r := range a.Members {
			if _, news := ab.Join(Delta{ID: id, MemberState: r}); news {
				t.Errorf("a row of %s is news to its own join", id)
			}
		}
	})
}

var timing = Timing{SessionTimeout: 10 * time.Second, MaxClockDrift: 0.05, MaxHoldTime: time.Second, HeartbeatInterval: time.Second}

// fleet is members whose pieces the test hands around as it likes.
type fleet struct {
	t     *testing.T
	now   time.Duration
	nodes map[string]*Member
	bank  *Allocator
	index uint64
}

func newFleet(t *testing.T, total uint64, names ...string) *fleet {
	f := &fleet{t: t, nodes: map[string]*Member{}, bank: NewAllocator(total)}
	for _, name := range names {
		f.start(name, 1)
	}
	return f
}

func (f *fleet) start(name string, life uint64) {
	m, err := NewMember(ID{Member: name, Incarnation: life}, timing, rand.New(rand.NewPCG(life, uint64(len(name)))))
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name] = m
}

// order has the bank apply an order and all who are named hear of it.
func (f *fleet) order(o Command, names ...string) error {
	f.index++
	items, err := f.bank.Apply(o, f.index)
	for _, i := range items {
		for _, name := range names {
			f.nodes[name].Merge(i, f.now)
		}
	}
	return err
}

// talk has one tell another all that it knows.
func (f *fleet) talk(from, to string) {
	f.nodes[from].Tick(f.now) // what it says, and gives, is in its state too
	s := f.nodes[from].State()
	for id, r := range s.Members {
		f.nodes[to].Merge(Delta{ID: id, MemberState: r}, f.now)
	}
	for id, a := range s.Accounts {
		f.nodes[to].Merge(Delta{ID: id, Account: a}, f.now)
	}
}

// take has a member take as many as it may, and gives how many it has.
func (f *fleet) take(name string) uint64 {
	for range 100 {
		f.nodes[name].TryAcquire(f.now)
	}
	return f.nodes[name].InUse()
}

func (f *fleet) ack(name string) {
	m := f.nodes[name]
	m.Tick(f.now)
	m.Merge(Delta{ID: m.self, Account: &Account{AckedHeartbeat: m.row.Heartbeat}}, f.now)
}

// TestDeadGiver has a member give rights away, tell only one of the others, and
// die. What it gave is not taken back twice, whoever heard of it, and a new life
// of it holds nothing of the old.
func TestDeadGiver(t *testing.T) {
	f := newFleet(t, 30, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		if err := f.order(Command{Kind: Grant, Target: ID{Member: name, Incarnation: 1}, Amount: 10}, "a", "b", "c"); err != nil {
			t.Fatal(err)
		}
		f.ack(name)
	}
	f.take("b")
	f.nodes["a"].HandleRequest(*f.nodes["b"].Tick(f.now).Request, f.now)
	f.talk("a", "b") // a gives; c hears nothing
	got := f.nodes["b"].Rights() - 10
	if got == 0 || f.nodes["a"].Rights() != 10-got {
		t.Fatalf("a gave %d and holds %d", got, f.nodes["a"].Rights())
	}
	if err := f.order(Command{Kind: Fence, Target: ID{Member: "a", Incarnation: 1}}, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	if f.take("a") != 0 {
		t.Error("a fenced life spends")
	}
	fenced, open := f.bank.unsettled()
	if _, all := reports(f.nodes["c"].State(), fenced, open); all {
		t.Error("all have reported, and none was asked")
	}
	f.talk("b", "c")
	f.nodes["c"].Tick(f.now)
	edges, all := reports(f.nodes["c"].State(), fenced, open)
	if !all {
		t.Fatalf("reports: %v", edges)
	}
	a, b := ID{Member: "a", Incarnation: 1}, ID{Member: "b", Incarnation: 1}
	if err := f.order(Command{Kind: Reclaim, Reports: map[ID]map[ID]TransferReport{a: {b: edges[a][b]}}}); err == nil {
		t.Error("settled without c's report")
	}
	if err := f.order(Command{Kind: Reclaim, Reports: edges}, "c"); err != nil {
		t.Fatal(err)
	}
	if f.bank.Free != 10-got || f.nodes["b"].Rights() != 10+got {
		t.Errorf("free %d, b holds %d", f.bank.Free, f.nodes["b"].Rights())
	}
	f.talk("c", "b") // b hears of its fold, in place of the transfer
	if f.nodes["b"].Rights() != 10+got {
		t.Errorf("b holds %d", f.nodes["b"].Rights())
	}
	f.start("a", 2)
	f.talk("b", "a")
	if f.nodes["a"].Rights() != 0 || f.take("a") != 0 {
		t.Error("a new life has what the old one held")
	}
	if err := f.order(Command{Kind: Reclaim, Reports: edges}); err == nil {
		t.Error("settled twice")
	}
	if err := f.order(Command{Kind: Grant, Target: ID{Member: "a", Incarnation: 1}, Amount: 1}); err == nil {
		t.Error("granted to a fenced life")
	}
}

// TestSilence has a member that hears nothing spend its own share, and stop
// ahead of the horizon; the keeper fences it only after.
func TestSilence(t *testing.T) {
	f := newFleet(t, 20, "a", "b")
	k := NewAllocatorLeader(20, timing, f.now)
	tick := func() (kinds []string) {
		f.talk("b", "a")
		f.nodes["a"].Tick(f.now)
		orders, acks := k.Tick(f.now, f.nodes["a"].State(), f.bank)
		for _, a := range acks {
			f.nodes["a"].Merge(a, f.now)
		}
		for _, o := range orders {
			kinds = append(kinds, fmt.Sprint(o.Kind, " ", o.Target))
			if err := f.order(o, "a"); err != nil {
				t.Fatal(err)
			}
		}
		f.talk("a", "b")
		return kinds
	}
	tick()
	f.now += timing.HeartbeatInterval
	if got := fmt.Sprint(tick()); got != "[grant a/1 grant b/1]" {
		t.Fatalf("orders: %s", got)
	}
	if n := f.take("b"); n != 10 {
		t.Fatalf("b has %d", n)
	}
	for range 10 {
		f.nodes["b"].Release()
	}
	last, spent, fenced := f.now, time.Duration(0), time.Duration(0)
	for fenced == 0 && f.now < last+time.Minute { // b is cut off now
		f.now += 100 * time.Millisecond
		f.nodes["a"].Tick(f.now)
		f.nodes["b"].Tick(f.now)
		if f.nodes["b"].TryAcquire(f.now) {
			f.nodes["b"].Release()
			spent = f.now
		}
		orders, acks := k.Tick(f.now, f.nodes["a"].State(), f.bank)
		for _, a := range acks {
			f.nodes["a"].Merge(a, f.now)
		}
		for _, o := range orders {
			if o.Kind == Fence && o.Target == (ID{Member: "b", Incarnation: 1}) {
				fenced = f.now
			}
		}
	}
	if spent < last+8*time.Second || spent+timing.MaxHoldTime > last+timing.SessionTimeout || fenced < last+timing.SessionTimeout {
		t.Errorf("last heard at %v, spent until %v, fenced at %v", last, spent, fenced)
	}
}

// TestCounts has counts come to the same at all, whatever was heard twice.
func TestCounts(t *testing.T) {
	f := newFleet(t, 1, "a", "b")
	for range 5 {
		f.nodes["a"].AddToCounter("repeats", 2, 1)
		f.talk("a", "b")
		f.talk("a", "b")
	}
	f.nodes["b"].AddToCounter("repeats", 0, 3)
	f.talk("b", "a")
	for _, m := range f.nodes {
		if n := m.State().CounterValue("repeats"); n != 2 {
			t.Errorf("%s counts %d", m.self, n)
		}
	}
	var id ID
	if err := id.UnmarshalText([]byte("a/b/7")); err != nil || id != (ID{Member: "a/b", Incarnation: 7}) {
		t.Errorf("%v, %v", id, err)
	}
}
