package rollout

import (
	"errors"
	"testing"

	"quincerail.example/quincerail/fleet/lease"
)

// TestFollower_IgnoresStaleAndRejectedDirectives checks that directives of an earlier
// owner, of an older record, or with settings that are in force or were rejected before,
// are not applied.
func TestFollower_IgnoresStaleAndRejectedDirectives(t *testing.T) {
	var f Follower
	accept := func(term, index, number uint64, want bool) Directive {
		t.Helper()
		d := Directive{Token: lease.Token{Term: term, Index: 1}, Index: index, SettingsNumber: number, Patch: []byte{'0' + byte(number)}}
		if got, _ := f.Accept(d); got != want {
			t.Errorf("Accept(term %d, index %d, settings %d) = %v, want %v", term, index, number, got, want)
		}
		return d
	}
	f.RecordResult(accept(2, 10, 1, true), nil)
	accept(2, 10, 1, false) // already in force
	f.RecordResult(accept(3, 12, 2, true), errors.New("no such class"))
	if n, rejected, reason := f.Settings(); n != 1 || rejected != 2 || reason != "no such class" || string(f.Patch()) != "1" {
		t.Errorf("Settings() = %d, %d, %q, Patch() = %s, want settings 1, and 2 rejected with the reason", n, rejected, reason, f.Patch())
	}
	accept(3, 12, 2, false) // rejected before
	var staleOwner *lease.StaleTokenError
	if _, err := f.Accept(Directive{Token: lease.Token{Term: 2, Index: 1}, Index: 20, SettingsNumber: 5}); !errors.As(err, &staleOwner) {
		t.Error("Accept(directive of an earlier owner) returned no *lease.StaleTokenError")
	}
	accept(3, 11, 5, false) // an older record
	var stale *StaleDirectiveError
	if _, err := f.Accept(Directive{Token: lease.Token{Term: 3, Index: 1}, Index: 11, SettingsNumber: 5}); !errors.As(err, &stale) ||
		stale.Index != 11 || stale.Highest != 12 {
		t.Errorf("Accept(directive of an older record) = %v, want a StaleDirectiveError with indexes 11 and 12", err)
	}
	f.RecordResult(accept(3, 13, 0, true), nil)
	if n, rejected, _ := f.Settings(); n != 0 || rejected != 0 || f.Patch() == nil {
		t.Errorf("Settings() = %d, %d after a directive for the own file, want 0, 0 and its patch", n, rejected)
	}
}
