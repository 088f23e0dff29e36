// Package thrift is the frontend for balancers. It reads Thrift messages, submits their
// requests to the core, and writes the outcomes as Thrift replies.
package thrift

import (
	"context"
	"errors"
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

// Bounds that apply near the connection limit, and the size of a log event.
const (
	reclaimInterval        = 10 * time.Millisecond  // minimum time between two searches for idle connections
	silentTimeoutNearLimit = 50 * time.Millisecond  // until a peer that has never sent a complete message is notified
	idleTimeoutNearLimit   = 250 * time.Millisecond // until the peer of any other idle connection may be notified
	noticePeriodNearLimit  = 100 * time.Millisecond // replaces noticePeriod
	maxLoggedRequests      = 8                      // request IDs in one log event
)

// ConnectionObserver observes connections that close.
type ConnectionObserver interface {
	// ConnectionClosed is called once for each connection, with the number of its requests
	// that had no response.
	ConnectionClosed(info transport.CloseInfo, unanswered int)
}

// Options configure a Frontend.
type Options struct {
	Core     *dispatch.Core
	Rules    *match.ActiveRules // operator rules, which take precedence over the class and key in a message
	Log      *slog.Logger
	Monitor  *guard.Monitor     // counts rule violations and denials; may be nil
	Observer ConnectionObserver // may be nil
}

// Frontend serves the connections of balancers. Its methods may be called from any
// goroutine, except ReclaimConnections.
type Frontend struct {
	options       Options
	connections   frontend.ConnSet[*connection]
	draining      atomic.Bool               // all peers are notified, also those of new connections
	drainDeadline atomic.Pointer[time.Time] // the deadline of Drain, also for new connections; nil before Drain

	// Used only by the goroutine that accepts connections.
	callsSinceReclaim int // calls of ReclaimConnections since lastReclaim
	lastReclaim       time.Time
}

// New returns a frontend without connections.
func New(options Options) *Frontend { return &Frontend{options: options} }

// Serve serves one connection until it closes. When reading has ended, it queues a fault for each
// open request, and reports to the core that the request's caller has disconnected. If a write
// has failed before, it only reports that, because nothing can be sent any more.
func (f *Frontend) Serve(transportConn *transport.Conn) {
	c := newConnection(f, transportConn)
	f.connections.Add(c)
	defer f.connections.Remove(c)
	if f.draining.Load() { // if it is set after this, NotifyDraining finds the connection in the set
		c.notifyOrClose(noticePeriod)
	}
	if transportConn.OverLimit() {
		c.notifyOrClose(noticePeriodNearLimit)
	}
	if deadline := f.drainDeadline.Load(); deadline != nil { // if it is set after this, Drain finds the connection in the set
		transportConn.Drain(*deadline)
	}
	transportConn.SetReceiveTimeouts(firstMessageTimeout, messageStallTimeout, c.hasPending)
	transportConn.NotifyBeforeClose(c.notify)
	var unanswered []string
	transportConn.OnClose(func(cause error) {
		if errors.Is(cause, transport.ErrAbandoned) || errors.Is(cause, transport.ErrInputBudget) {
			c.failIncompleteCall()
		}
		unanswered = c.failOpenRequests()
	})
	_ = transportConn.Serve(c.handleNext)                    // CloseInfo has the reason
	unanswered = append(unanswered, c.failOpenRequests()...) // after a failed write OnClose was not called
	f.reportClose(transportConn, unanswered)
}

// reportClose reports to the observer how a connection closed, and logs the close. unanswered
// has the IDs of the requests that had no response. If there are any, and queued bytes were not
// written although the connection did not fail on the peer's side, reportClose also records a
// violation of guard.LostRequest.
func (f *Frontend) reportClose(c *transport.Conn, unanswered []string) {
	info := c.CloseInfo()
	if f.options.Observer != nil {
		f.options.Observer.ConnectionClosed(info, len(unanswered))
	}
	if info.Reason != transport.PeerFailed && len(unanswered) > 0 && info.UnsentBytes > 0 {
		f.options.Monitor.RecordViolation(guard.LostRequest, "peer", c.PeerAddr(), "reason", string(info.Reason))
	}
	ctx, level := context.Background(), closeLogLevel(info, len(unanswered))
	if !f.options.Log.Enabled(ctx, level) {
		return
	}
	errorText := ""
	if info.Err != nil {
		errorText = info.Err.Error()
	}
	logged := unanswered[:min(len(unanswered), maxLoggedRequests)]
	f.options.Log.Log(ctx, level, "connection_ended",
		"reason", string(info.Reason),
		"error", errorText,
		"peer", c.PeerAddr(),
		"open_for", c.Age().Round(time.Millisecond).String(),
		"since_active", info.SinceActive.Round(time.Millisecond).String(),
		"messages", info.Messages,
		"unanswered", len(unanswered),
		"requests", strings.Join(logged, ","),
		"unsent_bytes", info.UnsentBytes,
		"partial_bytes", info.PartialBytes,
		"discarded_bytes", info.DiscardedBytes,
	)
}

// closeLogLevel returns the level at which the close of a connection is logged: debug if
// nothing was lost or if the peer sent an invalid message and no valid one, info if the peer
// closed the connection or it failed on the peer's side, else warn.
func closeLogLevel(info transport.CloseInfo, unanswered int) slog.Level {
	lostNothing := unanswered == 0 && info.PartialBytes == 0 && info.DiscardedBytes == 0 && info.UnsentBytes == 0
	neverValid := info.Reason == transport.BadMessage && info.Messages == 0
	switch {
	case lostNothing, neverValid:
		return slog.LevelDebug
	case info.Reason == transport.PeerClosed, info.Reason == transport.PeerFailed:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// NotifyDraining tells all peers, also those of new connections, to send no new request on
// their connections. It closes idle connections whose peers were told more than noticePeriod
// ago.
func (f *Frontend) NotifyDraining() {
	f.draining.Store(true)
	f.connections.Each(func(c *connection) { c.notifyOrClose(noticePeriod) })
}

// Drain closes all connections, also new ones, as soon as nothing is pending on them, at the
// latest at the deadline.
func (f *Frontend) Drain(deadline time.Time) {
	f.drainDeadline.Store(&deadline)
	f.connections.Each(func(c *connection) { c.conn.Drain(deadline) })
}

// PendingConns returns the number of connections that still read messages or have bytes to
// write.
func (f *Frontend) PendingConns() int {
	return f.connections.Count(func(c *connection) bool { return !c.conn.Finished() })
}

// EndGrace is called when the grace period of a drain is over. It makes all connections read
// the bytes that have arrived by now, so that the core can shed requests that arrive later.
func (f *Frontend) EndGrace() {
	f.connections.Each(func(c *connection) { c.conn.ReadAvailable() })
}

// CloseIdle notifies the peers of connections that have been idle for longer than timeout,
// and closes the idle connections whose peers were notified more than noticePeriod ago.
func (f *Frontend) CloseIdle(timeout time.Duration) {
	f.connections.Each(func(c *connection) {
		if c.isNotified() || c.isIdle(timeout) {
			c.notifyOrClose(noticePeriod)
		}
	})
}

// ReclaimConnections frees connections when their number is near the limit. transport.Server
// calls it for each new connection, and again while one waits. It searches for idle connections
// at most once per reclaimInterval. It notifies the peers that have never sent a complete
// message (see reclaimSilent). Because some callers send one request and never close their
// connection, it also notifies the peers of the other connections that have been idle longest,
// one for each call since the last search. A later search closes the connections that are idle
// after the notice period. Only the goroutine that accepts connections may call
// ReclaimConnections.
func (f *Frontend) ReclaimConnections() {
	f.callsSinceReclaim++
	if time.Since(f.lastReclaim) < reclaimInterval {
		return
	}
	idle := f.reclaimSilent()
	slices.SortFunc(idle, func(a, b *connection) int {
		return a.conn.LastActive().Compare(b.conn.LastActive())
	})
	for _, c := range idle[:min(f.callsSinceReclaim, len(idle))] {
		c.notifyOrClose(noticePeriodNearLimit)
	}
	f.callsSinceReclaim, f.lastReclaim = 0, time.Now()
}

// reclaimSilent notifies the peers that have never sent a complete message and whose
// connections have been idle for longer than silentTimeoutNearLimit. It closes the idle
// connections whose notice period is over. It returns the other connections that have been
// idle for longer than idleTimeoutNearLimit.
func (f *Frontend) reclaimSilent() (idle []*connection) {
	f.connections.Each(func(c *connection) {
		switch {
		case c.isNotified():
			c.notifyOrClose(noticePeriodNearLimit)
		case !c.conn.ReceivedMessage():
			if c.isIdle(silentTimeoutNearLimit) {
				c.notifyOrClose(noticePeriodNearLimit)
			}
		case c.isIdle(idleTimeoutNearLimit):
			idle = append(idle, c)
		}
	})
	return idle
}
