package quota

import (
	"fmt"
	"math"
	"time"
)

const (
	maxClockDrift = 0.2
	// minHeartbeatsPerSession is how many heartbeats fit in the time that a member
	// spends its rights without an acknowledgement, at least.
	minHeartbeatsPerSession = 3
)

// Timing bounds how long a member may spend its rights without hearing from the
// allocator's leader. It must be the same at all members.
type Timing struct {
	SessionTimeout    time.Duration // from sending a heartbeat that is acknowledged until the member must have stopped
	MaxClockDrift     float64       // most that a clock runs fast or slow by, as a fraction
	MaxHoldTime       time.Duration // from TryAcquire to Release, at most
	HeartbeatInterval time.Duration // between two heartbeats while nothing changes
}

// Validate returns a *TimingError that names the field out of bounds.
func (t Timing) Validate() error {
	if math.IsNaN(t.MaxClockDrift) || t.MaxClockDrift < 0 || t.MaxClockDrift > maxClockDrift {
		return &TimingError{Field: "MaxClockDrift", Value: t.MaxClockDrift, Want: fmt.Sprintf("0 to %v", maxClockDrift)}
	}
	if t.HeartbeatInterval <= 0 {
		return &TimingError{Field: "HeartbeatInterval", Value: t.HeartbeatInterval, Want: "more than 0"}
	}
	if t.MaxHoldTime < 0 {
		return &TimingError{Field: "MaxHoldTime", Value: t.MaxHoldTime, Want: "0 or more"}
	}
	if t.spendingTimeout() < minHeartbeatsPerSession*t.HeartbeatInterval {
		return &TimingError{Field: "SessionTimeout", Value: t.SessionTimeout, Want: fmt.Sprintf("at least MaxHoldTime (%v) and %d of HeartbeatInterval (%v), with the clock drift",
			t.MaxHoldTime, minHeartbeatsPerSession, t.HeartbeatInterval)}
	}
	return nil
}

// spendingTimeout is how long after sending a heartbeat a member acquires, by its
// own clock: early enough that what it holds is released within SessionTimeout.
func (t Timing) spendingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout)*(1-t.MaxClockDrift)) - t.MaxHoldTime
}

// fencingTimeout is how long after acknowledging a heartbeat the allocator's
// leader fences a silent member, by its own clock.
func (t Timing) fencingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout) * (1 + t.MaxClockDrift))
}
