package transport

import (
	"sync/atomic"
	"time"
)

// instant is a time that one goroutine sets and others read.
type instant struct {
	base      time.Time    // the earliest time that may be set
	sinceBase atomic.Int64 // in nanoseconds, plus 1; 0 for the zero time
}

// set sets the instant.
func (i *instant) set(t time.Time) {
	if t.IsZero() {
		i.sinceBase.Store(0)
		return
	}
	i.sinceBase.Store(int64(t.Sub(i.base)) + 1)
}

// get returns the time that was last set, or the zero time.
func (i *instant) get() time.Time {
	sinceBase := i.sinceBase.Load()
	if sinceBase == 0 {
		return time.Time{}
	}
	return i.base.Add(time.Duration(sinceBase - 1))
}
