// Package clock is the process's time. Spans are measured on the monotonic clock, so that
// deadlines, windows, timeouts and grace periods last as long as they say, whatever happens
// to the machine's Unix time: it may be stepped by seconds or an hour, either way.
//
// # Timeline
//
// A [Clock] returns times on a timeline of its own: the Unix time at which it was made,
// plus the monotonic time since. Unix time is used only where the wire or a stored form
// has it, and is converted by the offset between the two clocks at that moment
// ([Clock.At]). What a step of Unix time does:
//
//   - to a request in flight: nothing, its times are on the timeline;
//   - to a time that a peer wrote when it sent ([Clock.Received]): of the last few offsets,
//     the one is used by which the time is closest to now. So it does not matter whether it
//     was written before the step or after it, or by a clock that was not stepped;
//   - to a key's window in memory: nothing;
//   - to what another process reports in Unix time, or what one stored: it is converted by
//     the present offset. If the step lies between the two, a window ends that much earlier
//     or later.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	minStep    = 50 * time.Millisecond // a smaller change of the offset is not a step
	maxOffsets = 4                     // how many are remembered, the present one included
)

// Clock is a timeline. Its methods may be called from any goroutine.
type Clock struct {
	origin     time.Time     // with a monotonic reading
	originUnix time.Duration // Unix time at the origin

	mu      sync.Mutex
	offsets []time.Duration // of Unix time from the timeline: the present one last
}

// New makes a clock whose timeline starts at the present Unix time.
func New() *Clock {
	now := time.Now()
	return &Clock{
		origin: now, originUnix: time.Duration(now.UnixNano()),
		offsets: make([]time.Duration, 1, maxOffsets),
	}
}

// Now returns the present time on the timeline.
func (c *Clock) Now() time.Duration { return c.originUnix + time.Since(c.origin) }

// Observe compares Unix time with the timeline. It returns by how much Unix time was stepped
// since the last comparison, or 0 if it was not; At and Unix compare them too, and then the
// step is not returned again. A change of less than minStep is no step; such changes add up
// until they are one.
func (c *Clock) Observe() (step time.Duration) {
	now := time.Now()
	timeline := c.originUnix + now.Sub(c.origin)
	offset := time.Duration(now.UnixNano()) - timeline
	c.mu.Lock()
	defer c.mu.Unlock()
	step = offset - c.presentOffsetLocked()
	if step.Abs() < minStep {
		return 0
	}
	c.rememberLocked(offset)
	return step
}

// rememberLocked makes an offset the present one. An equal one from before is forgotten, so that
// each is remembered once. The lock is held.
func (c *Clock) rememberLocked(offset time.Duration) {
	c.offsets = slices.DeleteFunc(c.offsets, func(o time.Duration) bool { return (o - offset).Abs() < minStep })
	if len(c.offsets) == maxOffsets {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.offsets = append(c.offsets, offset)
}

// presentOffsetLocked returns the offset in force. The lock is held.
func (c *Clock) presentOffsetLocked() time.Duration { return c.offsets[len(c.offsets)-1] }

// At converts a time to one on the timeline: exactly if it has a monotonic reading, else by
// the present offset of Unix time.
func (c *Clock) At(t time.Time) time.Duration {
	if hasMonotonic(t) {
		return c.originUnix + t.Sub(c.origin)
	}
	c.Observe()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(t.UnixNano()) - c.presentOffsetLocked()
}

// Received converts the time that a peer wrote when it sent to one on the timeline: of the
// last offsets, by the one that makes it closest to now.
func (c *Clock) Received(t time.Time) time.Duration {
	closest, now := c.At(t), c.Now()
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

// hasMonotonic reports whether a time has a monotonic reading, so that it was read from this
// machine's clocks.
func hasMonotonic(t time.Time) bool { return t != t.Round(0) }

// Time converts a time on the timeline to a time.Time for timers and contexts of this
// process: it has a monotonic reading.
func (c *Clock) Time(at time.Duration) time.Time { return c.origin.Add(at - c.originUnix) }

// Unix converts a time on the timeline to Unix time by the present offset, for what is
// written to a wire or stored.
func (c *Clock) Unix(at time.Duration) time.Time {
	c.Observe()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(at+c.presentOffsetLocked()))
}
