package lease

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var timing = Timing{Duration: time.Second, ClockDrift: 0.05, RenewInterval: 250 * time.Millisecond}

func newMember(t *testing.T, name string) *Client {
	t.Helper()
	m, err := NewClient(Owner{name, 1}, timing, []string{"probe"})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestLife takes a lease, renews it, lets it run out and pass on, and gives it up.
func TestLife(t *testing.T) {
	a, b := newMember(t, "a"), newMember(t, "b")
	index := uint64(0)
	commit := func(now time.Duration, cs []Command) (moves []OwnerChange) {
		for _, c := range cs {
			index++
			at := Token{1, index}
			if m := a.Apply(c, at, now+10*time.Millisecond); m != nil {
				moves = append(moves, *m)
			}
			b.Apply(c, at, now+50*time.Hour) // another clock
		}
		return moves
	}
	take := a.Tick(0, true)
	if len(take) != 1 || len(b.Tick(50*time.Hour, false)) != 0 {
		t.Fatalf("asks: %v", take)
	}
	if moves := commit(0, take); !slices.Equal(moves, []OwnerChange{{"probe", Owner{}, Owner{"a", 1}, Token{1, 1}}}) {
		t.Fatalf("moves: %v", moves)
	}
	if token, ok := a.Holds("probe", 949*time.Millisecond); !ok || token != (Token{1, 1}) {
		t.Error("the owner does not hold to its end")
	}
	if _, ok := a.Holds("probe", 950*time.Millisecond); ok {
		t.Error("the owner holds beyond the term less the drift")
	}
	if cs := a.Tick(240*time.Millisecond, true); len(cs) != 0 {
		t.Errorf("renews ahead of time: %v", cs)
	}
	if cs := commit(300*time.Millisecond, a.Tick(300*time.Millisecond, false)); cs != nil {
		t.Errorf("a renewal moved the lease: %v", cs)
	}
	if _, ok := a.Holds("probe", 1200*time.Millisecond); !ok {
		t.Error("a renewal gives no more time")
	}
	if cs := b.Tick(50*time.Hour+1300*time.Millisecond, true); len(cs) != 0 {
		t.Errorf("asked before the renewed term ran out: %v", cs)
	}
	late := a.Tick(600*time.Millisecond, false) // comes after b's
	cs := b.Tick(50*time.Hour+1350*time.Millisecond, true)
	if moves := commit(1350*time.Millisecond, cs); len(moves) != 1 || moves[0].To.Member != "b" {
		t.Fatalf("moves: %v from %v", moves, cs)
	}
	if moves := commit(1360*time.Millisecond, late); moves != nil {
		t.Errorf("a renewal after the lease has passed on: %v", moves)
	}
	if _, ok := a.Holds("probe", 700*time.Millisecond); ok {
		t.Error("holds what it knows to have passed on")
	}
	give := b.Resign(50*time.Hour + 1400*time.Millisecond)
	if _, ok := b.Holds("probe", 50*time.Hour+1400*time.Millisecond); ok || len(give) != 1 {
		t.Error("holds what it gives up")
	}
	commit(1400*time.Millisecond, give)
	if cs := a.Tick(1700*time.Millisecond, true); len(cs) != 1 || cs[0].Kind != Acquire {
		t.Errorf("a lease that was given up is free at once: %v", cs)
	}
}

// TestRestore has a member that catches up by a snapshot hear of the moves in
// it, stop holding what has passed on, and wait a whole term for the owner.
func TestRestore(t *testing.T) {
	a, b := newMember(t, "a"), newMember(t, "b")
	a.Apply(a.Tick(0, true)[0], Token{1, 1}, 0)
	b.Apply(Command{Kind: Acquire, Lease: "probe", Owner: Owner{"b", 1}, Nonce: 9}, Token{2, 5}, 0)
	moves := a.Restore(*b.Table(), 500*time.Millisecond)
	if !slices.Equal(moves, []OwnerChange{{"probe", Owner{"a", 1}, Owner{"b", 1}, Token{2, 5}}}) {
		t.Errorf("moves: %v", moves)
	}
	if _, ok := a.Holds("probe", 500*time.Millisecond); ok {
		t.Error("holds what has passed on")
	}
	if len(a.Tick(1540*time.Millisecond, true)) != 0 || len(a.Tick(1550*time.Millisecond, true)) != 1 {
		t.Error("does not ask a term and the drift after the snapshot")
	}
}

// TestTables has two voters hold the same table after the same log, one of them
// by way of a snapshot in its middle, whatever the commands (seeded).
func TestTables(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	var a, b Table
	granted := 0
	for i := range uint64(2000) {
		g := a.Grant("probe")
		c := Command{Kind: []CommandKind{Acquire, Renew, Release}[rng.IntN(3)], Lease: "probe",
			Owner: Owner{string(rune('a' + rng.IntN(3))), 1}, Token: g.Token, Renewals: g.Renewals - uint64(rng.IntN(2))}
		at := Token{1 + i/500, i + 1}
		ok := a.Apply(c, at)
		if ok != b.Apply(c, at) {
			t.Fatalf("%d: the voters differ", i)
		}
		if next := a.Grant("probe"); next.Token.Compare(g.Token) < 0 {
			t.Fatalf("%d: token %v after %v", i, next.Token, g.Token)
		} else if ok {
			granted++
		}
		if i == 1000 {
			text, err := a.MarshalJSON()
			if err != nil {
				t.Fatal(err)
			}
			if err := b.UnmarshalJSON(text); err != nil {
				t.Fatal(err)
			}
		}
	}
	if a.Grant("probe") != b.Grant("probe") || granted < 500 {
		t.Errorf("%v, %v, %d granted", a.Grant("probe"), b.Grant("probe"), granted)
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		token Token
		stale bool
	}{{Token{1, 5}, false}, {Token{1, 5}, false}, {Token{2, 3}, false}, {Token{1, 9}, true}, {Token{2, 2}, true}} {
		err := f.Admit("probe", c.token)
		var se *StaleTokenError
		if errors.As(err, &se) != c.stale || c.stale && se.Highest != (Token{2, 3}) {
			t.Errorf("%v: %v", c.token, err)
		}
	}
	if f.Admit("other", Token{1, 1}) != nil || f.Highest()["probe"] != (Token{2, 3}) {
		t.Error("leases share a fence")
	}
}

func TestTiming(t *testing.T) {
	for _, bad := range []Timing{{}, {time.Second, 0.3, 1}, {time.Second, 0.05, time.Second}} {
		if bad.Validate() == nil {
			t.Errorf("%+v passed", bad)
		}
	}
}
