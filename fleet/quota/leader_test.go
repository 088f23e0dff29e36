package quota

import (
	"fmt"
	"testing"
	"time"
)

// TestPartitionedMember_StopsBeforeItIsFenced checks that a member that receives no
// acknowledgements uses its rights for a while and stops before its session timeout,
// and that the leader fences it only after the timeout.
func TestPartitionedMember_StopsBeforeItIsFenced(t *testing.T) {
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
		t.Fatalf("commands of the second tick = %s, want a grant to each of a/1 and b/1", got)
	}
	if n := f.acquireAll("b"); n != 10 {
		t.Fatalf("b acquired %d units, want 10", n)
	}
	for range 10 {
		f.members["b"].Release()
	}
	lastAcked, lastAcquired, fencedAt := f.now, time.Duration(0), time.Duration(0)
	for fencedAt == 0 && f.now < lastAcked+time.Minute { // b is partitioned
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
	if lastAcquired < lastAcked+8*time.Second || lastAcquired+testTiming.MaxHoldTime > lastAcked+testTiming.SessionTimeout ||
		fencedAt < lastAcked+testTiming.SessionTimeout {
		t.Errorf("last acknowledged at %v, acquired until %v, fenced at %v; want units for 8 s, released before the session timeout of %v, fenced after it",
			lastAcked, lastAcquired, fencedAt, testTiming.SessionTimeout)
	}
}
