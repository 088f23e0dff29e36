package transport

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quincerail.example/quincerail/guard"
)

// TestStateTransitions walks the table of states and events.
func TestStateTransitions(t *testing.T) {
	next := map[connState]map[connEvent]connState{
		stateOpen:       {readingEnded: stateClosing, queueFlushed: stateOpen, serveReturned: stateClosed},
		stateClosing:    {readingEnded: stateClosing, queueFlushed: stateHalfClosed, serveReturned: stateClosed},
		stateHalfClosed: {readingEnded: stateHalfClosed, queueFlushed: stateHalfClosed, serveReturned: stateClosed},
		stateClosed:     {readingEnded: stateClosed, queueFlushed: stateClosed, serveReturned: stateClosed},
	}
	for state, events := range next {
		for event, want := range events {
			if got := state.next(event); got != want {
				t.Errorf("state %d, event %d: state %d, want %d", state, event, got, want)
			}
		}
	}
}

// TestDecide walks the table of requests and of what the guard says.
func TestDecide(t *testing.T) {
	const (
		stall  = 8 * time.Second
		silent = 3 * time.Second
		notice = time.Second
		later  = time.Minute
	)
	idle := guard.ConnectionState{SocketDrained: true, StallTimeout: stall}
	pending, partial, stalled, notified := idle, idle, idle, idle
	pending.ResponsesPending = true
	partial.MessagePartial, partial.IdleFor = true, silent
	stalled.MessagePartial, stalled.IdleFor = true, stall
	notified.NoticeRemaining = notice
	again := func(d time.Duration) verdict { return verdict{examineAgain: true, examineAfter: d} }
	done := verdict{requestDone: true}
	_, pendingAgain := guard.MayClose(pending)

	for _, x := range []struct {
		name       string
		request    connRequest
		passed     bool          // the read deadline
		untilDrain time.Duration // the drain deadline
		want       map[*guard.ConnectionState]verdict
	}{
		{name: "none", request: requestNone, want: map[*guard.ConnectionState]verdict{
			&idle: {}, &pending: {}, &partial: {}, &stalled: {}, &notified: {},
		}},
		{name: "none, deadline passed", request: requestNone, passed: true, want: map[*guard.ConnectionState]verdict{
			&idle: {end: ReadTimeout}, &pending: again(pendingCheckInterval), &partial: again(stall - silent),
			&stalled: {end: ReadTimeout}, &notified: again(notice),
		}},
		{name: "mark", request: requestMark, passed: true, want: map[*guard.ConnectionState]verdict{
			&idle: done, &pending: done, &partial: done, &stalled: done, &notified: done,
		}},
		{name: "close if idle", request: requestCloseIfIdle, passed: true, want: map[*guard.ConnectionState]verdict{
			&idle: {end: Idle}, &pending: done, &partial: done, &stalled: done, &notified: done,
		}},
		{name: "drain", request: requestDrain, passed: true, untilDrain: later, want: map[*guard.ConnectionState]verdict{
			&idle: {end: Drained}, &pending: again(pendingAgain), &partial: again(stall - silent),
			&stalled: {end: Drained}, &notified: again(notice),
		}},
		{name: "drain, soon", request: requestDrain, untilDrain: time.Millisecond, want: map[*guard.ConnectionState]verdict{
			&idle: {end: Drained}, &pending: again(time.Millisecond), &partial: again(time.Millisecond),
			&stalled: {end: Drained}, &notified: again(time.Millisecond),
		}},
		{name: "drain, deadline passed", request: requestDrain, want: map[*guard.ConnectionState]verdict{
			&idle: {end: Drained}, &pending: {end: Drained}, &partial: {end: Drained},
			&stalled: {end: Drained}, &notified: {end: Drained},
		}},
		{name: "close, asked for meanwhile", request: requestClose, want: map[*guard.ConnectionState]verdict{
			&idle: {}, &pending: {}, &partial: {}, &stalled: {}, &notified: {},
		}},
	} {
		for facts, want := range x.want {
			got := examination{facts: *facts, request: x.request, untilDrain: x.untilDrain, deadlinePassed: x.passed}.decide()
			if got != want {
				t.Errorf("%s, %+v: %+v, want %+v", x.name, *facts, got, want)
			}
		}
	}
}

// TestRequestsOnConnections puts every request to connections in every condition, and sees
// whether they end at once, why, and in which state they are.
func TestRequestsOnConnections(t *testing.T) {
	const open = EndReason("")
	type condition struct{ partial, pending bool }
	conditions := []condition{{false, false}, {true, false}, {false, true}, {true, true}}
	for _, x := range []struct {
		name string
		ask  func(*Conn)
		want [4]EndReason // by condition
	}{
		{"nothing", func(*Conn) {}, [4]EndReason{open, open, open, open}},
		{"Wake", (*Conn).Wake, [4]EndReason{open, open, open, open}},
		{"Mark", (*Conn).Mark, [4]EndReason{open, open, open, open}},
		{"CloseIfIdle", (*Conn).CloseIfIdle, [4]EndReason{Idle, open, open, open}},
		{"Drain", func(c *Conn) { c.Drain(time.Now().Add(time.Minute)) }, [4]EndReason{Drained, open, open, open}},
		{"Drain at once", drainNow, [4]EndReason{Drained, Drained, Drained, Drained}},
		{"Close", (*Conn).Close, [4]EndReason{Closed, Closed, Closed, Closed}},
		{"Abort", (*Conn).Abort, [4]EndReason{Aborted, Aborted, Aborted, Aborted}},
		{
			"read deadline", func(c *Conn) { c.SetReadDeadline(time.Now()) },
			[4]EndReason{ReadTimeout, open, open, open},
		},
	} {
		for i, now := range conditions {
			t.Run(fmt.Sprintf("%s/partial=%t/pending=%t", x.name, now.partial, now.pending), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					requestOnConnection(t, x.ask, now.partial, now.pending, x.want[i])
				})
			})
		}
	}
}

// requestOnConnection does one case of TestRequestsOnConnections.
func requestOnConnection(t *testing.T, ask func(*Conn), partial, pending bool, want EndReason) {
	t.Helper()
	p := newIdlePeer()
	closeLater(t, p)
	var isPending atomic.Bool
	isPending.Store(pending)
	p.conn.SetReceiveTimeouts(time.Hour, time.Minute, isPending.Load)
	p.serve()
	if partial {
		write(t, p, "ha")
	}
	synctest.Wait()
	ask(p.conn)
	synctest.Wait()
	if want == "" {
		checkOpen(t, p)
		isPending.Store(false)
		drainNow(p.conn)
		if err := <-p.ended; err != nil {
			t.Errorf("it ends with %v", err)
		}
		return
	}
	select {
	case err := <-p.ended:
		if asked := want == Idle || want == Drained || want == Closed; asked != (err == nil) {
			t.Errorf("it ends with %v", err)
		}
	default:
		t.Fatal("it stays open")
	}
	if end := p.conn.End(); end.Reason != want || end.ResponsesPending != pending || (end.PartialBytes > 0) != partial {
		t.Errorf("it ends with %+v, want %q", end, want)
	}
	if p.conn.state != stateClosed {
		t.Errorf("state %d, want %d", p.conn.state, stateClosed)
	}
}

// checkOpen sees that a connection is open, and that no request but Drain is left on it.
func checkOpen(t *testing.T, p *peer) {
	t.Helper()
	if p.conn.state != stateOpen {
		t.Fatalf("state %d, want %d", p.conn.state, stateOpen)
	}
	if p.conn.request != requestNone && p.conn.request != requestDrain {
		t.Errorf("request %d is still there", p.conn.request)
	}
}
