package lease

import (
	"errors"
	"testing"
)

func TestFenceAdmit_RejectsTokensBelowHighest(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		token Token
		stale bool
	}{
		{Token{1, 5}, false},
		{Token{1, 5}, false},
		{Token{2, 3}, false},
		{Token{1, 9}, true},
		{Token{2, 2}, true},
	} {
		err := f.Admit("probe", c.token)
		var stale *StaleTokenError
		if errors.As(err, &stale) != c.stale {
			t.Errorf("Admit(probe, %v) = %v, want a *StaleTokenError: %t", c.token, err, c.stale)
		} else if c.stale && *stale != (StaleTokenError{"probe", c.token, Token{2, 3}}) {
			t.Errorf("Admit(probe, %v) = %+v, want the highest token 2.3", c.token, stale)
		}
	}
	if f.Admit("other", Token{1, 1}) != nil || f.Highest()["probe"] != (Token{2, 3}) {
		t.Error("Admit of one lease depends on, or changes, the highest token of another")
	}
}
