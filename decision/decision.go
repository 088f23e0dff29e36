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
	Idempotent    Effect = iota // may be repeated freely
	Keyed                       // may arrive again within its window, must run once
	NonIdempotent               // must never run twice
)

// CancelMode says what Host.Halt does to running work.
type CancelMode int

// The ways in which running work can be stopped.
const (
	CancelNever   CancelMode = iota // work can't be stopped
	CancelDiscard                   // what was done is lost
	CancelPause                     // work stays where it is until it is run again
)

// LoadReportMode says how callers read the value given by Host.Say.
type LoadReportMode int

// The meanings of the free value.
const (
	LoadReportNone    LoadReportMode = iota // there is no such value
	LoadReportMinRank                       // callers send nothing of lower rank
	LoadReportCredit                        // the requests that each caller may have out here
	LoadReportWeight                        // the chance that a caller does not skip this instance
)

// DependencyKind says what requests call while they run.
type DependencyKind int

// The kinds of dependency.
const (
	NoDependency     DependencyKind = iota
	SharedDependency                // one dependency that all instances share
	NextTier                        // the next tier of instances
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it, from the first try on, earns full worth
	ObjectivePerCost float64       // the aim grows by this multiple of the request's own work
	Deadline         time.Duration // how long a client waits in all
	Weight           float64
	LateWeight       float64 // share of the worth earned after the aim
	DegradedWeight   float64 // share of the worth earned when a call was left out
	Effect           Effect
	KeyWindow        time.Duration // keyed: how long after its arrival a request may come again
	CallsDependency  bool          // its requests may call what lies below
}

// Tenant describes one customer.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet
}

// Settings is all that an instance is told at its start.
type Settings struct {
	Classes               []Class
	Tenants               []Tenant
	OverQuotaWeight       float64 // share of the worth of a request beyond its tenant's quota
	Servers               int     // instances listed at this start
	Callers               int
	Cores                 int
	SlowStart             bool // just started: slow, and calling more
	MemoryKB              float64
	KeyMemoryKB           float64 // memory of one remembered key
	RunningMemoryFactor   float64 // memory of a running request over that of a held one
	Dependency            DependencyKind
	CallQuota             float64       // shared dependency: this instance's share of the calls it survives
	CallQuotaWindow       time.Duration // the span over which those are averaged
	AbandonedCallDuration time.Duration // how long a call that was given up may stay below
	CacheTTL              time.Duration // how long a read's answer serves others; 0 for never
	CancelMode            CancelMode
	LoadReportMode        LoadReportMode
	ListFollowsHealth     bool          // the list that callers get follows this server's health
	LoadReportTTL         time.Duration // how long a caller keeps the said value in mind
	MaxRetryAfter         time.Duration // longest stay-away advice that is heeded; 0 for none
	MaxIdleTime           time.Duration // callers close connections that idle this long
	DeadlineSlack         time.Duration // how long past its due time an answer still counts
	DrainGrace            time.Duration // arrivals later than this after Drain must not run
	OverloadRatio         float64       // requests on the cores for each core that a warm instance survives
	OverloadWindow        time.Duration // the span over which those are averaged
	SlowStartMinSpeed     float64       // lowest share of its speed at a cold start
	SlowStartDuration     time.Duration // longest time until it is warm
	BatchInterval         time.Duration // shortest gap between two batches
}

// Outcome says how a run or a call ended.
type Outcome int

// The outcomes of runs and calls.
const (
	Succeeded       Outcome = iota
	Failed                  // failed; a call may have had its effect
	Rejected                // a call was turned away unseen
	TimedOut                // a call was given up; it may have had its effect
	ConnectFailed           // a call never reached what lies below
	ConnectionReset         // a call was cut off; it may have had its effect
	Cancelled               // a run was stopped
	NotStarted              // nothing was started: the request was over
)

// Request is a request that was read and is now held.
type Request struct {
	ID          string
	Class       int           // index in Settings.Classes
	Tenant      int           // index in Settings.Tenants; 0 without tenants
	CacheKey    string        // what it concerns; may be empty
	Deadline    time.Duration // when its caller gives up, on the events' clock; 0 if not told
	CostHint    time.Duration // rough hint of its work; 0 if not told
	ReservedKB  float64
	Rank        float64 // 0 to 1, by worth
	Retry       bool
	Write       bool
	Caller      int           // caller
	Waited      time.Duration // how long ago it reached the machine
	DuplicateOf string        // the kept request that it repeats; may be empty
}

// Gauges are the readings that come with Instance.Tick. A reading that is
// not given is negative.
type Gauges struct {
	CoreUtilization   float64 // busy share of the cores of late
	RunnableTasks     float64 // all that wants a core now
	MemoryUtilization float64 // share of the memory in use
	Connections       float64 // open connections
}

// FleetBounds are a server's part of what its fleet shares, as it stands. They only
// bound what the module decides by itself.
type FleetBounds struct {
	MaxCalls     float64     // that may be in hand below at any instant
	AcquireRetry func() bool // takes one of the repeats of calls that are left, if any; nil for no bound
}

// Host carries out an instance's actions, in the order in which they come.
type Host interface {
	Run(id string)
	Cancel(id string)
	Shed(id string, stayAway time.Duration, last bool)
	Fail(id string)
	Call(id string, timeout time.Duration)
	SkipCall(id string)
	CacheResult(id string, ttl time.Duration)
	EvictResult(id string)
	ServeCached(id string)
	SetHealth(on, cached bool)
	PublishLoad(value float64)
	SetIdleTimeout(after time.Duration)
	SetTimer(after time.Duration, token int64)
	Log(text string)
}
