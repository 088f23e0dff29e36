package thrift

// The keys of execute's fields, as the balancers write them. Code that reads a request
// uses these names and not the keys.
const (
	FieldClass          = "verb"     // the request's class, named as in the settings
	FieldTenant         = "team"     // whose share the request counts on
	FieldAttemptID      = "txn"      // 16 hex digits, new with every attempt
	FieldArrivedAt      = "door"     // when the request reached the machine, in Unix milliseconds
	FieldTimeout        = "limit"    // milliseconds for which the caller waits, counted from the arrival
	FieldCaller         = "lb"       // number of the balancer
	FieldReservedMemory = "ram"      // memory that the request takes while it is held, in KB
	FieldRank           = "standing" // the caller's rank, from 0 to under 1
	FieldIdempotencyKey = "unique"   // the same for all attempts of one request
	FieldCacheKey       = "item"     // what a read is about; absent in writes
)

// The keys of an answer's fields.
const (
	FieldRetryAfter       = "later"    // milliseconds for which the balancer stays away
	FieldNoRetryElsewhere = "giveup"   // "1" where no other server is to be tried
	FieldLoadReport       = "feedback" // the load that the server reports
)
