package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// Request is one attempt of a request as a frontend read it.
type Request struct {
	ID         string    // of this attempt: no two attempts have the same
	Class      string    // by its name in the settings
	Key        string    // idempotency key, of classes that need one: the same for all attempts
	CacheKey   string    // what a read is about; may be empty
	Tenant     string    // by its name in the settings; ignored where these have none
	ArrivedAt  time.Time // when it reached the machine; its deadline counts from there
	ReadAfter  time.Time // its last byte came after this, if it came in parts; else zero
	ReadBy     time.Time // its last byte came before this; zero for now
	Deadline   time.Time // when its caller gives up, if sooner than its class's deadline; else zero
	Caller     int
	ReservedKB float64 // memory that it takes while it is held
	Rank       float64 // the caller's position among all, from 0 to under 1
	Payload    Payload
	Backend    Backend   // runs it; nil for Options.Backend
	Responder  Responder // gets the answer
}

// OutcomeKind is how a request was answered. How a run ended is RunEnd, how a call ended
// decision.Outcome.
type OutcomeKind int

// The kinds of answers.
const (
	Served   OutcomeKind = iota // with the result of a run
	Shed                        // this attempt never ran, or is idempotent: it may be retried
	Failed                      // it may have run
	TimedOut                    // failed, because its deadline has passed
	Rejected                    // never run: its id is in use, or its key is another request's
)

// String returns the kind as metrics and logs name it: Shed is "refused", TimedOut "deadline".
func (k OutcomeKind) String() string {
	return [...]string{Served: "served", Shed: "refused", Failed: "failed", TimedOut: "deadline", Rejected: "rejected"}[k]
}

// Outcome is a request's final answer.
type Outcome struct {
	Kind             OutcomeKind
	Result           Payload       // of Served; of Failed: what the run reported, if anything
	RetryAfter       time.Duration // of Shed
	NoRetryElsewhere bool          // of Shed: the caller is asked not to try another server
}

// Responder takes a request's one final answer. Its method must not block.
type Responder interface {
	Respond(id string, o Outcome)
}

// RunEnd is how a run ended.
type RunEnd int

// The ends of a run.
const (
	RunSucceeded  RunEnd = iota // with a result
	RunFailed                   // it may have had its effect
	RunCancelled                // it was cancelled, and may have had its effect
	RunNotStarted               // it is proven to have had no effect
)

// Run is an attempt as its backend gets it.
type Run struct {
	ID       string
	Class    string
	Deadline time.Time
	Payload  Payload
}

// Backend runs requests. It reports by [Core.RunCompleted] and [Core.CallRequested]. Its
// methods must not block.
type Backend interface {
	Start(r Run)
	Cancel(id string)
	ReplyToCall(id string, reply []byte) // to the downstream call that the run waits for
	SkipCall(id string, notice uint64)   // the run goes on without that call
}

// Machine reports on the machine that a backend runs on. Its methods must not block.
type Machine interface {
	ReadGauges(reply func(decision.Gauges))
	CheckHealth(reply func(good bool))
}

// CallOutcome is how a downstream call ended.
type CallOutcome = decision.Outcome

// Dependency makes the downstream calls of runs. It reports by [Core.CallCompleted], with
// the number that tells the calls of a run apart. Its methods must not block.
type Dependency interface {
	Call(id string, number int, wait time.Duration, body []byte)
	Abandon(id string)
}

// Registrar tells callers whether this server accepts requests. Its method must not block.
type Registrar interface {
	SetAccepting(on bool)
}

// Connections closes connections that idle for too long. Its method must not block.
type Connections interface {
	SetIdleTimeout(after time.Duration)
}

// Observer gets each final answer, for metrics: the class by its name, or
// [RemovedClass], the kind, and the time since the request arrived. duplicate is set where
// the answer is the result of another attempt. Its method must not block.
type Observer interface {
	ObserveResponse(class string, kind OutcomeKind, took time.Duration, duplicate bool)
}

// RemovedClass is reported to the Observer instead of a class that the settings had when
// the request came and no longer have.
const RemovedClass = "(dropped)"
