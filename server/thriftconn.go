package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/transport"
)

const (
	maxOpen      = 32                  // requests on one connection
	doorAhead    = 5 * time.Second     // that a caller's clock may be ahead of this one
	longestLimit = 24 * 60 * 60 * 1000 // milliseconds that a caller may say it waits: any deadline is less
)

// thriftConn is one connection of a balancer.
type thriftConn struct {
	core    *dispatch.Core
	rules   *match.Rules
	conn    *transport.Conn
	monitor *guard.Monitor
	log     *slog.Logger

	// Of the connection's goroutine alone.
	reader   thrift.Reader
	sequence sequence
	good     int // messages that were taken
	bad      int // messages that made no sense

	// What is open is forgotten under the lock under which its answer is sent, so
	// that the connection never ends between the two.
	mu      sync.Mutex
	open    map[string]int32 // sequence number by request id
	ids     map[int32]string
	checks  int           // health checks without an answer
	leaving time.Time     // when the peer was told that nothing new is wanted; zero before
	notice  time.Duration // that it has from then on
}

func newThriftConn(f *thriftFront, c *transport.Conn) *thriftConn {
	return &thriftConn{
		core: f.core, rules: f.rules, conn: c, monitor: f.monitor, log: f.log, notice: leaveWithin,
		open: make(map[string]int32), ids: make(map[int32]string),
	}
}

// step reads and takes the next message.
func (t *thriftConn) step(r *bufio.Reader) error {
	m, err := t.reader.Read(r)
	var bad *thrift.BadMessageError
	switch {
	case errors.As(err, &bad):
		turn := repeated // without a number that is its own it gets no answer
		if bad.Head != nil && bad.Head.Type == thrift.Call {
			turn = t.sequence.call(bad.Head.Seq)
		}
		return t.passOver(bad.Head, turn, err)
	case err != nil:
		if guard.MayGoOn(t.input()) != nil {
			return fmt.Errorf("%w: %w", guard.ErrNoMessages, thrift.ErrMalformed)
		}
		return err
	}
	return t.take(m)
}

// input is what package guard is asked about.
func (t *thriftConn) input() guard.Input {
	return guard.Input{GoodMessages: t.good, BadMessages: t.bad, Dropped: t.reader.Scanned()}
}

// passOver takes in a message that makes no sense. Its call fails, if it is one with a
// number of its own. A peer of which good ones came is told that nothing new is wanted on
// the connection; what still comes on it is taken as ever.
func (t *thriftConn) passOver(head *thrift.Head, turn turn, why error) error {
	if turn != outOfTurn || t.good == 0 { // else it is a message, though an earlier one was none
		t.bad++
	}
	if err := guard.MayGoOn(t.input()); err != nil {
		return fmt.Errorf("%w: %w", err, why)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.monitor.Denied(guard.LostRequest, why, "")
	level := slog.LevelDebug
	if t.bad == 1 && turn != outOfTurn && t.good > 0 {
		level = slog.LevelInfo
	}
	t.log.Log(context.Background(), level, "message_skipped", "peer", t.conn.PeerAddr(), "error", why.Error(), "open_requests", len(t.open))
	if head != nil && head.Type == thrift.Call && turn != repeated {
		t.conn.Send(thrift.AppendException(nil, head.Name, head.Seq, thrift.ProtocolError, why.Error()))
	}
	if t.good > 0 {
		t.notifyLocked()
	}
	return transport.ErrMessageSkipped
}

// failOpen gives up what is open as the connection ends. A caller that has only shut
// its writing end still reads, and is told so. It returns the ids of those that were open.
func (t *thriftConn) failOpen() (ids []string) {
	t.mu.Lock()
	lost := t.open
	t.open, t.ids = make(map[string]int32), make(map[int32]string)
	for _, seq := range lost {
		t.conn.Send(thrift.AppendFault(nil, seq, nil))
	}
	t.mu.Unlock()
	for id := range lost {
		t.core.CallerDisconnected(id, t)
		ids = append(ids, id)
	}
	return ids
}

func (t *thriftConn) take(m *thrift.Message) error {
	if m.Type == thrift.Oneway {
		t.sequence.oneway(m.Seq)
	} else if turn := t.sequence.call(m.Seq); turn != inTurn {
		return t.passOver(&m.Head, turn, fmt.Errorf("%w: sequence number %d after %d", thrift.ErrMalformed, m.Seq, t.sequence.highest))
	}
	t.good++
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
			t.conn.Send(thrift.AppendAnswer(nil, m.Name, m.Seq, thrift.Answer{OK: good, Fields: t.fields()}))
		}
		if t.core.CheckHealth(m.Probe, answer) != nil { // it has stopped
			answer(false)
		}
	case m.Name == "interrupt" && m.Type == thrift.Oneway:
		t.mu.Lock()
		id, ok := t.ids[m.CanceledSeq]
		if ok {
			t.close(id, m.CanceledSeq)
		}
		t.mu.Unlock()
		if ok {
			t.core.CancelRequest(id, t)
		}
	case m.Type == thrift.Call:
		t.conn.Send(thrift.AppendException(nil, m.Name, m.Seq, thrift.UnknownMethod, "unknown method"))
	}
	return nil
}

// execute hands a request in.
func (t *thriftConn) execute(m *thrift.Message) error {
	request, err := t.request(m)
	if err != nil {
		return err
	}
	if err := t.register(request.ID, m.Seq); err != nil {
		return err
	}
	if err := t.core.Submit(request); err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.close(request.ID, m.Seq)
		return err
	}
	return nil
}

// register takes in that a request is open.
func (t *thriftConn) register(id string, seq int32) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= maxOpen {
		return fmt.Errorf("over %d open requests", maxOpen)
	}
	if _, twice := t.open[id]; twice {
		return fmt.Errorf("txn %q is open", id)
	}
	t.open[id], t.ids[seq] = seq, id
	return nil
}

// request reads a message's fields. The error names the one that makes no sense.
func (t *thriftConn) request(m *thrift.Message) (request dispatch.Request, err error) {
	if m.Err != nil {
		return request, m.Err
	}
	door, err := strconv.ParseInt(m.Fields["door"], 10, 64)
	if err != nil || door < 0 {
		return request, fmt.Errorf("door %q", m.Fields["door"])
	}
	timeline := t.core.Clock()
	arrived := timeline.Received(time.UnixMilli(door))
	if arrived-timeline.Now() > doorAhead {
		return request, fmt.Errorf("door %q", m.Fields["door"])
	}
	request = dispatch.Request{
		ID: m.Fields["txn"], CacheKey: m.Fields["item"], Tenant: m.Fields["team"], ArrivedAt: timeline.Time(arrived),
		ReadAfter: t.conn.ReadAfter(), ReadBy: t.conn.ReadBy(), Payload: dispatch.Payload{Body: m.Body}, Responder: t,
	}
	if request.ReservedKB, err = strconv.ParseFloat(m.Fields["ram"], 64); err != nil || !(request.ReservedKB > 0 && request.ReservedKB < 2000) {
		return request, fmt.Errorf("ram %q", m.Fields["ram"])
	}
	if request.Rank, err = strconv.ParseFloat(m.Fields["standing"], 64); err != nil || !(request.Rank >= 0 && request.Rank < 1) {
		return request, fmt.Errorf("standing %q", m.Fields["standing"])
	}
	if request.Caller, err = strconv.Atoi(m.Fields["lb"]); err != nil {
		return request, fmt.Errorf("lb %q", m.Fields["lb"])
	}
	if request.Deadline, err = callerDue(request.ArrivedAt, m.Fields["limit"]); err != nil {
		return request, err
	}
	if _, err := strconv.ParseUint(request.ID, 16, 64); err != nil || len(request.ID) != 16 {
		return request, fmt.Errorf("txn %q", request.ID)
	}
	request.Class, request.Key = t.classify(m)
	return request, nil
}

// classify gives a request's class and key: by the operator's rules, if one takes it, else
// as the platform has them.
func (t *thriftConn) classify(m *thrift.Message) (class, key string) {
	if set := t.rules.Load(); set != nil {
		if result, ok := set.Classify(match.FromFields(m.Fields, m.Body)); ok {
			return result.Class, result.Key
		}
	}
	return m.Fields["verb"], m.Fields["unique"]
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
	if value, ok := t.core.LoadReport(); ok {
		return map[string]string{"feedback": strconv.FormatFloat(max(0, value), 'f', 4, 64)}
	}
	return nil
}

// Respond implements dispatch.Sink.
func (t *thriftConn) Respond(id string, o dispatch.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seq, ok := t.open[id]
	t.close(id, seq)
	if !ok {
		return
	}
	if len(o.Result.Body) > thrift.MaxResult { // of a run for the other front, which allows more
		o = dispatch.Outcome{Kind: dispatch.Failed}
	}
	switch o.Kind {
	case dispatch.Served:
		t.conn.Send(thrift.AppendAnswer(nil, "execute", seq, thrift.Answer{Body: o.Result.Body, Fields: t.fields(), OK: true}))
	case dispatch.Shed:
		// A refusal always says when to come back, be it at once.
		fields := map[string]string{"later": strconv.FormatInt(max(1, o.RetryAfter.Milliseconds()), 10)}
		maps.Copy(fields, t.fields())
		if o.NoRetryElsewhere {
			fields["giveup"] = "1"
		}
		t.conn.Send(thrift.AppendShed(nil, seq, fields))
	case dispatch.Rejected:
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
// returns for how long it is still to be waited for. A peer of which nothing but bad
// messages came is told nothing. It is called by the connection's goroutine.
func (t *thriftConn) notify() time.Duration {
	if t.bad > 0 && t.good == 0 {
		return 0
	}
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

// notifyOrClose asks that no new request comes on the connection; the balancer closes
// it once all on it is answered. One that does not is closed when idle, after it has
// been told for a time.
func (t *thriftConn) notifyOrClose(within time.Duration) {
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

func (t *thriftConn) owesLocked() bool { return len(t.open)+t.checks > 0 }

// notified tells whether leave of the connection was taken before.
func (t *thriftConn) notified() bool {
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
