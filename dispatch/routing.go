// Package dispatch is the core of the app server: requests, attempts and
// outcomes. It knows no wire. One goroutine owns the decision module and the
// state of all requests; fronts and backends send it events.
//
// A request passes the stages take in, admit, route, send, relay and answer,
// each in a file of its own.
package dispatch

import (
	"time"

	"quincerail.example/quincerail/decision"
)

// Request is one try of a request as a front read it.
type Request struct {
	ID         string    // new with every try
	Class      string    // by its name in the settings
	Key        string    // keyed classes: the same for all tries of one request
	CacheKey   string    // what a read is about; may be empty
	Tenant     string    // by its name in the settings; of no meaning where these have none
	ArrivedAt  time.Time // when it came to the machine; what is past its time then is only answered
	ReadAfter  time.Time // its last byte came after this, where it came in pieces; zero else
	ReadBy     time.Time // its last byte came before this; zero for now
	Deadline   time.Time // when its caller gives up, where that is sooner than its class's deadline; zero else
	Caller     int
	ReservedKB float64 // memory that it takes while held
	Rank       float64 // 0 to 1, by worth
	Payload    Payload
	Backend    Backend   // runs it; nil for the core's own
	Responder  Responder // gets the answer
}

// OutcomeKind says how a request was answered.
type OutcomeKind int

// The kinds of answers.
const (
	Served OutcomeKind = iota // with the result of a run
	Shed                      // this try never ran, or may be repeated freely
	Failed
	TimedOut // failed because its time is over
	Rejected // never run: its id is open, or its key is another request's
)

// String names the kind, as metrics and logs do.
func (k OutcomeKind) String() string {
	return [...]string{Served: "served", Shed: "refused", Failed: "failed", TimedOut: "deadline", Rejected: "rejected"}[k]
}

// Outcome is a request's final answer.
type Outcome struct {
	Kind             OutcomeKind
	Result           Payload       // served; failed: what the run said, if anything
	RetryAfter       time.Duration // refused: how long to stay away
	NoRetryElsewhere bool          // refused: the wish that it is not tried elsewhere
}

// Responder takes a request's one final answer. It must not block.
type Responder interface {
	Respond(id string, o Outcome)
}

// RunEnd says how a run ended.
type RunEnd int

// The ends of a run.
const (
	RunSucceeded  RunEnd = iota // with a result
	RunFailed                   // it failed
	RunCancelled                // it was stopped
	RunNotStarted               // nothing was started, as the request was over
)

// Run is work for a backend: an attempt at a request.
type Run struct {
	ID       string
	Class    string
	Deadline time.Time
	Payload  Payload
}

// Backend runs requests. Its methods must not block; what becomes of a run is
// told by the core's Completed and Asked.
type Backend interface {
	Start(r Run)
	Cancel(id string)
	ReplyToCall(id string, reply []byte) // to the call that a run waits for
	SkipCall(id string, notice uint64)   // go on without that call
}

// Machine is what a backend may tell of the machine that it runs on. Its
// methods must not block.
type Machine interface {
	ReadGauges(reply func(decision.Gauges))
	CheckHealth(reply func(good bool))
}

// CallOutcome says how a call ended.
type CallOutcome = decision.Outcome

// Dependency makes calls for runs. Its methods must not block; how a call
// ended is told by the core's Called, with the number that tells a run's calls
// apart.
type Dependency interface {
	Call(id string, number int, wait time.Duration, body []byte)
	Abandon(id string)
}

// Registrar tells callers whether work is taken. Its method must not block.
type Registrar interface {
	SetAccepting(on bool)
}

// Connections is told how long idle connections may stay. Its method must not block.
type Connections interface {
	SetIdleTimeout(after time.Duration)
}
