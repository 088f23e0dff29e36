package clock

import (
	"testing"
	"time"
)

// tolerance is the maximum time that may pass between two clock readings of a test.
const tolerance = 100 * time.Millisecond

// newSteppedClock returns a clock for which Unix time appears to have been stepped just now,
// because its timeline was moved back by the step.
func newSteppedClock(by time.Duration) *Clock {
	c := New()
	c.originUnix -= by
	return c
}

func isNear(a, b time.Duration) bool { return (a - b).Abs() < tolerance }

// TestClock_UnixTimeStepped checks that a step of Unix time is reported once, and that times
// of this process and of peers are converted correctly before and after it.
func TestClock_UnixTimeStepped(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		c := newSteppedClock(by)
		now := c.Now()
		if step := c.DetectStep(); !isNear(step, by) {
			t.Errorf("step %v: DetectStep() = %v, want %v", by, step, by)
		}
		if step := c.DetectStep(); step != 0 {
			t.Errorf("step %v: second DetectStep() = %v, want 0", by, step)
		}
		if at := c.FromTime(time.Now()); !isNear(at, now) {
			t.Errorf("step %v: FromTime(time with a monotonic reading) is off by %v", by, at-now)
		}
		if at := c.FromTime(time.Now().Round(0)); !isNear(at, now) {
			t.Errorf("step %v: FromTime(Unix time after the step) is off by %v", by, at-now)
		}
		if unix := c.Unix(now); !isNear(time.Until(unix), 0) {
			t.Errorf("step %v: Unix(now) is off by %v", by, time.Until(unix))
		}
		if at := c.FromPeerTime(time.Now().Round(0)); !isNear(at, now) {
			t.Errorf("step %v: FromPeerTime(time sent after the step) is off by %v", by, at-now)
		}
		before := time.Now().Round(0).Add(-by) // a time read just before the step
		if at := c.FromPeerTime(before); !isNear(at, now) {
			t.Errorf("step %v: FromPeerTime(time sent before the step) is off by %v", by, at-now)
		}
	}
}

func TestTime_HasMonotonicReading(t *testing.T) {
	c := newSteppedClock(time.Hour)
	at := c.Now() + time.Second
	if got := c.Time(at); !hasMonotonic(got) || !isNear(time.Until(got), time.Second) {
		t.Errorf("Time(1 s from now) = %v, which is in %v, want a time with a monotonic reading in 1s", got, time.Until(got))
	}
}

// TestFromPeerTime_KeepsLastOffsets checks that only the last maxOffsets offsets are kept, and
// that an offset that becomes current again is kept once.
func TestFromPeerTime_KeepsLastOffsets(t *testing.T) {
	c := New()
	for step := range 2 * maxOffsets {
		c.originUnix -= time.Duration(step+1) * time.Minute
		c.DetectStep()
	}
	if len(c.offsets) != maxOffsets {
		t.Errorf("%d offsets kept, want %d", len(c.offsets), maxOffsets)
	}
	c.originUnix += 2 * maxOffsets * time.Minute
	c.DetectStep()
	c.originUnix -= 2 * maxOffsets * time.Minute
	c.DetectStep()
	if len(c.offsets) != maxOffsets {
		t.Errorf("%d offsets kept, want %d", len(c.offsets), maxOffsets)
	}
	old := time.Now().Round(0).Add(-10 * time.Hour)
	if at := c.FromPeerTime(old); c.Now()-at < 9*time.Hour {
		t.Errorf("FromPeerTime(10 hours ago) is %v ago, want at least 9h", c.Now()-at)
	}
}
