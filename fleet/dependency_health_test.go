package fleet

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/logging"
)

// TestDependencyHealthAges merges updates by token and number: stale ones are
// refused, and one that nothing follows counts as unknown.
func TestDependencyHealthAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &healthView{log: logging.Discard(), fence: &lease.Fence{}, latest: map[string]DependencyHealth{}, maxAge: 3 * time.Second}
		if s := b.current().State; s != DependencyUnknown {
			t.Errorf("before any word: %s", s)
		}
		for _, c := range []struct {
			j    DependencyHealth
			news bool
			want DependencyState
		}{
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 2, State: DependencyGood}, true, DependencyGood},
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 1, State: DependencyDown}, false, DependencyGood},
			{DependencyHealth{Token: lease.Token{Term: 2, Index: 9}, Sequence: 1, State: DependencySlow}, true, DependencySlow},
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 3, State: DependencyGood}, false, DependencySlow},
		} {
			c.j.Lease = HealthLease
			piece, err := json.Marshal(c.j)
			if err != nil {
				t.Fatal(err)
			}
			if _, news := b.mergeUpdate(piece); news != c.news || b.current().State != c.want {
				t.Errorf("%+v: news %t, %s", c.j, news, b.current().State)
			}
		}
		if b.staleCount != 1 {
			t.Errorf("%d refused as stale", b.staleCount)
		}
		time.Sleep(3*time.Second + 1)
		if s := b.current().State; s != DependencyUnknown {
			t.Errorf("after 3 s without news: %s", s)
		}
	})
}
