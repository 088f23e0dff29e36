package uwsgi

import (
	"bufio"
	"errors"
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

// connection is one connection and its request. It implements dispatch.Responder.
type connection struct {
	frontend *Frontend
	conn     *transport.Conn
	decoder  protocol.Decoder // used by the connection's goroutine alone

	mu        sync.Mutex
	requestID string // "" until the request is read
	closing   bool   // the connection ends once what is queued is written
	graceOver bool   // the grace of a drain is over: a request that is not read in time is rejected
}

// step reads the request and submits it.
func (c *connection) step(r *bufio.Reader) error {
	c.mu.Lock()
	awaitingAnswer, graceOver := c.requestID != "" || c.closing, c.graceOver
	c.mu.Unlock()
	if awaitingAnswer {
		return discard(r)
	}
	request, err := c.decoder.Read(r)
	if err != nil {
		return c.fail(err, graceOver)
	}
	if request.Modifier1 == protocol.ModifierPing {
		c.ping()
	} else {
		c.take(request)
	}
	return nil
}

// discard reads what comes after the request until the connection ends.
func discard(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	_, err := r.Discard(r.Buffered())
	return err
}

// fail responds to a request that could not be read. It returns the error where no response
// is due: no byte of the request has arrived, or the connection itself has failed or was only
// interrupted.
func (c *connection) fail(err error, graceOver bool) error {
	switch {
	case errors.Is(err, protocol.ErrMalformed):
		c.respond(http.StatusBadRequest)
	case errors.Is(err, protocol.ErrTooLarge):
		c.respond(http.StatusRequestEntityTooLarge)
	case !errors.Is(err, os.ErrDeadlineExceeded) || !c.conn.Expired() || !c.decoder.Started():
		return err
	case graceOver:
		c.reject(0)
	default:
		c.respond(http.StatusRequestTimeout)
	}
	return nil
}

// ping answers a ping if the server is healthy.
func (c *connection) ping() {
	c.checkHealth(func(healthy bool) {
		if healthy {
			c.conn.Send(protocol.AppendPong(nil))
		}
		c.close()
	})
}

// checkHealth calls reply once with the server's health. If the core has stopped it never
// does, as the process ends then.
func (c *connection) checkHealth(reply func(healthy bool)) {
	_ = c.frontend.core.CheckHealth(false, reply)
}

// take submits a request. The protocol has no arrival time: a request counts as arrived when
// its last byte is read.
func (c *connection) take(r *protocol.Request) {
	config, path := c.frontend.config.Load(), requestPath(r)
	id := dispatch.NewID()
	c.mu.Lock()
	c.requestID = id
	c.conn.SetReadDeadline(time.Time{}) // from here on the core answers by the request's deadline
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
	payload, size := requestPayload(r)
	err := c.frontend.core.Submit(dispatch.Request{
		ID:         id,
		Class:      class,
		Key:        key,
		ArrivedAt:  time.Now(),
		ReadBy:     c.conn.ReadBy(),
		Caller:     noBalancer,
		ReservedKB: requestOverheadKB + float64(size)/bytesPerKB,
		Payload:    payload,
		Backend:    c.frontend.backend,
		Responder:  c,
	})
	if err != nil { // a keyed class without its key
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

// requestPath returns the path without a query: PATH_INFO, or else that of REQUEST_URI.
func requestPath(r *protocol.Request) string {
	if path := r.Get(variablePath); path != "" {
		return path
	}
	path, _, _ := strings.Cut(r.Get(variableURI), "?")
	return path
}

// requestPayload returns what the backend gets, and its size in bytes.
func requestPayload(r *protocol.Request) (payload dispatch.Payload, size int) {
	payload, size = dispatch.Payload{Body: r.Body}, len(r.Body)
	for _, v := range r.Vars {
		payload.Fields = append(payload.Fields, dispatch.Field(v))
		size += len(v.Name) + len(v.Value)
	}
	return payload, size
}

// classify returns a request's class and idempotency key: by the operator's rules if one
// of them takes it, else by the routes; false where none leads to a class.
func (f *Frontend) classify(r *protocol.Request, path string) (class, key string, ok bool) {
	if set := f.rules.Load(); set != nil {
		if result, ok := set.Classify(ruleRequest(r, path)); ok {
			return result.Class, result.Key, true
		}
	}
	route, ok := f.config.Load().Routes.Match(r.Get(variableMethod), path)
	return route.Class, r.Get(route.KeyHeader), ok
}

// ruleRequest returns a request in the form that the operator's rules read.
func ruleRequest(r *protocol.Request, path string) match.Request {
	request := match.Request{
		Frontend: frontName,
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

// reject responds that the request did not run, and after how long the caller may retry.
func (c *connection) reject(retryAfter time.Duration) {
	header := protocol.Var{Name: "Retry-After", Value: httpresult.RetryAfter(retryAfter)}
	c.respond(http.StatusServiceUnavailable, header)
}

// respond sends a response of the front's own, whose body is the status's text.
func (c *connection) respond(status int, headers ...protocol.Var) {
	headers = append(headers, protocol.Var{Name: "Content-Type", Value: "text/plain"})
	c.send(protocol.Response{Status: status, Headers: headers, Body: []byte(http.StatusText(status) + "\n")})
}

func (c *connection) send(r protocol.Response) {
	c.conn.Send(protocol.AppendResponse(nil, r))
	c.close()
}

// close ends the connection once what is queued is written.
func (c *connection) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.conn.Close()
}

// unansweredRequest returns the request that was submitted, if it has no answer.
func (c *connection) unansweredRequest() (id string, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID, c.requestID != "" && !c.closing
}

// isPending reports whether the request was read and its answer is not written.
func (c *connection) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.requestID != "" || c.closing) && !c.conn.Ended()
}

// endGrace gives a request that is not read yet requestTimeoutAfterGrace to arrive.
func (c *connection) endGrace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestID != "" || c.closing {
		return
	}
	c.graceOver = true
	c.conn.SetReadDeadline(time.Now().Add(requestTimeoutAfterGrace))
	c.conn.Wake()
}
