package idempotency

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"
)

const (
	testWindow   = 20 * time.Second // of the tests' keys
	testLateness = 7 * time.Second  // how late an attempt may be registered
	testBodyHash = 7
)

// attempt is an attempt of the tests' key that arrived at a time.
func attempt(id string, arrivedAt time.Duration) Attempt {
	return Attempt{ID: id, Key: "k", Class: "gift", BodyHash: testBodyHash, ArrivedAt: arrivedAt}
}

// register registers an attempt and checks which one it duplicates.
func register(t *testing.T, table *Table, a Attempt, wantDuplicateOf string) *Entry {
	t.Helper()
	e, duplicateOf := table.Register(a)
	if duplicateOf != wantDuplicateOf {
		t.Errorf("attempt %s duplicates %q, want %q", a.ID, duplicateOf, wantDuplicateOf)
	}
	return e
}

// run registers an attempt that claims its key and ends with a result.
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
		t.Errorf("%d entries, %d results and %d bytes, want none", len(table.entries), len(table.withResult), table.bytes)
	}
}

// TestDuplicatesWait registers duplicates of an attempt that runs: those that still wait
// when it ends are returned, in their order.
func TestDuplicatesWait(t *testing.T) {
	table := NewTable(0)
	owner := attempt("owner", 0)
	e := register(t, table, owner, "")
	table.Claim(e, owner, testWindow)
	for _, id := range []string{"a", "b", "c"} {
		register(t, table, attempt(id, time.Second), "owner")
		if !e.Await(id) {
			t.Errorf("%s does not wait", id)
		}
	}
	if e.Await("owner") {
		t.Error("the owner waits for itself")
	}
	if waiting := table.Unregister(e, "b"); len(waiting) != 0 {
		t.Errorf("a duplicate's end returns %v", waiting)
	}
	table.StoreResult(e, Payload{Body: []byte("thanks")})
	if waiting := table.Unregister(e, "owner"); !slices.Equal(waiting, []string{"a", "c"}) {
		t.Errorf("the owner's end returns %v", waiting)
	}
	if !e.Completed() || string(e.Result().Body) != "thanks" || e.BodyHash() != testBodyHash || e.Await("a") {
		t.Errorf("after the run: %+v", e)
	}
}

// TestReusedAttemptID has an attempt that waited leave, and its id come again: the new
// attempt is not among those that wait.
func TestReusedAttemptID(t *testing.T) {
	table := NewTable(0)
	owner := attempt("owner", 0)
	e := register(t, table, owner, "")
	table.Claim(e, owner, testWindow)
	register(t, table, attempt("a", 0), "owner")
	e.Await("a")
	table.Unregister(e, "a")
	register(t, table, attempt("a", time.Second), "owner")
	if waiting := table.Unregister(e, "owner"); len(waiting) != 0 {
		t.Errorf("%v waited, want none", waiting)
	}
}

// TestWindow registers attempts around the end of a key's window: those that arrived in
// it duplicate the run, later ones own the key anew.
func TestWindow(t *testing.T) {
	const end = testWindow + WindowTolerance
	for name, x := range map[string]struct {
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
			if e.ExpiresAt() != end || e.RanInWindow(x.arrivedAt) != (x.duplicateOf != "") {
				t.Errorf("expires at %v, ran in the window %t", e.ExpiresAt(), e.RanInWindow(x.arrivedAt))
			}
			register(t, table, attempt("second", x.arrivedAt), x.duplicateOf)
		})
	}
}

// TestReleaseClaim releases the claim of an attempt that never ran: the next attempt is
// no duplicate of it, and without one the entry is removed.
func TestReleaseClaim(t *testing.T) {
	table := NewTable(0)
	first, second := attempt("first", 0), attempt("second", 0)
	e := register(t, table, first, "")
	table.Claim(e, first, testWindow)
	register(t, table, second, "first")
	table.ReleaseClaim(e, "second") // it has none
	if e.RanAttemptID() != "first" {
		t.Errorf("%q has the claim", e.RanAttemptID())
	}
	table.ReleaseClaim(e, "first")
	table.Unregister(e, "first")
	if e.RanInWindow(0) {
		t.Error("a released claim counts as run")
	}
	table.TakeOwnership(e, second)
	register(t, table, attempt("third", 0), "second")
	table.Unregister(e, "second")
	table.Unregister(e, "third")
	wantEmpty(t, table)
}

// TestRetain keeps the owner of a key that has run in its window, or has not ended.
func TestRetain(t *testing.T) {
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

// TestMatches compares attempts with a key that has run: body and class have to match
// until its window is over.
func TestMatches(t *testing.T) {
	sameClass := func(a, b string) bool { return a == b }
	anyClass := func(string, string) bool { return true }
	otherBody, otherClass, otherKey := attempt("a", 1), attempt("a", 1), attempt("a", 1)
	otherBody.BodyHash++
	otherClass.Class = "pledge"
	otherKey.Key, otherKey.BodyHash = "other", 0
	late := otherBody
	late.ArrivedAt = testWindow + WindowTolerance
	for name, x := range map[string]struct {
		attempt     Attempt
		sameRequest func(a, b string) bool
		want        bool
	}{
		"same request":           {attempt("a", 1), sameClass, true},
		"other body":             {otherBody, sameClass, false},
		"other class":            {otherClass, sameClass, false},
		"class of one request":   {otherClass, anyClass, true},
		"unknown key":            {otherKey, sameClass, true},
		"other body, new window": {late, sameClass, true},
	} {
		table := NewTable(0)
		run(t, table, attempt("first", 0), "thanks")
		if got := table.Matches(x.attempt, x.sameRequest); got != x.want {
			t.Errorf("%s: %t, want %t", name, got, x.want)
		}
	}
}

// TestExpire removes an entry once its window is over for attempts that are registered
// as late as allowed, and none that an attempt refers to.
func TestExpire(t *testing.T) {
	table := NewTable(0)
	table.AllowLateness(testLateness)
	table.AllowLateness(testLateness / 2) // less than before: no change
	run(t, table, attempt("first", 0), "thanks")
	const end = testWindow + WindowTolerance + testLateness
	table.Expire(end - 1)
	if table.Lookup("k") == nil {
		t.Fatal("removed within the window")
	}
	table.Expire(end) // within expireInterval of the last pass
	if table.Lookup("k") == nil {
		t.Error("a pass within expireInterval of the last one")
	}
	e := register(t, table, attempt("open", 0), "first")
	table.Expire(end + expireInterval)
	if table.Lookup("k") == nil {
		t.Error("removed with an attempt that refers to it")
	}
	table.Unregister(e, "open")
	table.Expire(end + 2*expireInterval)
	wantEmpty(t, table)
}

// TestFull fills a table with keys: it is full beyond its bound even without results.
func TestFull(t *testing.T) {
	table := NewTable(2 * EntryOverheadBytes)
	for i := range 3 {
		if table.Full() {
			t.Errorf("full with %d keys", i)
		}
		table.Register(Attempt{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i)})
	}
	if !table.Full() || len(table.Entries()) != 3 {
		t.Errorf("full: %t with %d entries", table.Full(), len(table.Entries()))
	}
	if NewTable(0).Full() {
		t.Error("a table without a bound is full")
	}
}

// TestApply replicates a key from one table to another in each of its states.
func TestApply(t *testing.T) {
	window := time.Unix(1_800_000_000, 0)
	source, target := NewTable(0), NewTable(0)
	owner := attempt("owner", 0)
	from := register(t, source, owner, "")
	source.Claim(from, owner, testWindow)

	to, waiting := target.Apply(from.State(window), testWindow)
	if len(waiting) != 0 || !to.RunsRemotely() || to.Completed() || to.RanAttemptID() != "owner" {
		t.Fatalf("claimed: %+v, %v waited", to, waiting)
	}
	register(t, target, attempt("waits", 0), "owner")
	if !to.Await("waits") {
		t.Error("a duplicate does not wait for what runs in a peer")
	}

	source.StoreResult(from, Payload{Body: []byte("thanks")})
	source.Unregister(from, "owner")
	to, waiting = target.Apply(from.State(window), testWindow)
	if !slices.Equal(waiting, []string{"waits"}) || to.RunsRemotely() || !to.Completed() {
		t.Errorf("completed: %+v, %v waited", to, waiting)
	}
	if got, want := to.State(window), from.State(window); !reflect.DeepEqual(got, want) {
		t.Errorf("replicated as %+v, want %+v", got, want)
	}

	target.Unregister(to, "waits")
	target.Apply(KeyState{Key: "k", Class: "gift", Completed: true}, testWindow) // it never ran
	wantEmpty(t, target)
}

// TestResultsBounded stores more results than the table's bound allows: it is never
// exceeded, the oldest result is evicted, and what says that its key has run stays.
func TestResultsBounded(t *testing.T) {
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
			t.Fatalf("%d bytes kept, %d at most", table.bytes, table.maxBytes)
		}
	}
	if first.Result() != nil || first.RanAttemptID() != "0" {
		t.Errorf("the oldest entry has result %v and ran %q; its result had to go, and its mark to stay", first.Result(), first.RanAttemptID())
	}
	table.Expire(testWindow + time.Second)
	if len(table.entries) != 0 || table.bytes != 0 {
		t.Errorf("%d entries and %d bytes after the window", len(table.entries), table.bytes)
	}
}
