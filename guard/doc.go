// Package guard decides whether something may be started, repeated, answered or closed
// now, so that the platform's rules hold whatever asked for it. It is the one place of
// these decisions: the core asks it before a run begins, a call is made, or an answer
// is given, and transport before a connection is ended.
//
// The decisions are pure functions of what their callers know: they do no I/O and read
// no clock. Each of them guards against one kind of error, that something is concluded
// from a timer or from what a peer wrote of itself, while the fact that counts has
// already changed:
//
//   - a connection is not ended because a timer fired, but because its socket was read
//     empty just now, nothing is owed on it, and its peer has known for long enough that
//     nothing new is wanted ([MayClose]);
//   - a connection is not given up for a message that makes no sense: the requests before
//     and behind it are still owed their answers ([MayContinue]);
//   - a connection is not taken for dead because one system call failed, but because its
//     error proves that ([MayRetry]);
//   - a process does not end because the moment has come for which that was planned, but
//     because nothing that it has taken is left ([MayExit]);
//   - a run is not begun because a request says that it came in time, but because it
//     was read before the grace ended, which was counted from the last moment at which
//     the notice can't have come yet ([MayStart]);
//   - a request is not turned away with the promise that it never ran once it may have
//     had its effect ([MayShed]), and gets one answer ([MayAnswer]);
//   - a call is made again only if its effect may be had twice, or an outcome proved that
//     it was not had ([MayCall]).
//
// A [Monitor] counts what was denied and, where a check after the fact finds a broken
// rule, counts and logs the violation.
package guard
