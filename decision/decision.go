// Package decision holds what passes between a server and its decision module
// (package policy): the settings that an instance is told, the requests and
// gauges that it takes in, and the actions that it gives (Host). It decides
// nothing; all decisions are in package policy, after the design's paper
// (PAPER-adaptive-timeout-strategies).
package decision

import "time"

// Effect says whether a request may be run more than once.
type Effect int

// The effects of a request.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // may arrive again within its window, must run once
	Unsafe               // must never run twice
)

// StopMode says what Host.Halt does to running work.
type StopMode int

// The ways in which running work can be stopped.
const (
	StopNever StopMode = iota // work can't be stopped
	StopDrop                  // what was done is lost
	StopPause                 // work stays where it is until it is run again
)

// SayMode says how callers read the value given by Host.Say.
type SayMode int

// The meanings of the free value.
const (
	SayNothing SayMode = iota // there is no such value
	SayRank                   // callers send nothing of lower rank
	SayCredit                 // the requests that each caller may have out here
	SayWeight                 // the chance that a caller does not skip this instance
)

// Below says what requests call while they run.
type Below int

// The kinds of dependency.
const (
	BelowNothing Below = iota
	BelowShared        // one dependency that all instances share
	BelowTier          // the next tier of instances
)

// Class describes one class of requests.
type Class struct {
	Aim        time.Duration // an answer within it, from the first try on, earns full worth
	AimStretch float64       // the aim grows by this multiple of the request's own work
	Deadline   time.Duration // how long a client waits in all
	Worth      float64
	LateWorth  float64 // share of the worth earned after the aim
	SkipWorth  float64 // share of the worth earned when a call was left out
	Effect     Effect
	Window     time.Duration // keyed: how long after its arrival a request may come again
	Calls      bool          // its requests may call what lies below
}

// Tenant describes one customer.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet
}

// Settings is all that an instance is told at its start.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // share of the worth of a request beyond its tenant's quota
	Servers        int     // instances listed at this start
	Callers        int
	Cores          int
	Cold           bool // just started: slow, and calling more
	MemoryKB       float64
	KeyKB          float64 // memory of one remembered key
	RunFactor      float64 // memory of a running request over that of a held one
	Below          Below
	CallsOut       float64       // shared dependency: this instance's share of the calls it survives
	CallsOver      time.Duration // the span over which those are averaged
	Linger         time.Duration // how long a call that was given up may stay below
	Fresh          time.Duration // how long a read's answer serves others; 0 for never
	Stop           StopMode
	Say            SayMode
	Readiness      bool          // the list that callers get follows this server's health
	Heeded         time.Duration // how long a caller keeps the said value in mind
	MaxAdvice      time.Duration // longest stay-away advice that is heeded; 0 for none
	MaxIdle        time.Duration // callers close connections that idle this long
	AnswerSlack    time.Duration // how long past its due time an answer still counts
	DrainGrace     time.Duration // arrivals later than this after Drain must not run
	FallMultiple   float64       // requests on the cores for each core that a warm instance survives
	FallSpan       time.Duration // the span over which those are averaged
	ColdFrom       float64       // lowest share of its speed at a cold start
	ColdSpan       time.Duration // longest time until it is warm
	BatchGap       time.Duration // shortest gap between two batches
}

// Outcome says how a run or a call ended.
type Outcome int

// The outcomes of runs and calls.
const (
	OK            Outcome = iota
	Errored               // failed; a call may have had its effect
	Full                  // a call was turned away unseen
	TimedOut              // a call was given up; it may have had its effect
	ConnectFailed         // a call never reached what lies below
	Reset                 // a call was cut off; it may have had its effect
	Cancelled             // a run was stopped
	Moot                  // nothing was started: the request was over
)

// Request is a request that was read and is now held.
type Request struct {
	ID      string
	Class   int           // index in Settings.Classes
	Tenant  int           // index in Settings.Tenants; 0 without tenants
	Key     string        // what it concerns; may be empty
	Due     time.Duration // when its caller gives up, on the events' clock; 0 if not told
	Cost    time.Duration // rough hint of its work; 0 if not told
	HeldKB  float64
	Rank    float64 // 0 to 1, by worth
	Retry   bool
	Write   bool
	From    int           // caller
	Waited  time.Duration // how long ago it reached the machine
	Earlier string        // the kept request that it repeats; may be empty
}

// Gauges are the readings that come with Instance.Tick. A reading that is
// not given is negative.
type Gauges struct {
	CoreUse float64 // busy share of the cores of late
	OnCores float64 // all that wants a core now
	Memory  float64 // share of the memory in use
	Conns   float64 // open connections
}

// Bounds are a server's part of what its fleet shares, as it stands. They only
// bound what the module decides by itself.
type Bounds struct {
	Calls  float64     // that may be in hand below at any instant
	Repeat func() bool // takes one of the repeats of calls that are left, if any; nil for no bound
}

// Host carries out an instance's actions, in the order in which they come.
type Host interface {
	Run(id string)
	Halt(id string)
	Refuse(id string, stayAway time.Duration, last bool)
	Fail(id string)
	Call(id string, timeout time.Duration)
	Skip(id string)
	Keep(id string, ttl time.Duration)
	Forget(id string)
	Reuse(id string)
	Health(on, cached bool)
	Say(value float64)
	CloseIdle(after time.Duration)
	Wake(after time.Duration, token int64)
	Log(text string)
}
