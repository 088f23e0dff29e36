package idempotency

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

const (
	testWindow   = 20 * time.Second // window of the tests' keys
	testLateness = 7 * time.Second  // longest time from an attempt's arrival to Register
	testBodyHash = 7
)

// attempt returns an attempt of the key k that arrived at a time.
func attempt(id string, arrivedAt time.Duration) Attempt {
	return Attempt{ID: id, Key: "k", Class: "gift", BodyHash: testBodyHash, ArrivedAt: arrivedAt}
}

// register registers an attempt and checks which one it duplicates.
func register(t *testing.T, table *Table, a Attempt, wantDuplicateOf string) *Entry {
	t.Helper()
	e, duplicateOf := table.Register(a)
	if duplicateOf != wantDuplicateOf {
		t.Errorf("Register(%s): duplicateOf = %q, want %q", a.ID, duplicateOf, wantDuplicateOf)
	}
	return e
}

// run registers an attempt, claims its key, stores a result and unregisters the attempt.
func run(t *testing.T, table *Table, a Attempt, result string) *Entry {
	t.Helper()
	e := register(t, table, a, "")
	table.Claim(e, a, testWindow)
	table.StoreResult(e, Payload{Body: []byte(result)})
	table.Unregister(e, a.ID)
	return e
}

// wantEmpty checks that the table has no entry and counts no bytes.
func wantEmpty(t *testing.T, table *Table) {
	t.Helper()
	if len(table.entries) != 0 || table.bytes != 0 || len(table.withResult) != 0 {
		t.Errorf("table has %d entries, %d results and %d bytes, want none", len(table.entries), len(table.withResult), table.bytes)
	}
}

// TestUnregister_ReturnsWaitingDuplicates registers duplicates of an attempt that runs: those
// that still wait when it ends are returned, in the order in which they started to wait.
func TestUnregister_ReturnsWaitingDuplicates(t *testing.T) {
	table := NewTable(0)
	owner := attempt("owner", 0)
	e := register(t, table, owner, "")
	table.Claim(e, owner, testWindow)
	for _, id := range []string{"a", "b", "c"} {
		register(t, table, attempt(id, time.Second), "owner")
		if !e.AwaitOwner(id) {
			t.Errorf("AwaitOwner(%s) = false, want true", id)
		}
	}
	if e.AwaitOwner("owner") {
		t.Error("AwaitOwner(owner) = true, want false")
	}
	if waiting := table.Unregister(e, "b"); len(waiting) != 0 {
		t.Errorf("Unregister of a duplicate = %v, want none", waiting)
	}
	table.StoreResult(e, Payload{Body: []byte("thanks")})
	if waiting := table.Unregister(e, "owner"); !slices.Equal(waiting, []string{"a", "c"}) {
		t.Errorf("Unregister of the owner = %v, want [a c]", waiting)
	}
	if !e.Completed() || string(e.Result().Body) != "thanks" || e.BodyHash() != testBodyHash || e.AwaitOwner("a") {
		t.Errorf("entry after the run = %+v, want it completed with its result", e)
	}
}

// TestUnregister_RemovesWaitingAttempt unregisters a waiting attempt and registers another one
// with its id: the new attempt is not among those that wait.
func TestUnregister_RemovesWaitingAttempt(t *testing.T) {
	table := NewTable(0)
	owner := attempt("owner", 0)
	e := register(t, table, owner, "")
	table.Claim(e, owner, testWindow)
	register(t, table, attempt("a", 0), "owner")
	e.AwaitOwner("a")
	table.Unregister(e, "a")
	register(t, table, attempt("a", time.Second), "owner")
	if waiting := table.Unregister(e, "owner"); len(waiting) != 0 {
		t.Errorf("Unregister of the owner = %v, want none", waiting)
	}
}

// TestRegister_AtWindowEdges registers attempts around the end of a key's window: those that
// arrived before its end are duplicates of the run, and a later one becomes the owner.
func TestRegister_AtWindowEdges(t *testing.T) {
	const end = testWindow + WindowTolerance
	for name, tc := range map[string]struct {
		arrivedAt   time.Duration
		duplicateOf string
	}{
		"before the run":        {-time.Second, "first"},
		"with the run":          {0, "first"},
		"at the last moment":    {end - 1, "first"},
		"at the window's end":   {end, ""},
		"long after the window": {2 * end, ""},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(0)
			e := run(t, table, attempt("first", 0), "thanks")
			if e.ExpiresAt() != end || e.RanInWindow(tc.arrivedAt) != (tc.duplicateOf != "") {
				t.Errorf("ExpiresAt() = %v, want %v; RanInWindow(%v) = %t, want %t", e.ExpiresAt(), end, tc.arrivedAt, e.RanInWindow(tc.arrivedAt), tc.duplicateOf != "")
			}
			register(t, table, attempt("second", tc.arrivedAt), tc.duplicateOf)
		})
	}
}

// TestReleaseClaim_AllowsNextRun releases the claim of an attempt that never ran: the next
// attempt can own the key, and the entry is removed with the last attempt.
func TestReleaseClaim_AllowsNextRun(t *testing.T) {
	table := NewTable(0)
	first, second := attempt("first", 0), attempt("second", 0)
	e := register(t, table, first, "")
	table.Claim(e, first, testWindow)
	register(t, table, second, "first")
	table.ReleaseClaim(e, "second") // it has none
	if e.RanAttemptID() != "first" {
		t.Errorf("RanAttemptID() = %q, want first", e.RanAttemptID())
	}
	table.ReleaseClaim(e, "first")
	table.Unregister(e, "first")
	if e.RanInWindow(0) {
		t.Error("RanInWindow(0) = true after ReleaseClaim, want false")
	}
	table.TakeOwnership(e, second)
	register(t, table, attempt("third", 0), "second")
	table.Unregister(e, "second")
	table.Unregister(e, "third")
	wantEmpty(t, table)
}

// TestTakeOwnership_KeepsActiveOwner calls TakeOwnership for a key that has run in its window,
// or whose owner has not ended: the owner stays.
func TestTakeOwnership_KeepsActiveOwner(t *testing.T) {
	table := NewTable(0)
	e := register(t, table, attempt("first", 0), "")
	second := attempt("second", 0)
	register(t, table, second, "first")
	table.TakeOwnership(e, second)
	register(t, table, attempt("third", 0), "first")
	table.Claim(e, attempt("first", 0), testWindow)
	table.Unregister(e, "first")
	table.TakeOwnership(e, second)
	register(t, table, attempt("fourth", 0), "first")
}

// TestMatches_BodyAndClassWithinWindow compares attempts with a key that has run: body and
// class have to match until its window is over.
func TestMatches_BodyAndClassWithinWindow(t *testing.T) {
	sameClass := func(a, b string) bool { return a == b }
	anyClass := func(string, string) bool { return true }
	otherBody, otherClass, otherKey := attempt("a", 1), attempt("a", 1), attempt("a", 1)
	otherBody.BodyHash++
	otherClass.Class = "pledge"
	otherKey.Key, otherKey.BodyHash = "other", 0
	late := otherBody
	late.ArrivedAt = testWindow + WindowTolerance
	for name, tc := range map[string]struct {
		attempt     Attempt
		sameRequest func(a, b string) bool
		want        bool
	}{
		"same request":           {attempt("a", 1), sameClass, true},
		"other body":             {otherBody, sameClass, false},
		"other class":            {otherClass, sameClass, false},
		"renamed class":          {otherClass, anyClass, true},
		"unknown key":            {otherKey, sameClass, true},
		"other body, new window": {late, sameClass, true},
	} {
		table := NewTable(0)
		run(t, table, attempt("first", 0), "thanks")
		if got := table.Matches(tc.attempt, tc.sameRequest); got != tc.want {
			t.Errorf("%s: Matches = %t, want %t", name, got, tc.want)
		}
	}
}

// TestExpire_AfterWindowAndLateness checks that an entry is removed only after the window and the
// allowed lateness, and not while an attempt is registered.
func TestExpire_AfterWindowAndLateness(t *testing.T) {
	table := NewTable(0)
	table.AllowLateness(testLateness)
	table.AllowLateness(testLateness / 2) // less than before: no change
	run(t, table, attempt("first", 0), "thanks")
	const end = testWindow + WindowTolerance + testLateness
	table.Expire(end - 1)
	if table.Lookup("k") == nil {
		t.Fatal("entry removed within the window and lateness")
	}
	table.Expire(end) // within expireInterval of the last pass
	if table.Lookup("k") == nil {
		t.Error("entry removed within expireInterval of the last pass")
	}
	e := register(t, table, attempt("open", 0), "first")
	table.Expire(end + expireInterval)
	if table.Lookup("k") == nil {
		t.Error("entry removed while an attempt is registered")
	}
	table.Unregister(e, "open")
	table.Expire(end + 2*expireInterval)
	wantEmpty(t, table)
}

// TestFull_CountsEntriesWithoutResults adds keys until the entries alone exceed the bound.
func TestFull_CountsEntriesWithoutResults(t *testing.T) {
	table := NewTable(2 * EntryOverheadBytes)
	for i := range 3 {
		if table.Full() {
			t.Errorf("Full() = true with %d keys, want false", i)
		}
		table.Register(Attempt{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)})
	}
	if !table.Full() || len(table.Entries()) != 3 {
		t.Errorf("Full() = %t, %d entries; want true, 3", table.Full(), len(table.Entries()))
	}
	if NewTable(0).Full() {
		t.Error("Full() = true for a table without a bound, want false")
	}
}

// TestApply_ReplicatesEachState applies each state of a key in one table to another table.
func TestApply_ReplicatesEachState(t *testing.T) {
	expiresAt := time.Unix(1_800_000_000, 0)
	source, target := NewTable(0), NewTable(0)
	owner := attempt("owner", 0)
	from := register(t, source, owner, "")
	source.Claim(from, owner, testWindow)

	to, waiting := target.Apply(from.State(expiresAt), testWindow)
	if len(waiting) != 0 || !to.RunsRemotely() || to.Completed() || to.RanAttemptID() != "owner" {
		t.Fatalf("claimed: entry = %+v, waiting = %v, want RunsRemotely and no waiting duplicates", to, waiting)
	}
	register(t, target, attempt("duplicate", 0), "owner")
	if !to.AwaitOwner("duplicate") {
		t.Error("AwaitOwner = false while the key runs in a peer, want true")
	}

	source.StoreResult(from, Payload{Body: []byte("thanks")})
	source.Unregister(from, "owner")
	to, waiting = target.Apply(from.State(expiresAt), testWindow)
	if !slices.Equal(waiting, []string{"duplicate"}) || to.RunsRemotely() || !to.Completed() {
		t.Errorf("completed: entry = %+v, waiting = %v, want the entry completed and waiting = [duplicate]", to, waiting)
	}
	if got, want := to.State(expiresAt), from.State(expiresAt); !reflect.DeepEqual(got, want) {
		t.Errorf("replicated state = %+v, want %+v", got, want)
	}

	target.Unregister(to, "duplicate")
	target.Apply(KeyState{Key: "k", Class: "gift", Completed: true}, testWindow) // never ran
	wantEmpty(t, target)
}

// TestStoreResult_EvictsOldestFirst stores more results than the table's bound allows. The
// bound is never exceeded, the oldest result is evicted, and the record that its key has run
// stays.
func TestStoreResult_EvictsOldestFirst(t *testing.T) {
	table := NewTable(10 * EntryOverheadBytes)
	var first *Entry
	for i := range 8 {
		a := Attempt{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)}
		e, _ := table.Register(a)
		table.Claim(e, a, testWindow)
		table.StoreResult(e, Payload{Body: make([]byte, EntryOverheadBytes)})
		if i == 0 {
			first = e
		}
		table.Unregister(e, a.ID)
		if table.bytes > table.maxBytes {
			t.Fatalf("table has %d bytes, want at most %d", table.bytes, table.maxBytes)
		}
	}
	if first.Result() != nil || first.RanAttemptID() != "0" {
		t.Errorf("oldest entry: Result() = %v, RanAttemptID() = %q, want nil and \"0\"", first.Result(), first.RanAttemptID())
	}
	table.Expire(testWindow + time.Second)
	if len(table.entries) != 0 || table.bytes != 0 {
		t.Errorf("table has %d entries and %d bytes after the window, want none", len(table.entries), table.bytes)
	}
}
