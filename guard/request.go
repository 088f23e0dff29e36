package guard

import (
	"errors"
	"time"
)

// The reasons for which something about a request is denied.
var (
	ErrAnswered      = errors.New("guard: the request has its final answer")
	ErrRunning       = errors.New("guard: the request is running")
	ErrAfterGrace    = errors.New("guard: the request came after the grace of the drain")
	ErrKeyRan        = errors.New("guard: another try of the key ran within its window")
	ErrMayHaveRun    = errors.New("guard: the request may have had its effect")
	ErrCallInFlight  = errors.New("guard: a call of the request is out")
	ErrCallNotNeeded = errors.New("guard: the request does not wait for a call")
)

// Start is what the core knows of a request that is to be run. Times are on the
// process's clock.
type Start struct {
	Answered bool
	Running  bool
	Resumed  bool // it was begun before and paused: its place is its own
	KeyRan   bool // a try of its key ran, and this one came within the window
	ReadBy   time.Duration
	Draining bool
	GraceEnd time.Duration // of the drain
}

// MayStart decides whether a run may begin. What came when is judged by when it was
// read, at the latest moment that is possible, and not by what its caller wrote.
func MayStart(s Start) error {
	switch {
	case s.Answered:
		return ErrAnswered
	case s.Running:
		return ErrRunning
	case s.Resumed:
		return nil
	case s.KeyRan:
		return ErrKeyRan
	case s.Draining && s.ReadBy > s.GraceEnd:
		return ErrAfterGrace
	}
	return nil
}

// Call is what the core knows of a call that is to be made for a run.
type Call struct {
	Needed              bool // the run waits for this call
	InFlight            bool // it is out already
	Idempotent          bool // the class's effect may be had twice
	Attempted           bool // it was made before
	ProvenWithoutEffect bool // and its outcome proved that it had no effect
}

// MayCall decides whether a call may be made.
func MayCall(c Call) error {
	switch {
	case !c.Needed:
		return ErrCallNotNeeded
	case c.InFlight:
		return ErrCallInFlight
	case c.Attempted && !c.ProvenWithoutEffect && !c.Idempotent:
		return ErrMayHaveRun
	}
	return nil
}

// Shed is what the core knows of a request that is to be turned away.
type Shed struct {
	Idempotent bool // the class's effect may be had twice
	MayHaveRun bool // a run of it, or of another try of its key, may have had its effect
}

// MayShed decides whether a request may be turned away with the promise that it never
// ran.
func MayShed(s Shed) error {
	if s.MayHaveRun && !s.Idempotent {
		return ErrMayHaveRun
	}
	return nil
}

// MayAnswer decides whether a request may be given an answer.
func MayAnswer(answered bool) error {
	if answered {
		return ErrAnswered
	}
	return nil
}
