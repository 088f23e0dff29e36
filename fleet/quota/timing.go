package quota

import (
	"fmt"
	"math"
	"time"
)

const (
	maxClockDrift = 0.2 // highest valid Timing.MaxClockDrift
	// minHeartbeatsPerSession is the minimum number of heartbeat intervals that fit
	// into the time for which a member uses its rights without an acknowledgement.
	minHeartbeatsPerSession = 3
)

// Timing bounds how long a member may use its rights without an acknowledgement
// from the allocator's leader. All members must have the same Timing.
type Timing struct {
	SessionTimeout    time.Duration // maximum time from sending the last acknowledged heartbeat until all units are released
	MaxClockDrift     float64       // maximum deviation of a clock's rate, as a fraction
	MaxHoldTime       time.Duration // maximum time from TryAcquire to Release
	HeartbeatInterval time.Duration // between two heartbeats if the state doesn't change
}

// Validate returns a *TimingError that names the first field out of range.
func (t Timing) Validate() error {
	if math.IsNaN(t.MaxClockDrift) || t.MaxClockDrift < 0 || t.MaxClockDrift > maxClockDrift {
		return &TimingError{Field: "MaxClockDrift", Value: t.MaxClockDrift, Want: fmt.Sprintf("0 to %v", maxClockDrift)}
	}
	if t.HeartbeatInterval <= 0 {
		return &TimingError{Field: "HeartbeatInterval", Value: t.HeartbeatInterval, Want: "greater than 0"}
	}
	if t.MaxHoldTime < 0 {
		return &TimingError{Field: "MaxHoldTime", Value: t.MaxHoldTime, Want: "at least 0"}
	}
	if t.spendingTimeout() < minHeartbeatsPerSession*t.HeartbeatInterval {
		return &TimingError{Field: "SessionTimeout", Value: t.SessionTimeout, Want: fmt.Sprintf("at least MaxHoldTime (%v) plus %d times HeartbeatInterval (%v), plus the maximum clock drift",
			t.MaxHoldTime, minHeartbeatsPerSession, t.HeartbeatInterval)}
	}
	return nil
}

// spendingTimeout returns how long a member may acquire units after it sent a
// heartbeat, by its own clock. It is short enough that all units are released
// within SessionTimeout.
func (t Timing) spendingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout)*(1-t.MaxClockDrift)) - t.MaxHoldTime
}

// fencingTimeout returns how long the allocator's leader waits after it acknowledged
// a member's last heartbeat before it fences the member, by the leader's clock.
func (t Timing) fencingTimeout() time.Duration {
	return time.Duration(float64(t.SessionTimeout) * (1 + t.MaxClockDrift))
}
