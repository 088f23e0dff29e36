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

// Thrift methods that balancers call.
const (
	methodExecute   = "execute"
	methodCheck     = "check"
	methodInterrupt = "interrupt"
)

// noRetryElsewhereSet is the value of protocol.FieldNoRetryElsewhere when it is set. If it is
// not set, the field is absent.
const noRetryElsewhereSet = "1"

// loadReportDecimals is the number of decimals of the value in protocol.FieldLoadReport.
const loadReportDecimals = 4

// connection is one connection from a balancer. It implements dispatch.Responder.
type connection struct {
	core    *dispatch.Core
	rules   *match.ActiveRules
	conn    *transport.Conn
	monitor *guard.Monitor
	log     *slog.Logger

	// Used only by the goroutine that serves the connection.
	reader          protocol.Reader
	input           *bufio.Reader // that handleNext was last called with; nil before
	sequence        sequenceTracker
	validMessages   int
	invalidMessages int

	// An open request is removed and its response sent while mu is held, so that the
	// connection cannot close between the two.
	mu            sync.Mutex
	seqByRequest  map[string]int32 // sequence numbers of the open requests, by request ID
	requestBySeq  map[int32]string // the inverse of seqByRequest
	pendingChecks int              // health checks without a response
	notifiedAt    time.Time        // when the peer was told to send no new request; zero if it was not
	noticePeriod  time.Duration    // how long after notifiedAt an idle connection stays open
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

// handleNext reads the next message and handles it. It is the handler for
// transport.Conn.Serve: an error other than transport.ErrMessageSkipped closes the connection.
func (c *connection) handleNext(r *bufio.Reader) error {
	c.input = r
	m, err := c.reader.Read(r)
	if err == nil {
		return c.receive(m)
	}
	var bad *protocol.BadMessageError
	if errors.As(err, &bad) {
		return c.skip(bad.Header, c.recordBadMessage(bad.Header), err)
	}
	if guard.MayContinue(c.guardInput()) != nil {
		return fmt.Errorf("%w: %w", guard.ErrTooManySkipped, protocol.ErrMalformed)
	}
	return err
}

// recordBadMessage records the sequence number of a message that could not be decoded, and
// returns its order. Only calls get a reply, so a message that is not known to be a call
// counts as a duplicate, which gets no reply.
func (c *connection) recordBadMessage(head *protocol.Header) sequenceOrder {
	if head == nil || head.Type != protocol.Call {
		return duplicate
	}
	return c.sequence.recordCall(head.Seq)
}

// guardInput returns the inputs of guard.MayContinue, which decides whether the connection is
// read further.
func (c *connection) guardInput() guard.InputState {
	return guard.InputState{ValidMessages: c.validMessages, InvalidMessages: c.invalidMessages, SkippedBytes: c.reader.ResyncBytes()}
}

// skip handles a message that is malformed, out of order or a duplicate. If it is a call whose
// sequence number was not used before, skip sends an exception. If the peer has sent valid
// messages, skip tells the peer to send no new request on the connection; valid messages that
// still arrive are handled. If guard.MayContinue denies reading further, skip returns an error that
// closes the connection, else transport.ErrMessageSkipped.
func (c *connection) skip(head *protocol.Header, order sequenceOrder, cause error) error {
	// If a message is out of order after valid ones, an earlier message was malformed. The
	// message that is out of order does not count as malformed itself.
	isMalformed := order != outOfOrder || c.validMessages == 0
	if isMalformed {
		c.invalidMessages++
	}
	if err := guard.MayContinue(c.guardInput()); err != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.monitor.RecordDenial(guard.LostRequest, cause, "")
	c.logSkippedLocked(isMalformed, cause)
	if head != nil && head.Type == protocol.Call && order != duplicate {
		c.sendException(*head, protocol.ProtocolError, cause.Error())
	}
	if c.validMessages > 0 {
		c.notifyLocked()
	}
	return transport.ErrMessageSkipped
}

// logSkippedLocked logs a skipped message: at level info if it is the first malformed one
// from a peer that has sent valid ones, else at level debug. The caller holds mu.
func (c *connection) logSkippedLocked(isMalformed bool, cause error) {
	level := slog.LevelDebug
	if c.invalidMessages == 1 && isMalformed && c.validMessages > 0 {
		level = slog.LevelInfo
	}
	c.log.Log(context.Background(), level, "message_skipped",
		"peer", c.conn.PeerAddr(), "error", cause.Error(), "open_requests", len(c.seqByRequest))
}

func (c *connection) sendException(head protocol.Header, kind int32, text string) {
	c.conn.Send(protocol.AppendException(nil, head.Name, head.Seq, kind, text))
}

// receive handles a decoded message. A call of an unknown method gets an exception. Other
// unknown messages are ignored.
func (c *connection) receive(m *protocol.Message) error {
	if m.Type == protocol.Oneway {
		c.sequence.recordOneway(m.Seq)
	} else if order := c.sequence.recordCall(m.Seq); order != inOrder {
		return c.skip(&m.Header, order, fmt.Errorf("%w: sequence number %d after %d", protocol.ErrMalformed, m.Seq, c.sequence.highest))
	}
	c.validMessages++
	switch {
	case m.Name == methodExecute && m.Type == protocol.Call:
		return c.respondToError(m, c.execute(m))
	case m.Name == methodCheck && m.Type == protocol.Call:
		return c.respondToError(m, c.checkHealth(m))
	case m.Name == methodInterrupt && m.Type == protocol.Oneway:
		c.cancelRequest(m.CanceledSeq)
	case m.Type == protocol.Call:
		c.sendException(m.Header, protocol.UnknownMethod, "unknown method")
	}
	return nil
}

// respondToError sends an exception for a call that was not carried out because of err, if that is
// not nil. A peer that keeps exceeding maxOpenRequests is not read any further: respondToError
// then returns an error that closes the connection.
func (c *connection) respondToError(m *protocol.Message, err error) error {
	if err == nil {
		return nil
	}
	c.sendException(m.Header, protocol.ProtocolError, err.Error())
	if !errors.Is(err, errTooManyOpen) {
		return nil
	}
	c.invalidMessages++
	c.monitor.RecordDenial(guard.LostRequest, err, "")
	if denied := guard.MayContinue(c.guardInput()); denied != nil {
		return fmt.Errorf("%w: %w", denied, err)
	}
	return nil
}

// execute submits the request of a call to the core, which calls Respond once. If execute
// returns an error, the request was not submitted and Respond is not called. A request that was
// not read before the peer closed the connection is shed: its sender may have left.
func (c *connection) execute(m *protocol.Message) error {
	request, err := c.parseRequest(m)
	if err != nil {
		return err
	}
	if c.conn.PeerClosed() {
		c.conn.Send(protocol.AppendShed(nil, m.Seq, c.shedFields(dispatch.Outcome{Kind: dispatch.Shed})))
		return nil
	}
	if err := c.addOpenRequest(request.ID, m.Seq); err != nil {
		return err
	}
	if err := c.core.Submit(request); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.removeOpenRequestLocked(request.ID, m.Seq)
		return err
	}
	return nil
}

// checkHealth responds to a health check. It returns an error, and does not respond, if too many
// requests and checks are open.
func (c *connection) checkHealth(m *protocol.Message) error {
	c.mu.Lock()
	if err := c.checkOpenLocked(); err != nil {
		c.mu.Unlock()
		return err
	}
	c.pendingChecks++
	c.mu.Unlock()
	respond := func(healthy bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pendingChecks--
		c.conn.Send(protocol.AppendAnswer(nil, m.Name, m.Seq, protocol.Answer{OK: healthy, Fields: c.loadReport()}))
	}
	if c.core.CheckHealth(m.Probe, respond) != nil { // the core has stopped
		respond(false)
	}
	return nil
}

// cancelRequest cancels the request of a call if it is open. The call then gets no reply.
func (c *connection) cancelRequest(seq int32) {
	c.mu.Lock()
	id, ok := c.requestBySeq[seq]
	if ok {
		c.removeOpenRequestLocked(id, seq)
	}
	c.mu.Unlock()
	if ok {
		c.core.CancelRequest(id, c)
	}
}

// Respond implements dispatch.Responder.
func (c *connection) Respond(id string, outcome dispatch.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq, ok := c.seqByRequest[id]
	c.removeOpenRequestLocked(id, seq)
	if ok {
		c.conn.Send(c.encodeReply(seq, outcome))
	}
}

// encodeReply returns the reply to a call for the outcome of its request.
func (c *connection) encodeReply(seq int32, outcome dispatch.Outcome) []byte {
	if len(outcome.Result.Body) > protocol.MaxResponseBody { // a stored result of the uwsgi frontend, which allows larger ones
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

// shedFields returns the fields of the reply to a shed request. They always include
// FieldRetryAfter, which is 1 ms if the caller may retry at once.
func (c *connection) shedFields(outcome dispatch.Outcome) map[string]string {
	retryAfter := max(1, outcome.RetryAfter.Milliseconds())
	fields := map[string]string{protocol.FieldRetryAfter: strconv.FormatInt(retryAfter, 10)}
	maps.Copy(fields, c.loadReport())
	if outcome.NoRetryElsewhere {
		fields[protocol.FieldNoRetryElsewhere] = noRetryElsewhereSet
	}
	return fields
}

// loadReport returns the field with the load report, or nil if the core reports no load.
func (c *connection) loadReport() map[string]string {
	load, ok := c.core.LoadReport()
	if !ok {
		return nil
	}
	return map[string]string{protocol.FieldLoadReport: strconv.FormatFloat(max(0, load), 'f', loadReportDecimals, 64)}
}

// notify tells the peer, once, to send no new request on the connection, and returns the
// remaining notice period. If the peer has sent only malformed messages, notify does
// nothing and returns 0. Only the goroutine that serves the connection may call it.
func (c *connection) notify() time.Duration {
	if c.invalidMessages > 0 && c.validMessages == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifyLocked()
	return c.noticePeriod - time.Since(c.notifiedAt)
}

// notifyLocked tells the peer, once, to send no new request. The caller holds mu.
func (c *connection) notifyLocked() {
	if c.notifiedAt.IsZero() {
		c.notifiedAt = time.Now()
		c.conn.Send(protocol.AppendLeaving(nil))
	}
}

// notifyOrClose tells the peer, once, to send no new request on the connection. A balancer
// then closes the connection when all its requests have responses. If the peer was told more
// than period ago and nothing is pending, notifyOrClose closes the connection.
func (c *connection) notifyOrClose(period time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.notifiedAt.IsZero() && !c.hasPendingLocked() && time.Since(c.notifiedAt) > period {
		c.noticePeriod = min(c.noticePeriod, period)
		c.conn.CloseIfIdle()
	}
	c.notifyLocked()
}

// hasPending reports whether a request or a health check has no response yet.
func (c *connection) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasPendingLocked()
}

func (c *connection) hasPendingLocked() bool { return len(c.seqByRequest)+c.pendingChecks > 0 }

// isNotified reports whether the peer was told to send no new request.
func (c *connection) isNotified() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.notifiedAt.IsZero()
}

// isIdle reports whether nothing is pending and the last message was read or queued longer
// than timeout ago.
func (c *connection) isIdle(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasPendingLocked() && time.Since(c.conn.LastActive()) > timeout
}
