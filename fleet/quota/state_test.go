package quota

import (
	"encoding/json"
	"errors"
	"testing"

	"quincerail.example/quincerail/internal/randomsteps"
)

// encode returns a state as JSON, in which equal states have the same text.
func encode(t *testing.T, s State) string {
	t.Helper()
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// randomState returns a state with a few members and accounts with arbitrary fields.
func randomState(s *randomsteps.Source) State {
	state := NewState()
	ids := []ID{{Member: "a", Incarnation: 1}, {Member: "a", Incarnation: 2}, {Member: "b", Incarnation: 1}, {Member: "c", Incarnation: 1}}
	for range 1 + s.Pick(5) {
		id := ids[s.Pick(len(ids))]
		member := &MemberState{
			Heartbeat: uint64(s.Pick(4)), Surplus: uint64(s.Pick(3)), Shortfall: uint64(s.Pick(3)),
			Transferred:     map[ID]uint64{ids[s.Pick(4)]: uint64(1 + s.Pick(3)), ids[s.Pick(4)]: uint64(1 + s.Pick(3))},
			TransferReports: map[ID]TransferReport{ids[s.Pick(4)]: {uint64(s.Pick(3)), uint64(s.Pick(3))}},
			Counters:        map[string]PNCounter{"x": {uint64(s.Pick(4)), uint64(s.Pick(4))}},
		}
		account := &Account{
			LogIndex: uint64(s.Pick(4)), Granted: uint64(s.Pick(3)), Fenced: s.Pick(2) == 1, Reclaimed: s.Pick(3) == 1,
			SettledTransfers: map[ID]int64{ids[s.Pick(4)]: int64(s.Pick(5)) - 2}, AckedHeartbeat: uint64(s.Pick(4)),
		}
		switch s.Pick(3) {
		case 0:
			member = nil
		case 1:
			account = nil
		}
		state.Join(Delta{id, member, account})
	}
	return state
}

// joinAll returns the join of states and doesn't modify them.
func joinAll(states ...State) State {
	joined := NewState()
	for _, s := range states {
		for id, member := range s.Members {
			joined.Join(Delta{ID: id, MemberState: member})
		}
		for id, account := range s.Accounts {
			joined.Join(Delta{ID: id, Account: account})
		}
	}
	return joined
}

// FuzzJoin checks on arbitrary states that Join is commutative, associative and
// idempotent, doesn't modify its argument, and reports no change for known entries.
func FuzzJoin(f *testing.F) {
	randomsteps.Fuzz(f, func(t *testing.T, s *randomsteps.Source) {
		a, b, c := randomState(s), randomState(s), randomState(s)
		before := encode(t, a)
		ab, ba := joinAll(a, b), joinAll(b, a)
		if encode(t, ab) != encode(t, ba) {
			t.Errorf("Join is not commutative:\n%s\n%s", encode(t, ab), encode(t, ba))
		}
		if left, right := encode(t, joinAll(ab, c)), encode(t, joinAll(a, joinAll(b, c))); left != right {
			t.Errorf("Join is not associative:\n%s\n%s", left, right)
		}
		if again := encode(t, joinAll(ab, a, b, ab)); again != encode(t, ab) {
			t.Errorf("Join is not idempotent:\n%s\n%s", again, encode(t, ab))
		}
		if encode(t, a) != before {
			t.Error("Join changed its argument")
		}
		for id, member := range a.Members {
			if _, changed := ab.Join(Delta{ID: id, MemberState: member}); changed {
				t.Errorf("Join reports a change for the state of %s, which was joined before", id)
			}
		}
	})
}

// TestCounterValue_IgnoresDuplicates checks that members agree on the value of a counter
// although they receive the same states twice.
func TestCounterValue_IgnoresDuplicates(t *testing.T) {
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
			t.Errorf("CounterValue of %s = %d, want 2", m.id, n)
		}
	}
}

func TestIDUnmarshalText(t *testing.T) {
	var id ID
	if err := id.UnmarshalText([]byte("a/b/7")); err != nil || id != (ID{Member: "a/b", Incarnation: 7}) {
		t.Errorf("UnmarshalText(a/b/7) = %v, %v, want member a/b, incarnation 7", id, err)
	}
	for _, text := range []string{"a", "a/", "a/b", "a/-1"} {
		var invalid *InvalidIDError
		if err := id.UnmarshalText([]byte(text)); !errors.As(err, &invalid) || invalid.Text != text {
			t.Errorf("UnmarshalText(%q) = %v, want an InvalidIDError with the text", text, err)
		}
	}
}
