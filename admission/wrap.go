package admission

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/match"
	"quincerail.example/quincerail/protocol/httpresult"
)

// writeMargin is the time between a request's deadline and the write deadline of the
// http.Server. The decision module may answer up to deadlineSlack after the request's
// deadline, and the response must still be written after that.
const writeMargin = 2 * deadlineSlack

// Wrap is the middleware for net/http and for routers that take
// func(http.Handler) http.Handler, such as chi. Requests to which a rule or a route of the
// configuration assigns a class are admitted as the package documentation describes. All
// others are passed to next unchanged.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivedAt := time.Now()
		class, err := s.classify(w, r)
		switch {
		case err != nil: // the request was answered, or its caller has disconnected
		case class.Name == "":
			s.stats.passed.Add(1)
			next.ServeHTTP(w, r)
		default:
			s.admit(w, r, arrivedAt, class, next)
		}
	})
}

// classification is the class and key that a rule or a route assigns to a request. Name is
// empty if neither matches.
type classification struct {
	Name string // name of the class
	Key  string // idempotency key; empty if there is none
}

// classify evaluates the rules, if there are any, and then the routes. It returns an error if
// the rules need the body and reading the body fails; readBodyOrRespond has then handled the
// request.
func (s *Server) classify(w http.ResponseWriter, r *http.Request) (classification, error) {
	if s.cfg.Rules != nil {
		class, err := s.classifyByRules(w, r, s.cfg.Rules.Load())
		if err != nil || class.Name != "" {
			return class, err
		}
	}
	route, ok := s.table.Match(r.Method, r.URL.Path)
	if !ok {
		return classification{}, nil
	}
	key := r.Header.Get(route.KeyHeader)
	if route.KeyHeader == "" {
		key = r.Header.Get(describe.DefaultKeyHeader)
	}
	return classification{Name: route.Class, Key: key}, nil
}

// classifyByRules evaluates the rules. If they use the body, it reads the body first and
// replaces r.Body, so that the body can be read again.
func (s *Server) classifyByRules(w http.ResponseWriter, r *http.Request, rules *match.Set) (classification, error) {
	if rules == nil {
		return classification{}, nil
	}
	var body []byte
	if rules.UsesBody() {
		var err error
		if body, err = s.readBodyOrRespond(w, r); err != nil {
			return classification{}, err
		}
		r.Body = &bodyReader{bytes.NewReader(body)}
	}
	result, ok := rules.Classify(match.FromHTTP(r, body))
	if !ok {
		return classification{}, nil
	}
	return classification{Name: result.Class, Key: result.Key}, nil
}

// readBodyOrRespond reads a request's body. If the body is too large, it answers the request,
// counts it as rejected and returns the error. If the caller's connection failed, it counts
// the request as gone and returns the error.
func (s *Server) readBodyOrRespond(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := readBody(w, r, s.cfg.MaxBody)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		s.stats.rejected.Add(1)
		http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
	} else if err != nil { // the caller's connection failed while the body was read
		s.stats.gone.Add(1)
	}
	return body, err
}

// admit submits a classified request to the core and writes its answer.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, arrivedAt time.Time, class classification, next http.Handler) {
	body, err := s.readBodyOrRespond(w, r)
	if err != nil {
		return
	}
	answer, id := make(responder, 1), dispatch.NewID()
	err = s.core.Submit(dispatch.Request{
		ID: id, Class: class.Name, Key: class.Key, ArrivedAt: arrivedAt, Deadline: writeDeadline(r, arrivedAt),
		ReservedKB: requestKB(r, body), Payload: dispatch.Payload{Body: body},
		Backend: s.newRun(next, r), Responder: answer,
	})
	if errors.Is(err, dispatch.ErrStopped) {
		s.stats.refused.Add(1)
		shed(w, maxRetryAfter)
		return
	} else if err != nil { // a key is missing or too long, or the class is unknown
		s.stats.rejected.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case o := <-answer:
		s.respond(w, o)
	case <-r.Context().Done(): // the caller disconnected, or a framework's timeout fired before the deadline
		s.stats.gone.Add(1) // counted before the run is cancelled
		s.core.CallerDisconnected(id, answer)
	case <-s.core.Done():
		select {
		case o := <-answer: // the core answered just before it stopped
			s.respond(w, o)
		default: // the handler may have run, so the request must not be shed
			s.respond(w, dispatch.Outcome{Kind: dispatch.Failed})
		}
	}
}

// headerFieldBytes is the memory for a field of a request's header beside its bytes.
const headerFieldBytes = 64

// requestKB returns the memory that a request takes while it waits, in KB: its body and the
// fields of its header.
func requestKB(r *http.Request, body []byte) float64 {
	size := len(body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFieldBytes
		}
	}
	return requestOverheadKB + float64(size)/bytesPerKB
}

// writeDeadline returns the time by which a request must be answered so that the http.Server
// can still write the response. That is writeMargin before the end of its WriteTimeout, or
// half of the WriteTimeout if it is not longer than 2*writeMargin. The result is zero if there
// is no WriteTimeout. net/http sets the write deadline when it has read the request's header,
// just before it calls the handler. arrivedAt is therefore slightly late; the margin covers
// that as well.
func writeDeadline(r *http.Request, arrivedAt time.Time) time.Time {
	hs, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if !ok || hs.WriteTimeout <= 0 {
		return time.Time{}
	}
	if hs.WriteTimeout <= 2*writeMargin {
		return arrivedAt.Add(hs.WriteTimeout / 2)
	}
	return arrivedAt.Add(hs.WriteTimeout - writeMargin)
}

// responder passes the core's answer to the goroutine that serves the request.
type responder chan dispatch.Outcome

// Respond implements dispatch.Responder. It does not block: the core calls it once, and the
// channel has a buffer of one.
func (answer responder) Respond(_ string, o dispatch.Outcome) { answer <- o }

// respond counts an outcome and writes it to the caller.
func (s *Server) respond(w http.ResponseWriter, o dispatch.Outcome) {
	s.stats.countOutcome(o.Kind)
	if s.draining.Load() { // so that callers reconnect to another server
		w.Header().Set("Connection", "close")
	}
	if o.Kind == dispatch.Shed {
		shed(w, o.RetryAfter)
		return
	}
	if o.Kind != dispatch.Served && len(o.Result.Fields) == 0 { // there is no response of a handler
		status := httpresult.Status(o.Kind)
		http.Error(w, http.StatusText(status), status)
		return
	}
	status, headers, body := httpresult.Decode(o.Result)
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // net/http handles a write error, which means that the caller has disconnected
}

// shed answers with status 503 and a Retry-After header in whole seconds, at least one.
func shed(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", httpresult.RetryAfter(retryAfter))
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// readBody reads a request's body. It returns an *http.MaxBytesError if the body is longer
// than limit bytes. If the length is known, the slice is allocated with that length.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength <= 0 {
		return io.ReadAll(body)
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(body, b); err != nil {
		return nil, err
	}
	return b, nil
}
