// Package guard decides whether something may be started, retried, answered or closed
// now, so that the platform's rules hold whatever asked for it. It is the one place of
// these decisions: the core asks it before a run begins, a downstream call is made, or a
// response is sent, and transport before a connection is closed.
//
// The decisions are pure functions of what their callers know: they do no I/O and read
// no clock. They go by facts of the present moment, and not by a timer that fired or by
// what a peer claims, since the facts may have changed in the meantime:
//
//   - a connection is closed not because a timer fired, but because its socket was read
//     empty just now, no response is pending, and its peer was notified long enough ago
//     ([MayClose]);
//   - a connection is not closed for one invalid message: the requests before and after
//     it still get their responses ([MayContinue]);
//   - a connection is not given up because one system call failed, but because its error
//     proves that the connection has ended ([MayRetry], which is about reads and writes of
//     a connection, not about downstream calls);
//   - a process exits not because the planned moment has come, but because nothing that
//     it has accepted is left ([MayExit]);
//   - a run begins not because the request claims to have arrived in time, but because it
//     was read before the grace period ended, which is counted from the last moment before
//     which the signal can't have come ([MayStart]);
//   - a request is not shed, which promises that it never ran, once it may have had its
//     effect ([MayShed]), and gets one response ([MayAnswer]);
//   - a downstream call is retried only if it is idempotent, or an outcome proved that it
//     had no effect ([MayCall]); within that, package policy decides when it is.
//
// A denial is an error of type [*DenialError], or a [HoldReason] where the caller is to
// ask again later. A [Monitor] counts denials and, where a check after the fact finds a
// broken rule, counts and logs the violation.
package guard
