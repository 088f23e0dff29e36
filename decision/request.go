package decision

import "time"

// Request is one attempt of a request, which was read and waits for a decision.
type Request struct {
	ID          string
	Class       int           // index in Settings.Classes
	Tenant      int           // index in Settings.Tenants; 0 without tenants
	CacheKey    string        // reads with the same key may share a result; empty if the result isn't shared
	Deadline    time.Duration // when the caller stops waiting; 0 if unknown
	CostHint    time.Duration // estimated core time of its run; 0 if unknown
	ReservedKB  float64       // memory that it needs while it is queued
	Rank        float64       // position among all requests ordered by weight, from 0 (lowest) to under 1
	Retry       bool          // this is not the first attempt
	Write       bool          // running it changes state
	Caller      int           // identifies the caller in load reports
	ReadLag     time.Duration // time from its arrival at the machine until it was read
	DuplicateOf string        // id of an earlier attempt whose result this one may use; may be empty
}

// Gauges are the measurements that come with a timer. An unknown one is negative.
type Gauges struct {
	CoreUtilization   float64 // moving average of the fraction of the cores in use
	RunnableTasks     float64 // tasks that run or wait for a core
	MemoryUtilization float64 // fraction of the memory in use
	Connections       float64 // open connections
}

// FleetBounds are a server's part of the limits that its fleet shares. They apply in
// addition to the module's own limits.
type FleetBounds struct {
	MaxCalls     float64     // calls that may be in flight at any instant
	AcquireRetry func() bool // takes one of the fleet's remaining call retries, if any; nil for no limit
}
