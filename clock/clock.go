// Package clock is the process's time. Spans are measured on the monotonic clock, so
// that deadlines, windows, waits and graces last as long as they say, whatever happens
// to the machine's Unix time: it may be stepped by seconds or an hour, either way.
//
// A [Clock] gives the time on a timeline of its own: the Unix time at which it was made,
// plus the monotonic time since. Unix time is read only where the wire or a stored form
// has it, and is turned into a time on the timeline against the offset between the two
// clocks at that moment ([Clock.At]). What a step of Unix time does:
//
//   - to a request that is held: nothing, its times are on the timeline;
//   - to a time that a peer wrote as it sent ([Clock.Received]): it is read against the
//     offset, of the last few, by which it was written least long ago. So it does not
//     matter whether it was written before the step or after it, or by a clock that was
//     not stepped;
//   - to a key's window in memory: nothing;
//   - to what another process tells in Unix time, or what was stored by one: it is read
//     against the present offset. Where the step lies between the two, a window ends
//     that much earlier or later.
package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	stepFrom   = 50 * time.Millisecond // a change of the offset from which on it is a step
	remembered = 4                     // offsets, the present one included
)

// Clock is a timeline. Its methods may be called from any goroutine.
type Clock struct {
	origin time.Time     // with a monotonic reading
	unix   time.Duration // Unix time at the origin

	mu      sync.Mutex
	offsets []time.Duration // Unix time less the timeline's: the present one last
}

// New makes a clock whose timeline starts at the present Unix time.
func New() *Clock {
	now := time.Now()
	return &Clock{origin: now, unix: time.Duration(now.UnixNano()), offsets: make([]time.Duration, 1, remembered)}
}

// Now is the present time on the timeline.
func (c *Clock) Now() time.Duration { return c.unix + time.Since(c.origin) }

// Observe compares the two clocks. It returns by how much Unix time was stepped since
// the last call, 0 where it was not.
func (c *Clock) Observe() (step time.Duration) {
	now := time.Now()
	timeline := c.unix + now.Sub(c.origin)
	offset := time.Duration(now.UnixNano()) - timeline
	c.mu.Lock()
	defer c.mu.Unlock()
	if step = offset - c.offset(); step.Abs() < stepFrom {
		return 0
	}
	// The present offset comes last, once.
	c.offsets = slices.DeleteFunc(c.offsets, func(o time.Duration) bool { return (o - offset).Abs() < stepFrom })
	if len(c.offsets) == remembered {
		c.offsets = slices.Delete(c.offsets, 0, 1)
	}
	c.offsets = append(c.offsets, offset)
	return step
}

// offset is the present one. The lock is held.
func (c *Clock) offset() time.Duration { return c.offsets[len(c.offsets)-1] }

// At turns a time into one on the timeline: exactly for a time with a monotonic reading,
// else against the present offset of Unix time.
func (c *Clock) At(t time.Time) time.Duration {
	if hasMonotonic(t) {
		return c.unix + t.Sub(c.origin)
	}
	c.Observe()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(t.UnixNano()) - c.offset()
}

// Received turns the time that a peer wrote as it sent into one on the timeline: of the
// last offsets, by the one that has it written least long ago.
func (c *Clock) Received(t time.Time) time.Duration {
	best, now := c.At(t), c.Now()
	if hasMonotonic(t) {
		return best
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, offset := range c.offsets {
		if at := time.Duration(t.UnixNano()) - offset; (now - at).Abs() < (now - best).Abs() {
			best = at
		}
	}
	return best
}

// hasMonotonic tells whether a time was read from this machine's clocks.
func hasMonotonic(t time.Time) bool { return t != t.Round(0) }

// Time gives a time on the timeline as a time.Time for timers and contexts of this
// process: it has a monotonic reading.
func (c *Clock) Time(at time.Duration) time.Time { return c.origin.Add(at - c.unix) }

// Unix gives a time on the timeline as Unix time by the present offset, for what is
// written to a wire or stored.
func (c *Clock) Unix(at time.Duration) time.Time {
	c.Observe()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(at+c.offset()))
}
