package guard

import "time"

// The reasons for which something about a request is denied.
var (
	ErrAnswered      error = &DenialError{"the request has its final answer"}
	ErrRunning       error = &DenialError{"the request is running"}
	ErrAfterGrace    error = &DenialError{"the request came after the grace of the drain"}
	ErrKeyRan        error = &DenialError{"another try of the key ran within its window"}
	ErrMayHaveRun    error = &DenialError{"the request may have had its effect"}
	ErrCallInFlight  error = &DenialError{"a call of the request is out"}
	ErrCallNotNeeded error = &DenialError{"the request does not wait for a call"}
)

// Start is what the core knows of a request that is to be run. Times are on the process's
// timeline (package clock).
type Start struct {
	Answered bool
	Running  bool
	Resumed  bool          // it was started before and paused
	KeyRan   bool          // an attempt of its key ran, and this one arrived in the key's window
	ReadBy   time.Duration // the latest time at which its last byte may have been read
	Draining bool
	GraceEnd time.Duration // of the drain
}

// MayStart decides whether a run may begin.
//
// Inputs: the state of the request, its key and the drain. Rule: a request that is neither
// answered nor running may start, unless its key ran or, while draining, it was read after
// the grace period; one that was paused may always continue. Reason: a key runs once in its
// window, and the process promised to take nothing new after the grace period. What was
// read when counts, at the latest possible moment, and not what the caller claims.
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

// Call is what the core knows of a downstream call that is to be made for a run.
type Call struct {
	Needed              bool // the run waits for the call
	InFlight            bool // the call was made and has not ended
	Idempotent          bool // the request's class is idempotent
	Attempted           bool // the call was made before
	ProvenWithoutEffect bool // the last outcome proved that the call had no effect
}

// MayCall decides whether a downstream call may be made.
//
// Inputs: the state of the call, and whether its effect may be repeated. Rule: a call that
// is needed and not in flight is made once; again only if its class is idempotent or the
// last outcome proved that it had no effect. Reason: a call that ended without a proof may
// have had its effect.
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

// Shed is what the core knows of a request that is to be shed.
type Shed struct {
	Idempotent bool // the request's class is idempotent
	MayHaveRun bool // a run of it, or of another attempt of its key, may have had its effect
}

// MayShed decides whether a request may be shed.
//
// Inputs: whether the request may have run, and whether it is idempotent. Rule: one that
// may have run is shed only if it is idempotent. Reason: a shed request is reported as
// never run, and its caller sends it elsewhere.
func MayShed(s Shed) error {
	if s.MayHaveRun && !s.Idempotent {
		return ErrMayHaveRun
	}
	return nil
}

// MayAnswer decides whether a request may be given a response.
//
// Input: whether it has one. Rule: it gets one response. Reason: a second one would be
// taken for another request's.
func MayAnswer(answered bool) error {
	if answered {
		return ErrAnswered
	}
	return nil
}
