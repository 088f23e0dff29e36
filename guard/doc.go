// Package guard checks the platform's rules before an action: it decides whether a run, a
// downstream call or a retry may start, a response may be sent, a connection may be closed,
// or the process may exit. All code that takes such an action asks this package first:
// package dispatch for requests and downstream calls, packages transport and frontend for
// connections, and package server for the exit.
//
// Each decision is a pure function of the facts that its caller passes: it does no I/O and
// reads no clock. The facts describe the present state. An expired timer or a peer's claim
// is not enough, because the state may have changed since:
//
//   - [MayClose]: a connection is closed only if a read has just emptied its socket and, unless
//     the process exits, no response is pending and its peer was notified long enough ago;
//   - [MayReclaim], [MayAbandon]: at the limit of connections, a connection whose peer
//     withholds something is closed for the benefit of peers that wait, but not before every
//     message that has arrived completely has its response;
//   - [MayContinue]: a connection is not closed because of one invalid message, since the
//     requests before and after it still get their responses;
//   - [MayRetry]: a connection is closed after a failed read or write only if the error
//     proves that the connection has ended, or after too many consecutive failures. For
//     downstream calls, see [MayCall];
//   - [MayExit]: a process exits only if no connection or request is left, or after a maximum
//     number of checks. It isn't enough that the planned time of the exit has passed;
//   - [MayStart]: while the process drains, a request is run only if it was read before the
//     grace period ended. The grace period starts at the earliest time at which the drain
//     signal may have been sent. The arrival time that the request claims is not used;
//   - [MayShed]: a request that may have had its effect is shed only if it is idempotent,
//     because the caller of a shed request may send it again;
//   - [MayAnswer]: a request gets one response;
//   - [MayCall]: a downstream call is retried only if it is idempotent, or the last outcome
//     proved that it had no effect. Package policy decides when to retry.
//
// A denial is an error of type [*DenialError], or a [HoldReason] if the caller has to check
// again later. A [Monitor] counts denials. It also counts and logs violations: cases in which
// a check after the action finds that a rule was broken.
package guard
