package thrift

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/guard"
	"quincerail.example/quincerail/match"
	protocol "quincerail.example/quincerail/protocol/thrift"
	"quincerail.example/quincerail/transport"
)

// The methods that balancers call.
const (
	methodExecute   = "execute"
	methodCheck     = "check"
	methodInterrupt = "interrupt"
)

// maxOpenRequests is how many requests may be open on one connection.
const maxOpenRequests = 32

// noRetryElsewhereSet is the value of protocol.FieldNoRetryElsewhere; the field is absent
// otherwise.
const noRetryElsewhereSet = "1"

// loadReportDecimals is how many decimals the load in protocol.FieldLoadReport has.
const loadReportDecimals = 4

// connection is one connection of a balancer. It implements dispatch.Responder.
type connection struct {
	core    *dispatch.Core
	rules   *match.ActiveRules
	conn    *transport.Conn
	monitor *guard.Monitor
	log     *slog.Logger

	// Used by the connection's goroutine alone.
	reader          protocol.Reader
	sequence        sequence
	validMessages   int
	invalidMessages int

	// An open request is removed under the lock under which its answer is sent, so that
	// the connection never ends between the two.
	mu            sync.Mutex
	seqByRequest  map[string]int32 // sequence numbers of the open requests, by request ID
	requestBySeq  map[int32]string // the inverse of seqByRequest
	pendingChecks int              // health checks without an answer
	notifiedAt    time.Time        // when the peer was told that nothing new is wanted; zero before
	noticePeriod  time.Duration    // that the peer has from then on
}

func newConnection(f *Frontend, c *transport.Conn) *connection {
	return &connection{
		core:         f.options.Core,
		rules:        f.options.Rules,
		conn:         c,
		monitor:      f.options.Monitor,
		log:          f.options.Log,
		noticePeriod: noticePeriod,
		seqByRequest: make(map[string]int32),
		requestBySeq: make(map[int32]string),
	}
}

// step reads the next message and handles it. An error other than
// transport.ErrMessageSkipped ends the connection.
func (c *connection) step(r *bufio.Reader) error {
	m, err := c.reader.Read(r)
	if err == nil {
		return c.receive(m)
	}
	var bad *protocol.BadMessageError
	if errors.As(err, &bad) {
		return c.skip(bad.Head, c.badMessageOrder(bad.Head), err)
	}
	if guard.MayContinue(c.inputFacts()) != nil {
		return fmt.Errorf("%w: %w", guard.ErrNoMessages, protocol.ErrMalformed)
	}
	return err
}

// badMessageOrder takes the sequence number of a message that could not be decoded. Only
// a call is owed an answer: what is not known to be one counts as a duplicate, which gets
// none.
func (c *connection) badMessageOrder(head *protocol.Head) sequenceOrder {
	if head == nil || head.Type != protocol.Call {
		return duplicate
	}
	return c.sequence.call(head.Seq)
}

// inputFacts returns the facts by which package guard decides whether the connection goes
// on.
func (c *connection) inputFacts() guard.Input {
	return guard.Input{ValidMessages: c.validMessages, InvalidMessages: c.invalidMessages, SkippedBytes: c.reader.Scanned()}
}

// skip resynchronizes behind a malformed message, or one whose sequence number does not
// follow: a call whose number was not used before gets an exception. A peer that has sent
// valid messages is notified to use another connection; valid messages that still come on
// this one are handled. skip returns an error that ends the connection if package guard
// denies going on, else transport.ErrMessageSkipped.
func (c *connection) skip(head *protocol.Head, order sequenceOrder, cause error) error {
	// A message out of order that follows valid ones shows that an earlier message was
	// malformed, and is not malformed itself.
	isMalformed := order != outOfOrder || c.validMessages == 0
	if isMalformed {
		c.invalidMessages++
	}
	if err := guard.MayContinue(c.inputFacts()); err != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.monitor.Denied(guard.LostRequest, cause, "")
	c.logSkippedLocked(isMalformed, cause)
	if head != nil && head.Type == protocol.Call && order != duplicate {
		c.sendException(*head, protocol.ProtocolError, cause.Error())
	}
	if c.validMessages > 0 {
		c.notifyLocked()
	}
	return transport.ErrMessageSkipped
}

// logSkippedLocked logs a skipped message, at level info if it is the first malformed one of
// a peer that has sent valid ones, else at debug. The lock is held.
func (c *connection) logSkippedLocked(isMalformed bool, cause error) {
	level := slog.LevelDebug
	if c.invalidMessages == 1 && isMalformed && c.validMessages > 0 {
		level = slog.LevelInfo
	}
	c.log.Log(context.Background(), level, "message_skipped",
		"peer", c.conn.PeerAddr(), "error", cause.Error(), "open_requests", len(c.seqByRequest))
}

func (c *connection) sendException(head protocol.Head, kind int32, text string) {
	c.conn.Send(protocol.AppendException(nil, head.Name, head.Seq, kind, text))
}

// receive handles a message that was decoded. A call of an unknown method gets an exception;
// other messages that are not known are ignored.
func (c *connection) receive(m *protocol.Message) error {
	if m.Type == protocol.Oneway {
		c.sequence.oneway(m.Seq)
	} else if order := c.sequence.call(m.Seq); order != inOrder {
		return c.skip(&m.Head, order, fmt.Errorf("%w: sequence number %d after %d", protocol.ErrMalformed, m.Seq, c.sequence.highest))
	}
	c.validMessages++
	switch {
	case m.Name == methodExecute && m.Type == protocol.Call:
		if err := c.execute(m); err != nil {
			c.sendException(m.Head, protocol.ProtocolError, err.Error())
		}
	case m.Name == methodCheck && m.Type == protocol.Call:
		c.check(m)
	case m.Name == methodInterrupt && m.Type == protocol.Oneway:
		c.cancel(m.CanceledSeq)
	case m.Type == protocol.Call:
		c.sendException(m.Head, protocol.UnknownMethod, "unknown method")
	}
	return nil
}

// execute submits a call's request to the core, which calls Respond once. After an error
// the request was not submitted, and Respond is not called.
func (c *connection) execute(m *protocol.Message) error {
	request, err := c.parseRequest(m)
	if err != nil {
		return err
	}
	if err := c.open(request.ID, m.Seq); err != nil {
		return err
	}
	if err := c.core.Submit(request); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closeLocked(request.ID, m.Seq)
		return err
	}
	return nil
}

// check answers a health check.
func (c *connection) check(m *protocol.Message) {
	c.mu.Lock()
	c.pendingChecks++
	c.mu.Unlock()
	answer := func(healthy bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pendingChecks--
		c.conn.Send(protocol.AppendAnswer(nil, m.Name, m.Seq, protocol.Answer{OK: healthy, Fields: c.loadReport()}))
	}
	if c.core.CheckHealth(m.Probe, answer) != nil { // it has stopped
		answer(false)
	}
}

// cancel cancels the request of a call, if it is open. It is owed no answer then.
func (c *connection) cancel(seq int32) {
	c.mu.Lock()
	id, ok := c.requestBySeq[seq]
	if ok {
		c.closeLocked(id, seq)
	}
	c.mu.Unlock()
	if ok {
		c.core.CancelRequest(id, c)
	}
}

// open adds a request to the open ones.
func (c *connection) open(id string, seq int32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.seqByRequest) >= maxOpenRequests {
		return fmt.Errorf("over %d open requests", maxOpenRequests)
	}
	if _, ok := c.seqByRequest[id]; ok {
		return fmt.Errorf("%s %q is open", protocol.FieldAttemptID, id)
	}
	c.seqByRequest[id], c.requestBySeq[seq] = seq, id
	return nil
}

// closeLocked removes an open request. The lock is held.
func (c *connection) closeLocked(id string, seq int32) {
	delete(c.seqByRequest, id)
	delete(c.requestBySeq, seq)
}

// failOpen answers the open requests with a fault as the connection ends, and returns
// their IDs. The faults reach a peer that has shut down only its writing direction.
func (c *connection) failOpen() (ids []string) {
	c.mu.Lock()
	unanswered := c.seqByRequest
	c.seqByRequest, c.requestBySeq = make(map[string]int32), make(map[int32]string)
	for _, seq := range unanswered {
		c.conn.Send(protocol.AppendFault(nil, seq, nil))
	}
	c.mu.Unlock()
	for id := range unanswered {
		c.core.CallerDisconnected(id, c)
		ids = append(ids, id)
	}
	return ids
}

// Respond implements dispatch.Responder.
func (c *connection) Respond(id string, outcome dispatch.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq, ok := c.seqByRequest[id]
	c.closeLocked(id, seq)
	if ok {
		c.conn.Send(c.reply(seq, outcome))
	}
}

// reply is the message that answers a call with a request's outcome.
func (c *connection) reply(seq int32, outcome dispatch.Outcome) []byte {
	if len(outcome.Result.Body) > protocol.MaxResult { // a key's result from the uwsgi front, which allows more
		outcome = dispatch.Outcome{Kind: dispatch.Failed}
	}
	switch outcome.Kind {
	case dispatch.Served:
		return protocol.AppendAnswer(nil, methodExecute, seq,
			protocol.Answer{Body: outcome.Result.Body, Fields: c.loadReport(), OK: true})
	case dispatch.Shed:
		return protocol.AppendShed(nil, seq, c.shedFields(outcome))
	case dispatch.Rejected:
		return protocol.AppendException(nil, methodExecute, seq, protocol.ProtocolError, "id or key of another request")
	default:
		return protocol.AppendFault(nil, seq, c.loadReport())
	}
}

// shedFields returns the fields of a refusal. FieldRetryAfter is always among them, with 1 ms
// where the caller may retry at once.
func (c *connection) shedFields(outcome dispatch.Outcome) map[string]string {
	retryAfter := max(1, outcome.RetryAfter.Milliseconds())
	fields := map[string]string{protocol.FieldRetryAfter: strconv.FormatInt(retryAfter, 10)}
	maps.Copy(fields, c.loadReport())
	if outcome.NoRetryElsewhere {
		fields[protocol.FieldNoRetryElsewhere] = noRetryElsewhereSet
	}
	return fields
}

// loadReport returns the field that every answer has while the core reports its load, nil
// while it does not.
func (c *connection) loadReport() map[string]string {
	load, ok := c.core.LoadReport()
	if !ok {
		return nil
	}
	return map[string]string{protocol.FieldLoadReport: strconv.FormatFloat(max(0, load), 'f', loadReportDecimals, 64)}
}

// notify tells the peer, once, to send no new request on the connection, and returns how
// long the peer still has to close it. A peer that has sent only malformed messages is not
// told, and 0 is returned. Only the connection's goroutine may call it.
func (c *connection) notify() time.Duration {
	if c.invalidMessages > 0 && c.validMessages == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyLocked()
	return c.noticePeriod - time.Since(c.notifiedAt)
}

// notifyLocked notifies the peer, once. The lock is held.
func (c *connection) notifyLocked() {
	if c.notifiedAt.IsZero() {
		c.notifiedAt = time.Now()
		c.conn.Send(protocol.AppendLeaving(nil))
	}
}

// notifyOrClose tells the peer, once, to send no new request on the connection: a balancer
// closes it then, when all its requests are answered. If the peer was told longer ago than
// the period, an idle connection is closed from this end.
func (c *connection) notifyOrClose(period time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.notifiedAt.IsZero() && !c.hasPendingLocked() && time.Since(c.notifiedAt) > period {
		c.noticePeriod = min(c.noticePeriod, period)
		c.conn.CloseIfIdle()
	}
	c.notifyLocked()
}

// hasPending reports whether a request or a health check has no answer yet.
func (c *connection) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasPendingLocked()
}

func (c *connection) hasPendingLocked() bool { return len(c.seqByRequest)+c.pendingChecks > 0 }

// isNotified reports whether the peer was told that nothing new is wanted.
func (c *connection) isNotified() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.notifiedAt.IsZero()
}

// isIdle reports whether nothing is pending and nothing was read or written for a time.
func (c *connection) isIdle(after time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasPendingLocked() && time.Since(c.conn.IdleSince()) > after
}
