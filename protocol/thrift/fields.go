package thrift

// The keys of execute's fields, as the balancers write them. Code that reads a request uses
// these names instead of the keys.
const (
	FieldClass          = "verb"     // the request's class, as named in the settings
	FieldTenant         = "team"     // the tenant whose quota the request counts against
	FieldAttemptID      = "txn"      // 16 hex digits, unique to each attempt
	FieldArrivedAt      = "door"     // when the request reached the machine, in Unix milliseconds
	FieldTimeout        = "limit"    // how long the caller waits after the arrival, in milliseconds
	FieldCaller         = "lb"       // the balancer's number
	FieldReservedMemory = "ram"      // memory that the request occupies while it is queued, in KB
	FieldRank           = "standing" // the request's rank among all requests, from 0 to less than 1
	FieldIdempotencyKey = "unique"   // the same for all attempts of a request
	FieldCacheKey       = "item"     // what a read is about; absent in writes
)

// The keys of an answer's fields.
const (
	FieldRetryAfter       = "later"    // how long the balancer must not send requests, in milliseconds
	FieldNoRetryElsewhere = "giveup"   // "1" if the request must not be retried at another server
	FieldLoadReport       = "feedback" // the server's load report
)
