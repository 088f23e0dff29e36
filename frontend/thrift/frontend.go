// Package thrift is the front for the balancers' protocol: it reads Thrift messages,
// submits their requests to the core, and writes the outcomes as replies.
package thrift

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/frontend"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/transport"
)

// Timeouts of a connection.
const (
	firstMessageTimeout = 1500 * time.Millisecond // until the first byte of the first message; then the peer is notified
	messageStallTimeout = 2400 * time.Millisecond // until the next byte of an incomplete message
	noticePeriod        = time.Second             // from the notification until an idle connection is closed
)

// Bounds near the limit of connections, and of one log event.
const (
	makeRoomInterval     = 10 * time.Millisecond  // at least, between two searches for idle connections
	silentTimeout        = 50 * time.Millisecond  // until a connection without any message is notified
	idleTimeoutWhenFull  = 250 * time.Millisecond // until another idle connection may be notified
	noticePeriodWhenFull = 100 * time.Millisecond // in place of noticePeriod
	maxLoggedRequests    = 8                      // ids of requests in one log event
)

// ConnectionObserver is told of each end of a connection, with the number of requests on
// it that had no answer then.
type ConnectionObserver interface {
	ConnectionEnded(end transport.Ending, unanswered int)
}

// Options are what a Frontend is made of.
type Options struct {
	Core     *dispatch.Core
	Rules    *match.ActiveRules // the operator's; asked for a request's class and key first
	Log      *slog.Logger
	Monitor  *guard.Monitor     // nil counts nothing
	Observer ConnectionObserver // nil for none
}

// Frontend serves the balancers' connections. Its methods may be called from any
// goroutine, but for MakeRoom.
type Frontend struct {
	options     Options
	connections frontend.ConnSet[*connection]
	draining    atomic.Bool               // all peers are notified, those to come included
	drainBy     atomic.Pointer[time.Time] // when all connections end, those to come included; nil before Drain

	// Used by the accepting goroutine alone.
	newcomers  int // connections accepted since room was made
	roomMadeAt time.Time
}

// New returns a front that has no connection yet.
func New(options Options) *Frontend { return &Frontend{options: options} }

// Serve works one connection until it ends. The core is told of requests that are still
// open then.
func (f *Frontend) Serve(transportConn *transport.Conn) {
	c := newConnection(f, transportConn)
	f.connections.Add(c)
	defer f.connections.Remove(c)
	if f.draining.Load() { // if it is set later, NotifyDraining finds the connection in the set
		c.notifyOrClose(noticePeriod)
	}
	if by := f.drainBy.Load(); by != nil { // likewise
		transportConn.Drain(*by)
	}
	transportConn.SetReceiveTimeouts(firstMessageTimeout, messageStallTimeout, c.hasPending)
	transportConn.NotifyBeforeClose(c.notify)
	var unanswered []string
	transportConn.OnClose(func(error) { unanswered = c.failOpen() })
	_ = transportConn.Serve(c.step)                  // its ending has the reason
	unanswered = append(unanswered, c.failOpen()...) // also where a write failed
	f.reportEnd(transportConn, unanswered)
}

// reportEnd reports how a connection ended, with the ids of the requests that had no
// answer by then. These fail as the connection ends; where that could not be written
// though the peer did not break the connection, requests are lost.
func (f *Frontend) reportEnd(c *transport.Conn, unanswered []string) {
	end := c.End()
	if f.options.Observer != nil {
		f.options.Observer.ConnectionEnded(end, len(unanswered))
	}
	if end.Reason != transport.PeerFailed && len(unanswered) > 0 && end.UnsentBytes > 0 {
		f.options.Monitor.Violated(guard.LostRequest, "peer", c.PeerAddr(), "reason", string(end.Reason))
	}
	ctx, level := context.Background(), endLevel(end, len(unanswered))
	if !f.options.Log.Enabled(ctx, level) {
		return
	}
	errorText := ""
	if end.Err != nil {
		errorText = end.Err.Error()
	}
	logged := unanswered[:min(len(unanswered), maxLoggedRequests)]
	f.options.Log.Log(ctx, level, "connection_ended",
		"reason", string(end.Reason),
		"error", errorText,
		"peer", c.PeerAddr(),
		"open_for", c.Age().Round(time.Millisecond).String(),
		"since_active", end.SinceActive.Round(time.Millisecond).String(),
		"messages", end.Messages,
		"unanswered", len(unanswered),
		"requests", strings.Join(logged, ","),
		"unsent_bytes", end.UnsentBytes,
		"partial_bytes", end.PartialBytes,
		"discarded_bytes", end.DiscardedBytes,
	)
}

// endLevel returns the level at which a connection's end is logged: debug where nothing was
// lost or the peer never sent a valid message, info where the peer ended the connection,
// else warn.
func endLevel(end transport.Ending, unanswered int) slog.Level {
	lostNothing := unanswered == 0 && end.PartialBytes == 0 && end.DiscardedBytes == 0 && end.UnsentBytes == 0
	neverValid := end.Reason == transport.BadMessage && end.Messages == 0
	switch {
	case lostNothing, neverValid:
		return slog.LevelDebug
	case end.Reason == transport.PeerClosed, end.Reason == transport.PeerFailed:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// NotifyDraining has all peers, those to come included, send no new requests here.
func (f *Frontend) NotifyDraining() {
	f.draining.Store(true)
	f.connections.Each(func(c *connection) { c.notifyOrClose(noticePeriod) })
}

// Drain ends all connections, those to come included, each once nothing is pending on it,
// at the latest at a time.
func (f *Frontend) Drain(by time.Time) {
	f.drainBy.Store(&by)
	f.connections.Each(func(c *connection) { c.conn.Drain(by) })
}

// PendingConns counts the connections that have not ended.
func (f *Frontend) PendingConns() int {
	return f.connections.Count(func(c *connection) bool { return !c.conn.Ended() })
}

// EndGrace has each connection mark what has arrived by now: the grace of a drain is over,
// and the core sheds requests that arrive later.
func (f *Frontend) EndGrace() {
	f.connections.Each(func(c *connection) { c.conn.Mark() })
}

// CloseIdle notifies the peers of connections that have idled for a time, and closes
// those whose peers were notified before.
func (f *Frontend) CloseIdle(after time.Duration) {
	f.connections.Each(func(c *connection) {
		if c.isNotified() || c.isIdle(after) {
			c.notifyOrClose(noticePeriod)
		}
	})
}

// MakeRoom has connections end near the limit: those without any message, and for each
// newcomer one of those that have idled longest, as some callers send one request and never
// close their connection. Only the accepting goroutine may call it.
func (f *Frontend) MakeRoom() {
	f.newcomers++
	if time.Since(f.roomMadeAt) < makeRoomInterval {
		return
	}
	idle := f.endSilent()
	slices.SortFunc(idle, func(a, b *connection) int {
		return a.conn.IdleSince().Compare(b.conn.IdleSince())
	})
	for _, c := range idle[:min(f.newcomers, len(idle))] {
		c.notifyOrClose(noticePeriodWhenFull)
	}
	f.newcomers, f.roomMadeAt = 0, time.Now()
}

// endSilent notifies the peers that have not sent a message, goes on with ending the
// connections whose peers were notified before, and returns the other idle connections.
func (f *Frontend) endSilent() (idle []*connection) {
	f.connections.Each(func(c *connection) {
		switch {
		case c.isNotified():
			c.notifyOrClose(noticePeriodWhenFull)
		case !c.conn.ReceivedMessage():
			if c.isIdle(silentTimeout) {
				c.notifyOrClose(noticePeriodWhenFull)
			}
		case c.isIdle(idleTimeoutWhenFull):
			idle = append(idle, c)
		}
	})
	return idle
}
