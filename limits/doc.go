// Package limits bounds how many runs of each class are in flight at once. Each class has a
// pool of slots, whose limit adapts to the latencies of the class's runs. Pools lend their
// unused slots to each other, and some slots are reserved for the cheapest class, so that it
// keeps running under any load. The package does no I/O and reads no clock: its caller
// passes the time.
//
// # Use
//
// The decision module (package policy) decides which requests run and in which order. The
// pools bound how many of these run at once. A run takes a slot by [Pools.TryAcquire]. If
// there is no slot, the run is queued by [Pools.Enqueue]. If Enqueue returns false because the
// run is expected to end too late, the caller sheds the request. This is allowed because the
// request never ran.
// A run that ends returns its slot by [Pools.Release], which returns the queued runs that
// may start now. If the request of a queued run ends before the run starts, [Pools.Cancel]
// removes the run from the queue.
//
// A run gets one of these slots:
//
//   - a slot of its own class's pool;
//   - a slot that other pools don't use, provided that the latencies of its own pool show no
//     queueing downstream. All pools share the downstream, and a pool whose runs queue there
//     would only overload it further;
//   - a reserved slot, if its class is the cheapest.
//
// # Algorithm
//
// Each pool's limit follows the latencies of its runs as TCP Vegas follows the round-trip
// times of a connection (Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance
// on a Global Internet", IEEE JSAC 13(8), 1995), in the form of the Vegas limit of
// Netflix's concurrency-limits library (github.com/Netflix/concurrency-limits,
// VegasLimit). With the recent mean latency and its minimum,
//
//	queue = limit * (1 - minimum / recent)
//
// estimates how many of the runs in flight wait downstream rather than execute. The limit
// grows while fewer than alpha runs wait, and shrinks while more than beta wait. It changes
// by about one slot while as many runs end as the limit allows at once, which takes about one
// round trip. The limit therefore settles a few runs above the point from which more concurrent
// runs only wait longer, and below the point from which the total throughput falls.
//
// The minimum is taken of means over about twenty runs rather than of single runs. Runs
// differ in their work, so the shortest latency doesn't show the mean latency of runs that
// don't wait. The minimum grows by a hundred-thousandth with each run, so that it adapts
// within some tens of thousands of runs if the downstream becomes permanently slower.
package limits
