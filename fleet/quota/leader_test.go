package quota

import (
	"fmt"
	"testing"
	"time"
)

// TestSilentMember checks that a member that hears nothing uses its own rights,
// and stops before its session ends; the leader fences it only afterwards.
func TestSilentMember(t *testing.T) {
	f := newTestFleet(t, 20, "a", "b")
	leader := NewAllocatorLeader(20, testTiming, f.now)
	tick := func() (applied []string) {
		f.exchange("b", "a")
		for _, c := range f.tickLeader(leader, "a") {
			applied = append(applied, fmt.Sprint(c.Kind, " ", c.Target))
			if err := f.apply(c, "a"); err != nil {
				t.Fatal(err)
			}
		}
		f.exchange("a", "b")
		return applied
	}
	tick()
	f.now += testTiming.HeartbeatInterval
	if got := fmt.Sprint(tick()); got != "[grant a/1 grant b/1]" {
		t.Fatalf("commands: %s", got)
	}
	if n := f.acquireAll("b"); n != 10 {
		t.Fatalf("b has %d in use", n)
	}
	for range 10 {
		f.members["b"].Release()
	}
	lastHeard, lastAcquired, fencedAt := f.now, time.Duration(0), time.Duration(0)
	for fencedAt == 0 && f.now < lastHeard+time.Minute { // b is cut off
		f.now += 100 * time.Millisecond
		f.members["b"].Tick(f.now)
		if f.members["b"].TryAcquire(f.now) {
			f.members["b"].Release()
			lastAcquired = f.now
		}
		for _, c := range f.tickLeader(leader, "a") {
			if c.Kind == Fence && c.Target == (ID{Member: "b", Incarnation: 1}) {
				fencedAt = f.now
			}
		}
	}
	if lastAcquired < lastHeard+8*time.Second || lastAcquired+testTiming.MaxHoldTime > lastHeard+testTiming.SessionTimeout ||
		fencedAt < lastHeard+testTiming.SessionTimeout {
		t.Errorf("last heard at %v, acquired until %v, fenced at %v", lastHeard, lastAcquired, fencedAt)
	}
}
