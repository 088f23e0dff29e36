package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// Request is one attempt of a request, as a frontend has read it.
type Request struct {
	ID         string    // of this attempt; no two attempts may have the same
	Class      string    // name in the settings
	Key        string    // idempotency key, the same for all attempts; ignored unless the class is keyed
	CacheKey   string    // identifies the item that a read is about; may be empty
	Tenant     string    // name in the settings; ignored if the settings have no tenants
	ArrivedAt  time.Time // when it reached the machine; the deadline of its class counts from here
	ReadAfter  time.Time // lower bound of when its last byte arrived, if it arrived in parts; else zero
	ReadBy     time.Time // upper bound of when its last byte arrived; zero for now
	Deadline   time.Time // when its caller gives up; zero for the deadline of its class, which is also an upper bound
	Caller     int
	ReservedKB float64 // memory in kB that it occupies; over 0
	Rank       float64 // rank of the request among all requests, in [0, 1)
	Payload    Payload
	OverLimit  bool      // its connection is over the limit of connections: it is answered at once, and does not run
	Backend    Backend   // runs it; nil for Options.Backend
	Responder  Responder // gets the answer; also identifies the caller that may cancel the request
}

// OutcomeKind is the kind of a request's final answer. RunEnd tells how a run ended, and
// CallOutcome how a downstream call ended.
type OutcomeKind int

// The kinds of answers.
const (
	Served   OutcomeKind = iota // answered with the result of a run
	Shed                        // the attempt never ran, or is idempotent: the caller may retry it
	Failed                      // the attempt may have run
	TimedOut                    // failed because the deadline has passed
	Rejected                    // never run: its id is in use, its key belongs to another request, or is missing or too long
)

// String returns the kind as metrics and logs name it: Shed is "refused", TimedOut "deadline".
func (k OutcomeKind) String() string {
	return [...]string{Served: "served", Shed: "refused", Failed: "failed", TimedOut: "deadline", Rejected: "rejected"}[k]
}

// Outcome is the final answer to a request.
type Outcome struct {
	Kind             OutcomeKind
	Result           Payload       // of Served; of Failed and TimedOut: what the failed run reported, if anything
	RetryAfter       time.Duration // of Shed
	NoRetryElsewhere bool          // of Shed: the caller should not retry at another server
}

// Responder receives the one final answer to a request. Respond is called on the goroutine of
// [Core.Run] and must not block.
type Responder interface {
	Respond(id string, o Outcome)
}

// RunEnd is the backend's report of how a run ended.
type RunEnd int

// The ends of a run.
const (
	RunSucceeded  RunEnd = iota // with a result
	RunFailed                   // may have had its effect
	RunCancelled                // cancelled; may have had its effect
	RunNotStarted               // proven to have had no effect
)

// Run is what [Backend.Start] is told about an attempt that it runs.
type Run struct {
	ID       string
	Class    string
	Deadline time.Time
	Payload  Payload
}

// Backend runs requests. It reports by calling [Core.RunCompleted] and
// [Core.CallRequested]. Its methods must not block.
type Backend interface {
	// Start starts a run.
	Start(r Run)
	// Cancel cancels a run, or pauses it if the settings have decision.CancelPause.
	Cancel(id string)
	// ReplyToCall passes on the reply to the downstream call that the run waits for.
	ReplyToCall(id string, reply []byte)
	// SkipCall tells the run to continue without the call of that notice.
	SkipCall(id string, notice uint64)
}

// Machine reports the state of the machine that the backend runs on. Its methods must not
// block; they may call reply from any goroutine.
type Machine interface {
	ReadGauges(reply func(decision.Gauges))
	CheckHealth(reply func(healthy bool))
}

// CallOutcome is the dependency's report of how a downstream call ended.
type CallOutcome = decision.Outcome

// Dependency makes the downstream calls of runs. It reports by calling
// [Core.CallCompleted] with the number, which identifies a call among those of its run. Its
// methods must not block.
type Dependency interface {
	// Call makes a call. The core abandons it after the timeout.
	Call(id string, number int, timeout time.Duration, body []byte)
	// Abandon abandons the call of a run that is in flight.
	Abandon(id string)
}

// Registrar reports to the discovery service whether this server accepts requests.
// SetAccepting must not block.
type Registrar interface {
	SetAccepting(accepting bool)
}

// Connections closes connections that are idle for too long. SetIdleTimeout must not block.
type Connections interface {
	SetIdleTimeout(after time.Duration)
}

// Observer gets each final answer, for metrics: the name of the class (or [RemovedClass]),
// the kind, and the time since the request arrived. duplicate is set if the answer is the
// result of another attempt. ObserveResponse must not block.
type Observer interface {
	ObserveResponse(class string, kind OutcomeKind, took time.Duration, duplicate bool)
}

// RemovedClass is the class name that the Observer gets if the class of a request was removed
// from the settings after the request arrived.
const RemovedClass = "(dropped)"
