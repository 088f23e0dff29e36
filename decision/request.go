package decision

import "time"

// Request is an attempt of a request that was read and waits for a decision.
type Request struct {
	ID          string
	Class       int           // index in Settings.Classes
	Tenant      int           // index in Settings.Tenants; 0 without tenants
	CacheKey    string        // what a read is about, so that its result serves others; may be empty
	Deadline    time.Duration // when its caller stops waiting; 0 if not known
	CostHint    time.Duration // estimate of the time that it needs the cores; 0 if not known
	ReservedKB  float64       // memory that it needs while it is queued
	Rank        float64       // position among all requests by weight, from 0 to under 1
	Retry       bool          // it is not the first attempt
	Write       bool          // it changes something
	Caller      int
	Waited      time.Duration // from its arrival at the machine until it was read
	DuplicateOf string        // id of the earlier attempt whose result it may get; may be empty
}

// Gauges are the readings that come with a timer. One that is not known is negative.
type Gauges struct {
	CoreUtilization   float64 // moving average of the fraction of the cores in use
	RunnableTasks     float64 // tasks that run or wait for a core
	MemoryUtilization float64 // fraction of the memory in use
	Connections       float64 // open connections
}

// FleetBounds are a server's part of what its fleet shares. They only bound what the
// module decides by itself.
type FleetBounds struct {
	MaxCalls     float64     // calls that may be in flight at any instant
	AcquireRetry func() bool // takes one of the retries of calls that are left, if any; nil for no bound
}
