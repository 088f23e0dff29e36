package clock

import (
	"testing"
	"time"
)

// tolerance bounds how long a test may take between two readings of a clock.
const tolerance = 100 * time.Millisecond

// stepped returns a clock whose Unix time was stepped just now: its timeline starts that
// much earlier.
func stepped(by time.Duration) *Clock {
	c := New()
	c.originUnix -= by
	return c
}

func near(a, b time.Duration) bool { return (a - b).Abs() < tolerance }

// TestSteps steps Unix time: the step is observed once, and times of this process and of
// peers are converted rightly.
func TestSteps(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		c := stepped(by)
		now := c.Now()
		if step := c.Observe(); !near(step, by) {
			t.Errorf("%v: observed %v", by, step)
		}
		if step := c.Observe(); step != 0 {
			t.Errorf("%v: observed %v again", by, step)
		}
		if at := c.At(time.Now()); !near(at, now) {
			t.Errorf("%v: a time of this process is off by %v", by, at-now)
		}
		if at := c.At(time.Now().Round(0)); !near(at, now) {
			t.Errorf("%v: Unix time after the step is off by %v", by, at-now)
		}
		if unix := c.Unix(now); !near(time.Until(unix), 0) {
			t.Errorf("%v: as Unix time it is off by %v", by, time.Until(unix))
		}
		if at := c.Received(time.Now().Round(0)); !near(at, now) {
			t.Errorf("%v: a peer's time after the step is off by %v", by, at-now)
		}
		before := time.Now().Round(0).Add(-by) // written just before the step
		if at := c.Received(before); !near(at, now) {
			t.Errorf("%v: a peer's time before the step is off by %v", by, at-now)
		}
	}
}

func TestTimeHasMonotonicReading(t *testing.T) {
	c := stepped(time.Hour)
	at := c.Now() + time.Second
	if got := c.Time(at); !hasMonotonic(got) || !near(time.Until(got), time.Second) {
		t.Errorf("%v, in %v", got, time.Until(got))
	}
}

// TestReceived_OffsetsAreForgotten: after a few steps an old offset is forgotten, and one
// that comes back is remembered once.
func TestReceived_OffsetsAreForgotten(t *testing.T) {
	c := New()
	for step := range 2 * maxOffsets {
		c.originUnix -= time.Duration(step+1) * time.Minute
		c.Observe()
	}
	if len(c.offsets) != maxOffsets {
		t.Errorf("%d offsets are remembered, want %d", len(c.offsets), maxOffsets)
	}
	c.originUnix += 2 * maxOffsets * time.Minute
	c.Observe()
	c.originUnix -= 2 * maxOffsets * time.Minute
	c.Observe()
	if len(c.offsets) != maxOffsets {
		t.Errorf("%d offsets are remembered, want %d", len(c.offsets), maxOffsets)
	}
	old := time.Now().Round(0).Add(-10 * time.Hour)
	if at := c.Received(old); c.Now()-at < 9*time.Hour {
		t.Errorf("a time of ten hours ago is %v old", c.Now()-at)
	}
}
