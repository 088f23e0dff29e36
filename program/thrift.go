package program

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/routing"
	"quincerail.example/quincerail/transport"
)

const (
	maxOpen      = 32                      // requests on one connection
	thriftWithin = 1500 * time.Millisecond // for the first message to begin, until the peer is told leaving
	thriftStalls = 2400 * time.Millisecond // that a message may stand still before it is whole
	doorAhead    = 5 * time.Second         // that a caller's clock may be ahead of this one
	longestLimit = 24 * 60 * 60 * 1000     // milliseconds that a caller may say it waits: any deadline is less
	roomEvery    = 10 * time.Millisecond   // at most, room is made where connections are scarce; there,
	silentAfter  = 50 * time.Millisecond   // a connection that has said nothing is asked to end after so long,
	crowdedAfter = 250 * time.Millisecond  // one that idles after so long,
	crowdedLeave = 100 * time.Millisecond  // and one that was asked to is ended after so long
)

// thriftFront is the front for the balancers' protocol.
type thriftFront struct {
	core  *routing.Core
	rules *match.Rules
	log   *slog.Logger
	conns registry[*thriftConn]

	observer *metrics // nil where there is no listener for them
	monitor  *guard.Monitor

	leaving   atomic.Bool // leave is taken of all, also of those that come now
	newcomers int         // since room was made; both belong to the accepting goroutine
	roomMade  time.Time
}

// thriftConn is one connection of a balancer.
type thriftConn struct {
	core  *routing.Core
	rules *match.Rules
	conn  *transport.Conn

	last int32 // sequence number; of the connection's goroutine alone

	// What is open is forgotten under the lock under which its answer is sent, so
	// that the connection never ends between the two.
	mu      sync.Mutex
	open    map[string]int32 // sequence number by request id
	ids     map[int32]string
	checks  int           // health checks without an answer
	leaving time.Time     // when the peer was told that nothing new is wanted; zero before
	notice  time.Duration // that it has from then on
}

func newThriftFront(core *routing.Core, rules *match.Rules, log *slog.Logger, observer *metrics, monitor *guard.Monitor) *thriftFront {
	return &thriftFront{core: core, rules: rules, log: log, observer: observer, monitor: monitor, conns: newRegistry[*thriftConn]()}
}

// serve works one connection. Requests still open when it ends have lost their
// caller.
func (f *thriftFront) serve(c *transport.Conn) {
	t := &thriftConn{core: f.core, rules: f.rules, conn: c, notice: leaveWithin, open: make(map[string]int32), ids: make(map[int32]string)}
	f.conns.add(t)
	defer f.conns.remove(t)
	if f.leaving.Load() { // else leave, which comes after this look, finds it registered
		t.leave(leaveWithin)
	}
	c.ExpectWithin(thriftWithin, thriftStalls, t.owes)
	c.NotifyBeforeEnd(t.notify)
	var lost []string
	c.OnEnd(func(error) { lost = t.lose() })
	c.OnDiscard(func(why error) {
		f.log.Warn("connection_discarding", "peer", c.PeerAddr(), "error", why.Error(), "open_requests", t.openRequests())
	})
	c.Serve(func(r *bufio.Reader) error {
		m, err := thrift.Read(r)
		if err != nil {
			return err
		}
		return t.take(m)
	})
	lost = append(lost, t.lose()...) // also where a write failed
	f.ended(c, lost)
}

// maxLoggedRequests bounds how many request ids one log line has.
const maxLoggedRequests = 8

// ended reports a connection's end. One with requests that have no answer, or bytes that
// were not taken, is always logged, and as a warning unless the peer ended it: a request
// may have been lost with it.
func (f *thriftFront) ended(c *transport.Conn, lost []string) {
	end := c.End()
	f.observer.connectionEnded(end, len(lost))
	if end.Reason.Own() && end.Owed {
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
		"unsent_bytes", end.Unsent, "partial_bytes", end.Partial, "discarded_bytes", end.Discarded)
}

// endLevel is the level at which a connection's end is logged.
func endLevel(end transport.Ending, lost int) slog.Level {
	switch {
	case lost == 0 && end.Partial == 0 && end.Discarded == 0 && end.Unsent == 0:
		return slog.LevelDebug
	case end.Reason == transport.PeerClosed, end.Reason == transport.PeerFailed:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// lose gives up what is open as the connection ends. A caller that has only shut
// its writing end still reads, and is told so. It returns the ids of those that were open.
func (t *thriftConn) lose() (ids []string) {
	t.mu.Lock()
	lost := t.open
	t.open, t.ids = make(map[string]int32), make(map[int32]string)
	for _, seq := range lost {
		t.conn.Send(thrift.AppendFault(nil, seq, nil))
	}
	t.mu.Unlock()
	for id := range lost {
		t.core.Lost(id, t)
		ids = append(ids, id)
	}
	return ids
}

func (t *thriftConn) take(m *thrift.Message) error {
	if m.Type == thrift.Call { // oneway messages have no numbers of their own
		if m.Seq != t.last+1 {
			return fmt.Errorf("%w: sequence number %d after %d", thrift.ErrBroken, m.Seq, t.last)
		}
		t.last = m.Seq
	}
	switch {
	case m.Name == "execute" && m.Type == thrift.Call:
		if err := t.execute(m); err != nil {
			t.conn.Send(thrift.AppendException(nil, m.Name, m.Seq, thrift.ProtocolError, err.Error()))
		}
	case m.Name == "check" && m.Type == thrift.Call:
		t.mu.Lock()
		t.checks++
		t.mu.Unlock()
		answer := func(good bool) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.checks--
			t.conn.Send(thrift.AppendAnswer(nil, m.Name, m.Seq, thrift.Answer{Good: good, Fields: t.fields()}))
		}
		if t.core.Check(m.Probe, answer) != nil { // it has stopped
			answer(false)
		}
	case m.Name == "interrupt" && m.Type == thrift.Oneway:
		t.mu.Lock()
		id, ok := t.ids[m.Target]
		if ok {
			t.close(id, m.Target)
		}
		t.mu.Unlock()
		if ok {
			t.core.Gone(id, t)
		}
	case m.Type == thrift.Call:
		t.conn.Send(thrift.AppendException(nil, m.Name, m.Seq, thrift.UnknownMethod, "unknown method"))
	}
	return nil
}

// execute hands a request in.
func (t *thriftConn) execute(m *thrift.Message) error {
	if m.Err != nil {
		return m.Err
	}
	door, err := strconv.ParseInt(m.Fields["door"], 10, 64)
	if err != nil || door < 0 {
		return fmt.Errorf("door %q", m.Fields["door"])
	}
	timeline := t.core.Clock()
	arrived := timeline.Received(time.UnixMilli(door))
	if arrived-timeline.Now() > doorAhead {
		return fmt.Errorf("door %q", m.Fields["door"])
	}
	arrivedAt := timeline.Time(arrived)
	ram, err := strconv.ParseFloat(m.Fields["ram"], 64)
	if err != nil || !(ram > 0 && ram < 2000) {
		return fmt.Errorf("ram %q", m.Fields["ram"])
	}
	rank, err := strconv.ParseFloat(m.Fields["standing"], 64)
	if err != nil || !(rank >= 0 && rank < 1) {
		return fmt.Errorf("standing %q", m.Fields["standing"])
	}
	caller, err := strconv.Atoi(m.Fields["lb"])
	if err != nil {
		return fmt.Errorf("lb %q", m.Fields["lb"])
	}
	due, err := callerDue(arrivedAt, m.Fields["limit"])
	if err != nil {
		return err
	}
	id := m.Fields["txn"]
	if _, err := strconv.ParseUint(id, 16, 64); err != nil || len(id) != 16 {
		return fmt.Errorf("txn %q", id)
	}
	t.mu.Lock()
	if len(t.open) >= maxOpen {
		t.mu.Unlock()
		return fmt.Errorf("over %d open requests", maxOpen)
	}
	if _, twice := t.open[id]; twice {
		t.mu.Unlock()
		return fmt.Errorf("txn %q is open", id)
	}
	t.open[id], t.ids[m.Seq] = m.Seq, id
	t.mu.Unlock()
	class, key := m.Fields["verb"], m.Fields["unique"] // as the platform has them, where no rule says otherwise
	if set := t.rules.Load(); set != nil {
		if res, ok := set.Classify(match.FromFields(m.Fields, m.Body)); ok {
			class, key = res.Class, res.Key
		}
	}
	err = t.core.Submit(routing.Request{ID: id, Class: class, Key: key, Item: m.Fields["item"], Tenant: m.Fields["team"],
		Due: due, Door: arrivedAt, After: t.conn.CameAfter(),
		ReadBy: t.conn.ReadAt(), Caller: caller, HeldKB: ram, Rank: rank,
		Payload: routing.Payload{Body: m.Body}, Sink: t})
	if err != nil {
		t.mu.Lock()
		t.close(id, m.Seq)
		t.mu.Unlock()
	}
	return err
}

// callerDue gives when a caller stops waiting that says how many milliseconds it waits
// from the door on. Zero, or nothing, is not told: its class's deadline holds, as it
// does where more is told than any client waits.
func callerDue(door time.Time, limit string) (due time.Time, err error) {
	if limit == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseFloat(limit, 64)
	if err != nil || !(ms >= 0) || math.IsInf(ms, 0) {
		return time.Time{}, fmt.Errorf("limit %q", limit)
	}
	if ms == 0 {
		return time.Time{}, nil
	}
	return door.Add(time.Duration(min(ms, longestLimit) * float64(time.Millisecond))), nil
}

// fields gives those that any answer carries: the free value, where there is one.
func (t *thriftConn) fields() map[string]string {
	if value, ok := t.core.Said(); ok {
		return map[string]string{"feedback": strconv.FormatFloat(max(0, value), 'f', 4, 64)}
	}
	return nil
}

// Answer implements routing.Sink.
func (t *thriftConn) Answer(id string, o routing.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seq, ok := t.open[id]
	t.close(id, seq)
	if !ok {
		return
	}
	if len(o.Result.Body) > thrift.MaxResult { // of a run for the other front, which allows more
		o = routing.Outcome{Kind: routing.Failed}
	}
	switch o.Kind {
	case routing.Served:
		t.conn.Send(thrift.AppendAnswer(nil, "execute", seq, thrift.Answer{Body: o.Result.Body, Fields: t.fields(), Good: true}))
	case routing.Refused:
		// A refusal always says when to come back, be it at once.
		fields := map[string]string{"later": strconv.FormatInt(max(1, o.Later.Milliseconds()), 10)}
		maps.Copy(fields, t.fields())
		if o.GiveUp {
			fields["giveup"] = "1"
		}
		t.conn.Send(thrift.AppendShed(nil, seq, fields))
	case routing.Rejected:
		t.conn.Send(thrift.AppendException(nil, "execute", seq, thrift.ProtocolError, "id or key of another request"))
	default:
		t.conn.Send(thrift.AppendFault(nil, seq, t.fields()))
	}
}

// close forgets an open request. The lock is held.
func (t *thriftConn) close(id string, seq int32) {
	delete(t.open, id)
	delete(t.ids, seq)
}

// notify tells the peer, once, that no new request is wanted on the connection, and
// returns for how long it is still to be waited for.
func (t *thriftConn) notify() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notifyLocked()
	return t.notice - time.Since(t.leaving)
}

// notifyLocked sends leaving, once. The lock is held.
func (t *thriftConn) notifyLocked() {
	if t.leaving.IsZero() {
		t.leaving = time.Now()
		t.conn.Send(thrift.AppendLeaving(nil))
	}
}

// leave asks that no new request comes on the connection; the balancer closes
// it once all on it is answered. One that does not is closed when idle, after it has
// been told for a time.
func (t *thriftConn) leave(within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving.IsZero() && !t.owesLocked() && time.Since(t.leaving) > within {
		t.notice = min(t.notice, within)
		t.conn.CloseIfIdle()
	}
	t.notifyLocked()
}

// owes tells whether a request or a health check is open.
func (t *thriftConn) owes() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owesLocked()
}

// openRequests is how many requests are open.
func (t *thriftConn) openRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

func (t *thriftConn) owesLocked() bool { return len(t.open)+t.checks > 0 }

// left tells whether leave of the connection was taken before.
func (t *thriftConn) left() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.leaving.IsZero()
}

// idle tells whether nothing is open and nothing has moved for a time.
func (t *thriftConn) idle(after time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.owesLocked() && time.Since(t.conn.IdleSince()) > after
}

// leave takes leave of all connections, those to come included.
func (f *thriftFront) leave() {
	f.leaving.Store(true)
	f.conns.each(func(t *thriftConn) { t.leave(leaveWithin) })
}

// finish ends all connections, each once nothing is owed on it, at the latest at a time.
func (f *thriftFront) finish(by time.Time) { f.conns.each(func(t *thriftConn) { t.conn.Drain(by) }) }

// refuseLate notes what has come of messages that are half read when the grace is
// over; the module turns away what comes over open connections from here on.
func (f *thriftFront) refuseLate() { f.conns.each(func(t *thriftConn) { t.conn.Mark() }) }

// leaveIdle takes leave of connections that have idled for a time, and goes on
// with the leave that was taken before.
func (f *thriftFront) leaveIdle(after time.Duration) {
	f.conns.each(func(t *thriftConn) {
		if t.left() || t.idle(after) {
			t.leave(leaveWithin)
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
		case t.left():
			t.leave(crowdedLeave)
		case !t.conn.Spoken():
			if t.idle(silentAfter) {
				t.leave(crowdedLeave)
			}
		case t.idle(crowdedAfter):
			idle = append(idle, t)
		}
	})
	slices.SortFunc(idle, func(a, b *thriftConn) int { return a.conn.IdleSince().Compare(b.conn.IdleSince()) })
	for _, t := range idle[:min(f.newcomers, len(idle))] {
		t.leave(crowdedLeave)
	}
	f.newcomers, f.roomMade = 0, time.Now()
}
