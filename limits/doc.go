// Package limits bounds how many runs of each class are in flight at once: one pool of
// slots for each class, whose capacity adapts to what is downstream, slots reserved for
// the cheapest class, which keep it running under any load, and borrowing of slots
// between pools. It does no I/O and reads no clock: its caller passes the time in.
//
// # Use
//
// The decision module (package policy) decides which requests run and in which order;
// the pools bound what runs below it. A run takes a slot by [Pools.TryAcquire]. If there
// is none, it is queued ([Pools.Enqueue]), unless it would wait longer than its patience:
// then it has to be shed, since it never ran. A run that ends returns its slot by
// [Pools.Release], which returns the queued runs that may start now. A queued run whose
// request ends leaves the queue by [Pools.Cancel].
//
// A run gets a slot of its class's own pool; or one that other pools don't use, as long
// as its own pool's latencies show no queueing downstream (pools share what is
// downstream, and a pool that queues there would only overload it further); or, if its
// class is the cheapest, a reserved one.
//
// # Algorithm
//
// Each pool's capacity follows the latencies of its runs as TCP Vegas follows the round
// trips of a connection (Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance
// on a Global Internet", IEEE JSAC 13(8), 1995), in the form of the Vegas limit of
// Netflix's concurrency-limits library (github.com/Netflix/concurrency-limits,
// VegasLimit). With the recent mean latency and its minimum,
//
//	queue = limit * (1 - minimum / recent)
//
// is how many of the runs in flight wait rather than work. While fewer than alpha wait,
// the limit grows; while more than beta wait, it shrinks, by about one for each limit's
// worth of runs that end, which is once a round trip. So it settles a few runs past the
// point from which more runs at once only wait longer, before the point from which the
// total throughput falls.
//
// The minimum is one of means over about twenty runs, not of single runs: runs differ in
// their work, and the shortest one is not a run that did not wait. It grows by a
// hundred-thousandth with each run, so that it follows a downstream that became slower
// for good within some tens of thousands of runs.
package limits
