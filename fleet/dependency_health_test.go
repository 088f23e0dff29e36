package fleet

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/logging"
)

// TestHealthView_OrdersAndExpiresUpdates checks that a health view orders updates by
// token and sequence number, rejects stale tokens, and reports DependencyUnknown after
// maxAge without an update.
func TestHealthView_OrdersAndExpiresUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &healthView{log: logging.Discard(), fence: &lease.Fence{}, latest: map[string]DependencyHealth{}, maxAge: 3 * time.Second}
		if s := view.current().State; s != DependencyUnknown {
			t.Errorf("state before any update = %s, want %s", s, DependencyUnknown)
		}
		for _, c := range []struct {
			health DependencyHealth
			isNew  bool
			want   DependencyState
		}{
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 2, State: DependencyGood}, true, DependencyGood},
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 1, State: DependencyDown}, false, DependencyGood},
			{DependencyHealth{Token: lease.Token{Term: 2, Index: 9}, Sequence: 1, State: DependencySlow}, true, DependencySlow},
			{DependencyHealth{Token: lease.Token{Term: 1, Index: 5}, Sequence: 3, State: DependencyGood}, false, DependencySlow},
		} {
			c.health.Lease = HealthLease
			update, err := json.Marshal(c.health)
			if err != nil {
				t.Fatal(err)
			}
			if _, isNew := view.mergeUpdate(update); isNew != c.isNew || view.current().State != c.want {
				t.Errorf("mergeUpdate(%+v): isNew = %t, state = %s; want %t, %s", c.health, isNew, view.current().State, c.isNew, c.want)
			}
		}
		if view.staleCount != 1 {
			t.Errorf("staleCount = %d, want 1", view.staleCount)
		}
		time.Sleep(3*time.Second + 1)
		if s := view.current().State; s != DependencyUnknown {
			t.Errorf("state after 3 s without an update = %s, want %s", s, DependencyUnknown)
		}
	})
}
