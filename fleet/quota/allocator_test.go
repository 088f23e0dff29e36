package quota

import (
	"errors"
	"testing"
)

// newReclaimFleet returns a fleet of a, b and c with ten rights each. a has
// transferred some of its rights to b and was fenced, and c has received b's transfer
// report. It also returns how many rights a transferred.
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
	f.exchange("a", "b") // a transfers rights; c doesn't learn of it
	transferred = f.members["b"].Rights() - 10
	if transferred == 0 || f.members["a"].Rights() != 10-transferred {
		t.Fatalf("member a transferred %d of 10 rights and holds %d, want at least 1 transferred and the rest held", transferred, f.members["a"].Rights())
	}
	if err := f.apply(Command{Kind: Fence, Target: ID{Member: "a", Incarnation: 1}}, "a", "b", "c"); err != nil {
		t.Fatal(err)
	}
	if f.acquireAll("a") != 0 {
		t.Error("a fenced member acquired units")
	}
	fenced, live := f.allocator.fencedAndLive()
	if _, complete := collectReports(f.members["c"].State(), fenced, live); complete {
		t.Error("collectReports returned complete before c had the reports of b and c")
	}
	f.exchange("b", "c")
	f.members["c"].Tick(f.now)
	return f, transferred
}

// TestReclaim_CountsTransfersOfFencedMemberOnce fences a member that transferred rights
// to another one, while a third has not learned of the transfer. The transferred rights
// must stay with the recipient and not be reclaimed, and a new incarnation of the fenced
// member must not hold the rights of the old one.
func TestReclaim_CountsTransfersOfFencedMemberOnce(t *testing.T) {
	f, transferred := newReclaimFleet(t)
	a, b := ID{Member: "a", Incarnation: 1}, ID{Member: "b", Incarnation: 1}
	fenced, live := f.allocator.fencedAndLive()
	reports, complete := collectReports(f.members["c"].State(), fenced, live)
	if !complete {
		t.Fatalf("collectReports = %v, incomplete; want the reports of b and c", reports)
	}
	var missing *MissingReportError
	if err := f.apply(Command{Kind: Reclaim, Reports: map[ID]map[ID]TransferReport{a: {b: reports[a][b]}}}); !errors.As(err, &missing) ||
		*missing != (MissingReportError{Fenced: a, Reporter: ID{Member: "c", Incarnation: 1}}) {
		t.Errorf("Apply(Reclaim without c's report) = %v, want a MissingReportError for c", err)
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: reports}, "c"); err != nil {
		t.Fatal(err)
	}
	if f.allocator.Free != 10-transferred || f.members["b"].Rights() != 10+transferred {
		t.Errorf("after Reclaim: %d rights are free and b holds %d, want %d free and %d held", f.allocator.Free, f.members["b"].Rights(), 10-transferred, 10+transferred)
	}
	f.exchange("c", "b") // b receives the settled transfer, which replaces the transfer itself
	if f.members["b"].Rights() != 10+transferred {
		t.Errorf("b holds %d rights after the settlement, want %d", f.members["b"].Rights(), 10+transferred)
	}
	f.start("a", 2)
	f.exchange("b", "a")
	if f.members["a"].Rights() != 0 || f.acquireAll("a") != 0 {
		t.Error("a new incarnation holds the rights of the fenced one")
	}
	if err := f.apply(Command{Kind: Reclaim, Reports: reports}); !errors.Is(err, ErrNothingToReclaim) {
		t.Errorf("second Apply(Reclaim) = %v, want %v", err, ErrNothingToReclaim)
	}
	if err := f.apply(Command{Kind: Grant, Target: a, Amount: 1}); !errors.Is(err, ErrFenced) {
		t.Errorf("Apply(Grant to a fenced incarnation) = %v, want %v", err, ErrFenced)
	}
}

// TestApply_RejectsInvalidCommands checks the reason of each rejection, and that a
// rejected command changes nothing.
func TestApply_RejectsInvalidCommands(t *testing.T) {
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
		{"unknown command kind", Command{Kind: "other"}, func(err error) bool { return errors.Is(err, ErrUnknownCommand) }},
		{"empty grant to an existing account", Command{Kind: Grant, Target: a}, func(err error) bool { return errors.Is(err, ErrAccountExists) }},
		{"grant to a fenced member", Command{Kind: Grant, Target: b, Amount: 1}, func(err error) bool { return errors.Is(err, ErrFenced) }},
		{"grant of more than the free rights", Command{Kind: Grant, Target: a, Amount: 2}, func(err error) bool {
			var insufficient *InsufficientRightsError
			return errors.As(err, &insufficient) && *insufficient == InsufficientRightsError{Requested: 2, Free: 1}
		}},
		{"fence without an account", Command{Kind: Fence, Target: none}, func(err error) bool { return errors.Is(err, ErrNoAccount) }},
		{"fence of a fenced member", Command{Kind: Fence, Target: b}, func(err error) bool { return errors.Is(err, ErrFenced) }},
		{"reclaim with inconsistent reports", Command{Kind: Reclaim, Reports: inconsistent}, func(err error) bool {
			var reports *InconsistentReportsError
			return errors.As(err, &reports) && reports.Rights == -1
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := f.apply(test.command)
			var refused *CommandError
			if !errors.As(err, &refused) || refused.Kind != test.command.Kind || refused.Target != test.command.Target || !test.reason(err) {
				t.Errorf("Apply(%+v) = %v, want a CommandError with this command and the expected reason", test.command, err)
			}
			if f.allocator.Free != 1 || f.allocator.Accounts[a].Granted != 4 || len(f.allocator.Accounts) != 2 {
				t.Errorf("the rejected command changed the allocator to %+v", f.allocator)
			}
		})
	}
}
