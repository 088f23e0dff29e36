// Package clock provides the process's time, which steps of the machine's Unix time don't
// affect. Durations are measured on the monotonic clock, so that deadlines, windows, timeouts
// and grace periods keep their length even if Unix time is stepped by seconds or an hour,
// forward or backward.
//
// # Timeline
//
// A [Clock] returns times on a timeline of its own: the Unix time at which it was created,
// plus the monotonic time since. Unix time is used only in wire messages and stored data.
// It is converted by its current offset from the timeline ([Clock.FromTime]). A step of Unix time
// has these effects:
//
//   - on requests in flight: none, because their times are on the timeline;
//   - on the time at which a peer sent a message ([Clock.FromPeerTime]): none, because it is
//     converted by the one of the last few offsets that makes it closest to now, whether the
//     peer read the time before the step, after it, or from a clock that was not stepped;
//   - on the windows of idempotency keys in memory: none;
//   - on Unix times that another process reports, or that a process has stored: they are
//     converted by the current offset. If Unix time was stepped after such a time was written,
//     a window ends earlier or later by the step.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	minStep    = 50 * time.Millisecond // smaller changes of the offset don't count as a step
	maxOffsets = 4                     // offsets kept, including the current one
)

// Clock is a timeline. Its methods are safe for concurrent use.
type Clock struct {
	origin     time.Time     // when the clock was created, with a monotonic reading
	originUnix time.Duration // origin as Unix time; the timeline's start

	mu      sync.Mutex
	offsets []time.Duration // Unix time minus timeline, oldest first; the last one is current
}

// New returns a clock whose timeline starts at the current Unix time.
func New() *Clock {
	now := time.Now()
	return &Clock{
		origin: now, originUnix: time.Duration(now.UnixNano()),
		offsets: make([]time.Duration, 1, maxOffsets),
	}
}

// Now returns the current time on the timeline.
func (c *Clock) Now() time.Duration { return c.originUnix + time.Since(c.origin) }

// DetectStep compares Unix time with the timeline. It returns the step of Unix time since the
// last comparison, or 0 if there was none. FromTime and Unix compare them too, and DetectStep
// doesn't return a step that they have found. Changes of less than minStep add up until they
// count as a step.
func (c *Clock) DetectStep() (step time.Duration) {
	now := time.Now()
	timeline := c.originUnix + now.Sub(c.origin)
	offset := time.Duration(now.UnixNano()) - timeline
	c.mu.Lock()
	defer c.mu.Unlock()
	step = offset - c.currentOffsetLocked()
	if step.Abs() < minStep {
		return 0
	}
	c.setOffsetLocked(offset)
	return step
}

// setOffsetLocked makes an offset the current one. It removes an older offset that equals it
// within minStep, so that no offset is kept twice. c.mu must be held.
func (c *Clock) setOffsetLocked(offset time.Duration) {
	c.offsets = slices.DeleteFunc(c.offsets, func(o time.Duration) bool { return (o - offset).Abs() < minStep })
	if len(c.offsets) == maxOffsets {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.offsets = append(c.offsets, offset)
}

// currentOffsetLocked returns the current offset. c.mu must be held.
func (c *Clock) currentOffsetLocked() time.Duration { return c.offsets[len(c.offsets)-1] }

// FromTime converts a time to the timeline: exactly if it has a monotonic reading, otherwise by
// the current offset of Unix time.
func (c *Clock) FromTime(t time.Time) time.Duration {
	if hasMonotonic(t) {
		return c.originUnix + t.Sub(c.origin)
	}
	c.DetectStep()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(t.UnixNano()) - c.currentOffsetLocked()
}

// FromPeerTime converts the time at which a peer sent a message to the timeline. A time
// without a monotonic reading is converted by the kept offset that makes it closest to now.
func (c *Clock) FromPeerTime(t time.Time) time.Duration {
	closest, now := c.FromTime(t), c.Now()
	if hasMonotonic(t) {
		return closest
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, offset := range c.offsets {
		at := time.Duration(t.UnixNano()) - offset
		if (now - at).Abs() < (now - closest).Abs() {
			closest = at
		}
	}
	return closest
}

// hasMonotonic reports whether a time has a monotonic reading, which means that this process
// read it from the machine's clocks.
func hasMonotonic(t time.Time) bool { return t != t.Round(0) }

// Time converts a time on the timeline to a time.Time with a monotonic reading, for timers
// and contexts of this process.
func (c *Clock) Time(at time.Duration) time.Time { return c.origin.Add(at - c.originUnix) }

// Unix converts a time on the timeline to Unix time by the current offset, for wire messages
// and stored data.
func (c *Clock) Unix(at time.Duration) time.Time {
	c.DetectStep()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(at+c.currentOffsetLocked()))
}
