package server

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/transport"
)

const (
	thriftWithin = 1500 * time.Millisecond // for the first message to begin, until the peer is told leaving
	thriftStalls = 2400 * time.Millisecond // that a message may stand still before it is whole
	roomEvery    = 10 * time.Millisecond   // at most, room is made where connections are scarce; there,
	silentAfter  = 50 * time.Millisecond   // a connection that has said nothing is asked to end after so long,
	crowdedAfter = 250 * time.Millisecond  // one that idles after so long,
	crowdedLeave = 100 * time.Millisecond  // and one that was asked to is ended after so long
)

// connectionObserver is told of each end of a connection, with the number of requests on
// it that had no answer then.
type connectionObserver interface {
	ConnectionEnded(end transport.Ending, unanswered int)
}

// thriftFront is the front for the balancers' protocol.
type thriftFront struct {
	core  *dispatch.Core
	rules *match.Rules
	log   *slog.Logger
	conns registry[*thriftConn]

	observer connectionObserver // nil for none
	monitor  *guard.Monitor

	leaving   atomic.Bool               // leave is taken of all, also of those that come now
	drainBy   atomic.Pointer[time.Time] // when all are to end, also those that come now; nil before
	newcomers int                       // since room was made; both belong to the accepting goroutine
	roomMade  time.Time
}

func newThriftFront(core *dispatch.Core, rules *match.Rules, log *slog.Logger, observer connectionObserver, monitor *guard.Monitor) *thriftFront {
	return &thriftFront{core: core, rules: rules, log: log, observer: observer, monitor: monitor, conns: newRegistry[*thriftConn]()}
}

// serve works one connection. Requests still open when it ends have lost their
// caller.
func (f *thriftFront) serve(c *transport.Conn) {
	t := newThriftConn(f, c)
	f.conns.add(t)
	defer f.conns.remove(t)
	if f.leaving.Load() { // else leave, which comes after this look, finds it registered
		t.notifyOrClose(leaveWithin)
	}
	if by := f.drainBy.Load(); by != nil { // likewise
		c.Drain(*by)
	}
	c.SetReceiveTimeouts(thriftWithin, thriftStalls, t.owes)
	c.NotifyBeforeClose(t.notify)
	var lost []string
	c.OnClose(func(error) { lost = t.failOpen() })
	c.Serve(t.step)
	lost = append(lost, t.failOpen()...) // also where a write failed
	f.ended(c, lost)
}

// maxLoggedRequests bounds how many request ids one log line has.
const maxLoggedRequests = 8

// ended reports a connection's end. One with requests that had no answer by then, or bytes
// that were not taken, is always logged, and as a warning unless the peer ended it. What was
// open fails as it ends; where that could not be written, though the peer did not break the
// connection, requests are lost.
func (f *thriftFront) ended(c *transport.Conn, lost []string) {
	end := c.End()
	if f.observer != nil {
		f.observer.ConnectionEnded(end, len(lost))
	}
	if end.Reason != transport.PeerFailed && len(lost) > 0 && end.UnsentBytes > 0 {
		f.monitor.Violated(guard.LostRequest, "peer", c.PeerAddr(), "reason", string(end.Reason))
	}
	level := endLevel(end, len(lost))
	if !f.log.Enabled(context.Background(), level) {
		return
	}
	f.log.Log(context.Background(), level, "connection_ended", "reason", string(end.Reason), "error", errorText(end.Err),
		"peer", c.PeerAddr(), "open_for", c.Age().Round(time.Millisecond).String(),
		"since_active", end.SinceActive.Round(time.Millisecond).String(), "messages", end.Messages,
		"unanswered", len(lost), "requests", strings.Join(lost[:min(len(lost), maxLoggedRequests)], ","),
		"unsent_bytes", end.UnsentBytes, "partial_bytes", end.PartialBytes, "discarded_bytes", end.DiscardedBytes)
}

// endLevel is the level at which a connection's end is logged.
func endLevel(end transport.Ending, lost int) slog.Level {
	switch {
	case lost == 0 && end.PartialBytes == 0 && end.DiscardedBytes == 0 && end.UnsentBytes == 0,
		end.Reason == transport.BadMessage && end.Messages == 0: // there never was one
		return slog.LevelDebug
	case end.Reason == transport.PeerClosed, end.Reason == transport.PeerFailed:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// notifyDraining tells all connections, those to come included, that nothing new is wanted.
func (f *thriftFront) notifyDraining() {
	f.leaving.Store(true)
	f.conns.each(func(t *thriftConn) { t.notifyOrClose(leaveWithin) })
}

// drain ends all connections, those to come included, each once nothing is owed on it, at
// the latest at a time.
func (f *thriftFront) drain(by time.Time) {
	f.drainBy.Store(&by)
	f.conns.each(func(t *thriftConn) { t.conn.Drain(by) })
}

// unended counts the connections that have not ended.
func (f *thriftFront) unended() (n int) {
	f.conns.each(func(t *thriftConn) {
		if !t.conn.Ended() {
			n++
		}
	})
	return n
}

// refuseLate notes what has come of messages that are half read when the grace is
// over; the module turns away what comes over open connections from here on.
func (f *thriftFront) refuseLate() { f.conns.each(func(t *thriftConn) { t.conn.Mark() }) }

// leaveIdle tells connections that have idled for a time that nothing new is wanted, and
// closes those that were told before.
func (f *thriftFront) leaveIdle(after time.Duration) {
	f.conns.each(func(t *thriftConn) {
		if t.notified() || t.idle(after) {
			t.notifyOrClose(leaveWithin)
		}
	})
}

// crowded makes room for the newcomers: those that have said nothing are asked to end,
// and as many as came of those that have idled longest. There are callers that ask once
// and keep their connection for good.
func (f *thriftFront) crowded() {
	f.newcomers++
	if time.Since(f.roomMade) < roomEvery {
		return
	}
	var idle []*thriftConn
	f.conns.each(func(t *thriftConn) {
		switch {
		case t.notified():
			t.notifyOrClose(crowdedLeave)
		case !t.conn.ReceivedMessage():
			if t.idle(silentAfter) {
				t.notifyOrClose(crowdedLeave)
			}
		case t.idle(crowdedAfter):
			idle = append(idle, t)
		}
	})
	slices.SortFunc(idle, func(a, b *thriftConn) int { return a.conn.IdleSince().Compare(b.conn.IdleSince()) })
	for _, t := range idle[:min(f.newcomers, len(idle))] {
		t.notifyOrClose(crowdedLeave)
	}
	f.newcomers, f.roomMade = 0, time.Now()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
