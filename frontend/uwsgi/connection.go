package uwsgi

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/httpresult"
	protocol "quincerail.example/quincerail/protocol/uwsgi"
	"quincerail.example/quincerail/transport"
)

// connection is one connection with its request. It implements dispatch.Responder.
type connection struct {
	frontend *Frontend
	conn     *transport.Conn
	decoder  protocol.Decoder // used only by the goroutine that serves the connection

	mu        sync.Mutex
	requestID string // "" until the request is read
	closing   bool   // the connection closes once all queued bytes are written
	graceOver bool   // the grace period of a drain was over before the request was read
}

// handleNext reads the request and submits it. It is the handler for transport.Conn.Serve.
func (c *connection) handleNext(r *bufio.Reader) error {
	c.mu.Lock()
	requestRead := c.requestID != "" || c.closing
	c.mu.Unlock()
	if requestRead {
		return discard(r)
	}
	request, err := c.decoder.Read(r)
	if err != nil {
		return c.respondToReadError(err)
	}
	if request.Modifier1 == protocol.ModifierPing {
		c.respondToPing()
	} else {
		c.submit(request)
	}
	return nil
}

// discard reads and discards bytes after the request until the connection closes.
func discard(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	_, err := r.Discard(r.Buffered())
	return err
}

// respondToReadError responds to a request that is malformed or too large. For any other error
// it returns err: the connection has failed, or the read was only interrupted.
func (c *connection) respondToReadError(err error) error {
	switch {
	case errors.Is(err, protocol.ErrMalformed):
		c.respond(http.StatusBadRequest)
	case errors.Is(err, protocol.ErrTooLarge):
		c.respond(http.StatusRequestEntityTooLarge)
	case errors.Is(err, transport.ErrInputBudget):
		c.reject(retryAfterInput)
	default:
		return err
	}
	return nil
}

// respondToIncomplete responds to a request that has not arrived completely when the connection
// closes because of a timeout or is abandoned, with cause as the reason. A connection without
// any byte gets a response only if it is abandoned before the end of the grace period, because
// a request may be on its way then.
func (c *connection) respondToIncomplete(cause error) {
	defer c.discardIncomplete()
	c.mu.Lock()
	requestRead, graceOver := c.requestID != "" || c.closing, c.graceOver
	c.mu.Unlock()
	started := c.decoder.Started()
	abandoned := errors.Is(cause, transport.ErrAbandoned)
	timedOut := errors.Is(cause, os.ErrDeadlineExceeded)
	switch {
	case requestRead && errors.Is(cause, io.EOF):
		c.failDisconnected()
	case requestRead:
	case graceOver && started && (abandoned || timedOut):
		c.reject(0)
	case graceOver:
	case abandoned || timedOut && started:
		c.respond(http.StatusRequestTimeout)
	}
}

// failDisconnected reports to the core that the caller has closed its write side, and responds
// that the request has failed, in case the caller still reads.
func (c *connection) failDisconnected() {
	if id, unanswered := c.unansweredRequest(); unanswered {
		c.frontend.core.CallerDisconnected(id, c)
		c.respond(http.StatusBadGateway)
	}
}

// discardIncomplete gives back the memory of an incomplete request when its connection closes.
func (c *connection) discardIncomplete() {
	if c.decoder.Discard() {
		_ = c.conn.ReserveInput(0) // giving back never fails
	}
}

// respondToPing sends a pong if the server is healthy, and closes the connection.
func (c *connection) respondToPing() {
	c.checkHealth(func(healthy bool) {
		if healthy {
			c.conn.Send(protocol.AppendPong(nil))
		}
		c.close()
	})
}

// checkHealth calls respond once with the health of the server. If the core has stopped, it
// does not call respond; the process then exits.
func (c *connection) checkHealth(respond func(healthy bool)) {
	_ = c.frontend.core.CheckHealth(false, respond)
}

// submit submits a request. The protocol has no arrival time, so the request arrived when the
// system received its last bytes. That may be long before they were read, because a connection
// may wait to be accepted.
func (c *connection) submit(r *protocol.Request) {
	config, path := c.frontend.config.Load(), requestPath(r)
	id := dispatch.NewID()
	c.mu.Lock()
	c.requestID = id
	c.conn.SetReadDeadline(time.Time{}) // from here on the core responds by the request's deadline
	c.mu.Unlock()
	if config.HealthPath != "" && path == config.HealthPath {
		c.respondHealth()
		return
	}
	class, key, ok := c.frontend.classify(r, path)
	if !ok {
		c.respond(http.StatusNotFound)
		return
	}
	if c.conn.PeerClosed() { // the request was not read before that; its sender may have left
		c.reject(0)
		return
	}
	payload := requestPayload(r)
	err := c.frontend.core.Submit(dispatch.Request{
		ID:         id,
		Class:      class,
		Key:        strings.Clone(key), // the key table must not keep all variables in memory
		ArrivedAt:  time.Now().Add(-c.conn.ArrivedBefore()),
		ReadBy:     c.conn.ReadBy(),
		OverLimit:  c.conn.OverLimit(),
		Caller:     noBalancer,
		ReservedKB: requestOverheadKB + float64(r.Size())/bytesPerKB,
		Payload:    payload,
		Backend:    c.frontend.backend,
		Responder:  c,
	})
	if err != nil { // a field is invalid, for example the idempotency key is missing, or the core has stopped
		c.respond(http.StatusBadRequest)
	}
}

func (c *connection) respondHealth() {
	c.checkHealth(func(healthy bool) {
		if healthy {
			c.respond(http.StatusOK)
		} else {
			c.reject(0)
		}
	})
}

// requestPath returns PATH_INFO, or the path of REQUEST_URI without the query if PATH_INFO is
// empty.
func requestPath(r *protocol.Request) string {
	if path := r.Get(variablePath); path != "" {
		return path
	}
	path, _, _ := strings.Cut(r.Get(variableURI), "?")
	return path
}

// requestPayload returns the payload for the backend.
func requestPayload(r *protocol.Request) dispatch.Payload {
	payload := dispatch.Payload{Body: r.Body, Fields: make([]dispatch.Field, 0, len(r.Vars))}
	for _, v := range r.Vars {
		payload.Fields = append(payload.Fields, dispatch.Field(v))
	}
	return payload
}

// classify returns the class and the idempotency key of a request: those of the first
// matching operator rule, else those of the matching route. It returns false if neither
// matches.
func (f *Frontend) classify(r *protocol.Request, path string) (class, key string, ok bool) {
	if set := f.rules.Load(); set != nil {
		if result, ok := set.Classify(ruleRequest(r, path)); ok {
			return result.Class, result.Key, true
		}
	}
	route, ok := f.config.Load().Routes.Match(r.Get(variableMethod), path)
	return route.Class, r.Get(route.KeyHeader), ok
}

// ruleRequest returns a request in the form that operator rules evaluate.
func ruleRequest(r *protocol.Request, path string) match.Request {
	request := match.Request{
		Frontend: frontendName,
		Method:   r.Get(variableMethod),
		Path:     path,
		Headers:  make(map[string]string, len(r.Vars)),
		Body:     r.Body,
	}
	for _, v := range r.Vars {
		if name, ok := match.CGIHeaderName(v.Name); ok {
			request.Headers[name] = v.Value
		}
	}
	return request
}

// Respond implements dispatch.Responder.
func (c *connection) Respond(_ string, outcome dispatch.Outcome) {
	switch outcome.Kind {
	case dispatch.Served:
		c.send(servedResponse(outcome.Result))
	case dispatch.Shed:
		c.reject(outcome.RetryAfter)
	default:
		c.respond(httpresult.Status(outcome.Kind))
	}
}

func servedResponse(result dispatch.Payload) protocol.Response {
	status, headers, body := httpresult.Decode(result)
	response := protocol.Response{Status: status, Body: body}
	for _, h := range headers {
		response.Headers = append(response.Headers, protocol.Var(h))
	}
	return response
}

// reject responds that the request did not run and when the caller may retry.
func (c *connection) reject(retryAfter time.Duration) {
	header := protocol.Var{Name: "Retry-After", Value: httpresult.RetryAfter(retryAfter)}
	c.respond(http.StatusServiceUnavailable, header)
}

// respond sends a response of the frontend itself, with the text of the status as the body.
func (c *connection) respond(status int, headers ...protocol.Var) {
	headers = append(headers, protocol.Var{Name: "Content-Type", Value: "text/plain"})
	c.send(protocol.Response{Status: status, Headers: headers, Body: []byte(http.StatusText(status) + "\n")})
}

func (c *connection) send(r protocol.Response) {
	c.conn.Send(protocol.AppendResponse(nil, r))
	c.close()
}

// close closes the connection once all queued bytes are written.
func (c *connection) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.conn.Close()
}

// unansweredRequest returns the ID of the request that was read, and whether it has no response
// yet.
func (c *connection) unansweredRequest() (id string, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID, c.requestID != "" && !c.closing
}

// isPending reports whether a response is due or not completely written.
func (c *connection) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.requestID != "" || c.closing) && !c.conn.Finished()
}

// endGrace closes the connection requestTimeoutAfterGrace from now, unless the request is read
// by then.
func (c *connection) endGrace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestID != "" || c.closing {
		return
	}
	c.graceOver = true
	time.AfterFunc(requestTimeoutAfterGrace, c.conn.Abandon)
}
