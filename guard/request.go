package guard

import "time"

// The denials of [MayStart], [MayCall], [MayShed] and [MayAnswer].
var (
	ErrAnswered      error = &DenialError{"the request is already answered"}
	ErrRunning       error = &DenialError{"the request is already running"}
	ErrAfterGrace    error = &DenialError{"the request was read after the grace period of the drain"}
	ErrKeyRan        error = &DenialError{"another attempt of the idempotency key ran within its window"}
	ErrMayHaveRun    error = &DenialError{"the request or call may already have had its effect"}
	ErrCallInFlight  error = &DenialError{"a downstream call of the request is in flight"}
	ErrCallNotNeeded error = &DenialError{"the request is not waiting for a downstream call"}
)

// StartState is the state of a request that is to be run. Times are on the process's timeline
// (package clock).
type StartState struct {
	Answered       bool
	Running        bool
	Resumed        bool          // it was started earlier and then paused
	KeyRan         bool          // an attempt of its idempotency key ran, and this one arrived in the key's window
	LatestReadTime time.Duration // the latest time at which its last byte may have been read
	Draining       bool
	GraceEnd       time.Duration // end of the drain's grace period
}

// MayStart decides whether a run may begin.
//
// Inputs: the state of the request, its key and the drain. Rule: a request that is neither
// answered nor running may start, unless its key ran or, while the process drains, it was
// read after the grace period. A paused request may always resume. Reason: a key runs once
// in its window, and the process has promised to start nothing that it reads after the
// grace period. The latest possible time of the read counts, not a time that the caller
// claims.
func MayStart(s StartState) error {
	switch {
	case s.Answered:
		return ErrAnswered
	case s.Running:
		return ErrRunning
	case s.Resumed:
		return nil
	case s.KeyRan:
		return ErrKeyRan
	case s.Draining && s.LatestReadTime > s.GraceEnd:
		return ErrAfterGrace
	}
	return nil
}

// CallState is the state of a downstream call that is to be made for a run.
type CallState struct {
	Needed              bool // the run waits for the call
	InFlight            bool // the call was sent and has not ended
	Idempotent          bool // the request's class is idempotent
	Attempted           bool // the call was sent at least once
	ProvenWithoutEffect bool // the last outcome proved that the call had no effect
}

// MayCall decides whether a downstream call may be made.
//
// Inputs: the state of the call, and whether its effect may be repeated. Rule: a call that
// is needed and not in flight is made once. It is repeated only if its class is idempotent
// or the last outcome proved that it had no effect. Reason: without that proof, the call may
// have had its effect.
func MayCall(c CallState) error {
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

// ShedState is the state of a request that is to be shed.
type ShedState struct {
	Idempotent bool // the request's class is idempotent
	MayHaveRun bool // a run of it, or of another attempt of its key, may have had its effect
}

// MayShed decides whether a request may be shed.
//
// Inputs: whether the request may have run, and whether it is idempotent. Rule: a request
// that may have run is shed only if it is idempotent. Reason: the caller of a shed request may
// send it to another server, where it would have its effect again.
func MayShed(s ShedState) error {
	if s.MayHaveRun && !s.Idempotent {
		return ErrMayHaveRun
	}
	return nil
}

// MayAnswer decides whether a request may be given a response.
//
// Input: whether it is already answered. Rule: a request gets one response. Reason: the
// peer would take a second one for the response to another request.
func MayAnswer(answered bool) error {
	if answered {
		return ErrAnswered
	}
	return nil
}
