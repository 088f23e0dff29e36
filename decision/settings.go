package decision

import "time"

// Idempotency says whether a request may be run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // running it twice has the effect of running it once
	Keyed                            // retries carry its idempotency key; it must run once in Class.KeyWindow
	NonIdempotent                    // it must never run twice
)

// CancelMode says what Host.Cancel does to a run.
type CancelMode int

// The ways to cancel a run.
const (
	CancelNever   CancelMode = iota // a run can't be cancelled
	CancelDiscard                   // the run ends, and its work is lost
	CancelPause                     // the run is paused, and Host.Run resumes it
)

// LoadReportMode says how callers interpret the value given to Host.PublishLoad.
type LoadReportMode int

// The meanings of a load report.
const (
	LoadReportNone    LoadReportMode = iota // no load reports are sent
	LoadReportMinRank                       // callers send only requests of this rank or higher
	LoadReportCredit                        // requests that each caller may have in flight at this instance
	LoadReportWeight                        // probability that a caller uses an instance after picking it
)

// DependencyKind says what requests call while they run.
type DependencyKind int

// The kinds of dependency.
const (
	NoDependency     DependencyKind = iota
	SharedDependency                // one dependency that all instances call
	NextTier                        // the next tier of instances
)

// Class holds the settings that all requests of a class share: its time limits, the value of
// its answers, and whether its requests may run again.
type Class struct {
	LatencyObjective time.Duration // an answer this soon after the first attempt earns full weight
	ObjectivePerCost float64       // this many times CostHint is added to a request's latency objective
	Deadline         time.Duration // how long a caller waits for all attempts together
	Weight           float64       // priority weight: value of an answer when not all requests can be served
	LateWeight       float64       // fraction of Weight that a later answer earns
	DegradedWeight   float64       // fraction of Weight earned without the call; 0 if it is needed
	Idempotency      Idempotency
	KeyWindow        time.Duration // keyed requests: time after the arrival within which retries may arrive
	CallsDependency  bool          // its requests may call the dependency
}

// Tenant holds the settings of one customer.
type Tenant struct {
	Quota float64 // requests per second over the whole fleet; 0 for no limit
}

// Settings configures an instance. Settings.Validate rejects invalid values.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // least factor on the weight of a request beyond its tenant's quota
	Servers         int     // instances in the endpoint list
	Callers         int     // callers that send to these instances

	// The machine.
	Cores               int
	MemoryKB            float64
	KeyMemoryKB         float64       // memory of one cached result
	RunningMemoryFactor float64       // memory of a running request, as a multiple of Request.ReservedKB
	OverloadRatio       float64       // runnable requests per core above which a warm instance is overloaded
	OverloadWindow      time.Duration // averaging window of OverloadRatio
	SlowStart           bool          // the instance starts cold: slow, with more calls to the dependency
	SlowStartMinSpeed   float64       // fraction of normal speed at a cold start
	SlowStartDuration   time.Duration // time until normal speed, at most

	// The dependency.
	Dependency            DependencyKind
	CallQuota             float64       // calls in flight that this instance may have at SharedDependency
	CallQuotaWindow       time.Duration // averaging window of CallQuota
	AbandonedCallDuration time.Duration // how long the dependency may keep working on an abandoned call

	CacheTTL   time.Duration // how long a read's result serves other requests; 0 disables sharing
	CancelMode CancelMode

	// Load information for callers.
	LoadReportMode             LoadReportMode
	LoadReportTTL              time.Duration // how long a caller acts on a load report
	EndpointListOmitsUnhealthy bool          // the endpoint list omits unhealthy instances
	MaxRetryAfter              time.Duration // longest Retry-After that callers obey; 0 if they obey none
	MaxIdleTime                time.Duration // idle time after which callers close connections

	DeadlineSlack time.Duration // an answer this long after the deadline still counts
	DrainGrace    time.Duration // requests that arrive later than this after Drain must not run
	BatchInterval time.Duration // shortest time between two batches of events
}
