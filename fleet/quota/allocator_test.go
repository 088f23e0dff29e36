package quota

import (
	"errors"
	"testing"
)

// newReclaimFleet returns a fleet of a, b and c with ten rights each, of which a
// has transferred some to b, was fenced, and c has heard of b's report. It also
// returns how many a transferred.
func newReclaimFleet(t *testing.T) (f *testFleet, transferred uint64) {
	t.Helper()
	f = newTestFleet(t, 30, "a", "b", "c")
	for _, name := range []string{"a", "b", "c"} {
		if err := f.apply(Command{Kind: Grant, Target: ID{Member: name, Incarnation: 1}, Amount: 10}, "a", "b", "c"); err != nil {
			t.Fatal(err)
		}
		f.acknowledge(name)
	}
	f.acquireAll("b")
	f.members["a"].HandleRequest(*f.members["b"].Tick(f.now).Request)
	f.exchange("a", "b") // a transfers rights; c hears nothing
	transferred = f.members["b"].Rights() - 10
	if transferred == 0 || f.members["a"].Rights() != 10-transferred {
		t.Fatalf("a transferred %d and holds %d", transferred, f.members["a"].Rights())
	}
	if err := f.apply(Command{Kind: Fence, Target: ID{Member: "a", Incarnation: 1}}, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	if f.acquireAll("a") != 0 {
		t.Error("a fenced member acquires")
	}
	fenced, live := f.allocator.fencedAndLive()
	if _, complete := collectReports(f.members["c"].State(), fenced, live); complete {
		t.Error("reports are complete before b's and c's")
	}
	f.exchange("b", "c")
	f.members["c"].Tick(f.now)
	return f, transferred
}

// TestReclaim fences a member that transferred rights to one other, of which the
// third has not heard. What it transferred is not reclaimed twice, and a new
// incarnation holds nothing of the old.
func TestReclaim(t *testing.T) {
	f, transferred := newReclaimFleet(t)
	a, b := ID{Member: "a", Incarnation: 1}, ID{Member: "b", Incarnation: 1}
	fenced, live := f.allocator.fencedAndLive()
	reports, complete := collectReports(f.members["c"].State(), fenced, live)
	if !complete {
		t.Fatalf("reports: %v", reports)
	}
	var missing *MissingReportError
	if err := f.apply(Command{Kind: Reclaim, Reports: map[ID]map[ID]TransferReport{a: {b: reports[a][b]}}}); !errors.As(err, &missing) ||
		*missing != (MissingReportError{Fenced: a, Reporter: ID{Member: "c", Incarnation: 1}}) {
		t.Errorf("reclaimed without c's report: %v", err)
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: reports}, "c"); err != nil {
		t.Fatal(err)
	}
	if f.allocator.Free != 10-transferred || f.members["b"].Rights() != 10+transferred {
		t.Errorf("free %d, b holds %d", f.allocator.Free, f.members["b"].Rights())
	}
	f.exchange("c", "b") // b learns the settled transfer, in place of the transfer itself
	if f.members["b"].Rights() != 10+transferred {
		t.Errorf("b holds %d", f.members["b"].Rights())
	}
	f.start("a", 2)
	f.exchange("b", "a")
	if f.members["a"].Rights() != 0 || f.acquireAll("a") != 0 {
		t.Error("a new incarnation holds what the old one held")
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: reports}); !errors.Is(err, ErrNothingToReclaim) {
		t.Errorf("reclaimed twice: %v", err)
	}
	if err := f.apply(Command{Kind: Grant, Target: a, Amount: 1}); !errors.Is(err, ErrFenced) {
		t.Errorf("granted to a fenced incarnation: %v", err)
	}
}

// TestRefusedCommands checks the reason of each refusal, and that a refused
// command changes nothing.
func TestRefusedCommands(t *testing.T) {
	a, b, none := ID{Member: "a", Incarnation: 1}, ID{Member: "b", Incarnation: 1}, ID{Member: "none", Incarnation: 1}
	f := newTestFleet(t, 10)
	for _, c := range []Command{{Kind: Grant, Target: a, Amount: 4}, {Kind: Grant, Target: b, Amount: 5}, {Kind: Fence, Target: b}} {
		if err := f.apply(c); err != nil {
			t.Fatal(err)
		}
	}
	inconsistent := map[ID]map[ID]TransferReport{b: {a: {Received: 6}}}
	for _, test := range []struct {
		name    string
		command Command
		reason  func(error) bool
	}{
		{"unknown kind", Command{Kind: "other"}, func(err error) bool { return errors.Is(err, ErrUnknownCommand) }},
		{"account exists", Command{Kind: Grant, Target: a}, func(err error) bool { return errors.Is(err, ErrAccountExists) }},
		{"grant to a fenced member", Command{Kind: Grant, Target: b, Amount: 1}, func(err error) bool { return errors.Is(err, ErrFenced) }},
		{"grant of more than is free", Command{Kind: Grant, Target: a, Amount: 2}, func(err error) bool {
			var insufficient *InsufficientRightsError
			return errors.As(err, &insufficient) && *insufficient == InsufficientRightsError{Requested: 2, Free: 1}
		}},
		{"fence without an account", Command{Kind: Fence, Target: none}, func(err error) bool { return errors.Is(err, ErrNoAccount) }},
		{"fence twice", Command{Kind: Fence, Target: b}, func(err error) bool { return errors.Is(err, ErrFenced) }},
		{"inconsistent reports", Command{Kind: Reclaim, Reports: inconsistent}, func(err error) bool {
			var reports *InconsistentReportsError
			return errors.As(err, &reports) && reports.Rights == -1
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := f.apply(test.command)
			var refused *CommandError
			if !errors.As(err, &refused) || refused.Kind != test.command.Kind || refused.Target != test.command.Target || !test.reason(err) {
				t.Errorf("refused with %v", err)
			}
			if f.allocator.Free != 1 || f.allocator.Accounts[a].Granted != 4 || len(f.allocator.Accounts) != 2 {
				t.Errorf("a refused command changed the allocator: %+v", f.allocator)
			}
		})
	}
}
