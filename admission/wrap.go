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

// writeMargin is how long before the http.Server's write deadline an answer is
// due: the module may answer up to deadlineSlack later, and the bytes must still be
// written after that.
const writeMargin = 2 * deadlineSlack

// Wrap is the middleware for net/http, and for routers that take
// func(http.Handler) http.Handler, chi among them. Requests that a route of
// the configuration leads to a class are admitted as the package says; all
// others go to next untouched.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivedAt := time.Now()
		class, err := s.classify(w, r)
		switch {
		case err != nil: // the request is answered, or its caller has gone
		case class.Name == "":
			s.stats.passed.Add(1)
			next.ServeHTTP(w, r)
		default:
			s.admit(w, r, arrivedAt, class, next)
		}
	})
}

// classification is what a rule or a route makes of a request. Its name is empty where
// none applies.
type classification struct {
	Name string // of the class
	Key  string // idempotency key; empty for none
}

// classify asks the rules, where there are any, and then the routes. It returns an
// error if a rule needed a body that could not be read; nothing is left to do then (see
// readBodyOrRespond).
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

// classifyByRules asks the rules. Where they look at bodies, the body is read first and
// then replaced, so that it can be read again.
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

// readBodyOrRespond reads a request's body. Where it can't, it answers and counts the
// request, or counts it as gone if its caller's connection broke, and returns the error.
func (s *Server) readBodyOrRespond(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := readBody(w, r, s.cfg.MaxBody)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		s.stats.rejected.Add(1)
		http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
	} else if err != nil { // the caller's connection broke while it sent
		s.stats.gone.Add(1)
	}
	return body, err
}

// admit submits one request of a class to the core, and writes its answer.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, arrivedAt time.Time, class classification, next http.Handler) {
	body, err := s.readBodyOrRespond(w, r)
	if err != nil {
		return
	}
	answer, id := make(responder, 1), dispatch.NewID()
	err = s.core.Submit(dispatch.Request{
		ID: id, Class: class.Name, Key: class.Key, ArrivedAt: arrivedAt, Deadline: writeDeadline(r, arrivedAt),
		ReservedKB: requestOverheadKB + float64(len(body))/bytesPerKB, Payload: dispatch.Payload{Body: body},
		Backend: s.newRun(next, r), Responder: answer,
	})
	if errors.Is(err, dispatch.ErrStopped) {
		s.stats.refused.Add(1)
		shed(w, maxRetryAfter)
		return
	} else if err != nil { // a keyed class without its key, or one too long, or a class that is not known
		s.stats.rejected.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case o := <-answer:
		s.respond(w, o)
	case <-r.Context().Done(): // the caller left, or a framework's timeout fired before ours
		s.stats.gone.Add(1) // before the run is cancelled
		s.core.CallerDisconnected(id, answer)
	case <-s.core.Done():
		select {
		case o := <-answer: // it came just before the end
			s.respond(w, o)
		default: // it may have run, so it is not shed
			s.respond(w, dispatch.Outcome{Kind: dispatch.Failed})
		}
	}
}

// writeDeadline returns by when a request must be answered so that the http.Server can
// still write the answer: writeMargin before its WriteTimeout ends, or half of a
// WriteTimeout that is too short for that. It is zero where there is no WriteTimeout.
// net/http sets the write deadline once the request's header is read, just before the
// handlers are called, so arrivedAt is a little late, and the margin covers that too.
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

// responder passes the answer to the goroutine that serves the request.
type responder chan dispatch.Outcome

// Respond implements dispatch.Responder. It does not block: there is one answer, and
// the channel has room for it.
func (answer responder) Respond(_ string, o dispatch.Outcome) { answer <- o }

// respond counts an outcome and writes it to the caller.
func (s *Server) respond(w http.ResponseWriter, o dispatch.Outcome) {
	s.stats.countOutcome(o.Kind)
	if s.draining.Load() { // callers go to another
		w.Header().Set("Connection", "close")
	}
	if o.Kind == dispatch.Shed {
		shed(w, o.RetryAfter)
		return
	}
	if o.Kind != dispatch.Served && len(o.Result.Fields) == 0 { // there is no response of the handler's
		status := httpresult.Status(o.Kind)
		http.Error(w, http.StatusText(status), status)
		return
	}
	status, headers, body := httpresult.Decode(o.Result)
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has gone is noticed by net/http
}

// shed answers 503 with a Retry-After of whole seconds, at least one.
func shed(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", httpresult.RetryAfter(retryAfter))
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// readBody reads a request's body, at most limit bytes of it, into a slice of
// its length where that is known.
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
