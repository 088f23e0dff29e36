package decision

import "time"

// Effect tells whether a request may be run more than once.
type Effect int

// The effects of a request.
const (
	Idempotent    Effect = iota // running it twice has the effect of running it once
	Keyed                       // retries come with its idempotency key; it must run once in its window
	NonIdempotent               // it must never run twice
)

// CancelMode tells what Host.Cancel does to a run.
type CancelMode int

// The ways in which a run can be cancelled.
const (
	CancelNever   CancelMode = iota // a run can't be cancelled
	CancelDiscard                   // what was done is lost
	CancelPause                     // the run stays where it is, to be resumed by Host.Run
)

// LoadReportMode tells how callers read the value given to Host.PublishLoad.
type LoadReportMode int

// The meanings of a load report.
const (
	LoadReportNone    LoadReportMode = iota // there are no load reports
	LoadReportMinRank                       // callers send no request of a lower rank
	LoadReportCredit                        // requests that each caller may have in flight here
	LoadReportWeight                        // probability that a caller does not pass over this instance
)

// DependencyKind tells what requests call while they run.
type DependencyKind int

// The kinds of dependency.
const (
	NoDependency     DependencyKind = iota
	SharedDependency                // one dependency that all instances call
	NextTier                        // the next tier of instances
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it, from the first attempt on, earns full weight
	ObjectivePerCost float64       // times a request's CostHint: added to its latency objective
	Deadline         time.Duration // how long a caller waits for all attempts together
	Weight           float64       // priority weight: what an answer counts when not all can be served
	LateWeight       float64       // fraction of the weight that an answer after the objective earns
	DegradedWeight   float64       // the same for an answer whose call was skipped; 0 if it needs the call
	Effect           Effect
	KeyWindow        time.Duration // keyed requests: how long after its arrival a retry may come
	CallsDependency  bool          // its requests may call the dependency
}

// Tenant describes a customer.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet; 0 for no bound
}

// Settings is what an instance starts with. Settings.Validate names what makes no sense.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // fraction of its weight that a request beyond its tenant's quota keeps at least
	Servers         int     // instances in the endpoint list
	Callers         int     // callers that send to them

	// The machine.
	Cores               int
	MemoryKB            float64
	KeyMemoryKB         float64       // memory of one cached result
	RunningMemoryFactor float64       // memory of a running request over that of a queued one
	OverloadRatio       float64       // runnable requests per core that a warm instance survives
	OverloadWindow      time.Duration // over which OverloadRatio is averaged
	SlowStart           bool          // it starts cold: slow, and with more calls to the dependency
	SlowStartMinSpeed   float64       // fraction of its normal speed at a cold start
	SlowStartDuration   time.Duration // until it has its normal speed at the latest

	// The dependency.
	Dependency            DependencyKind
	CallQuota             float64       // calls in flight that a shared one can bear from this instance
	CallQuotaWindow       time.Duration // over which CallQuota is averaged
	AbandonedCallDuration time.Duration // how long a call may keep the dependency busy after it was abandoned

	CacheTTL   time.Duration // how long a read's result serves other requests; 0 for never
	CancelMode CancelMode

	// What callers are told.
	LoadReportMode    LoadReportMode
	LoadReportTTL     time.Duration // how long a caller acts on a load report
	ListFollowsHealth bool          // the endpoint list leaves out instances of bad health
	MaxRetryAfter     time.Duration // longest Retry-After that callers heed; 0 if they heed none
	MaxIdleTime       time.Duration // after which callers close idle connections

	DeadlineSlack time.Duration // how long after its deadline an answer still counts
	DrainGrace    time.Duration // after Drain: requests that arrive later than this must not run
	BatchInterval time.Duration // shortest time between two batches of events
}
