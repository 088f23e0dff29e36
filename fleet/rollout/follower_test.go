package rollout

import (
	"errors"
	"testing"

	"quincerail.example/quincerail/fleet/lease"
)

// TestFollower checks that directives of an old owner or an old record, and those
// that were rejected before, change nothing.
func TestFollower(t *testing.T) {
	var f Follower
	accept := func(term, index, number uint64, want bool) Directive {
		t.Helper()
		d := Directive{Token: lease.Token{Term: term, Index: 1}, Index: index, SettingsNumber: number, Patch: []byte{'0' + byte(number)}}
		if got, _ := f.Accept(d); got != want {
			t.Errorf("term %d, entry %d, settings %d: %v", term, index, number, got)
		}
		return d
	}
	f.RecordResult(accept(2, 10, 1, true), nil)
	accept(2, 10, 1, false) // in force
	f.RecordResult(accept(3, 12, 2, true), errors.New("no such class"))
	if n, rejected, reason := f.Settings(); n != 1 || rejected != 2 || reason != "no such class" || string(f.Patch()) != "1" {
		t.Errorf("settings %d, turned %d down: %s", n, rejected, reason)
	}
	accept(3, 12, 2, false) // rejected before
	var staleOwner *lease.StaleTokenError
	if _, err := f.Accept(Directive{Token: lease.Token{Term: 2, Index: 1}, Index: 20, SettingsNumber: 5}); !errors.As(err, &staleOwner) {
		t.Error("the directive of an old owner is accepted")
	}
	accept(3, 11, 5, false) // a record before
	var stale *StaleDirectiveError
	if _, err := f.Accept(Directive{Token: lease.Token{Term: 3, Index: 1}, Index: 11, SettingsNumber: 5}); !errors.As(err, &stale) ||
		stale.Index != 11 || stale.Highest != 12 {
		t.Errorf("error %v", err)
	}
	f.RecordResult(accept(3, 13, 0, true), nil)
	if n, rejected, _ := f.Settings(); n != 0 || rejected != 0 || f.Patch() == nil {
		t.Errorf("settings %d, rejected %d", n, rejected)
	}
}
