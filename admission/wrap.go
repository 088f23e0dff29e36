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
// due: the module may answer up to the slack after a due time, and the bytes
// must still go out.
const writeMargin = 2 * answerSlack

// Wrap is the middleware for net/http, and for routers that take
// func(http.Handler) http.Handler, chi among them. Requests that a route of
// the configuration leads to a class are admitted as the package says; all
// others go to next untouched.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		door := time.Now()
		var rules *match.Set
		if s.cfg.Rules != nil {
			rules = s.cfg.Rules.Load()
		}
		var body []byte
		if rules != nil && rules.UsesBody() { // read before it is known whether it is taken
			var ok bool
			if body, ok = s.read(w, r); !ok {
				return
			}
			r.Body = &bodyReader{bytes.NewReader(body)}
		}
		if rules != nil {
			if res, ok := rules.Classify(match.FromHTTP(r, body)); ok {
				s.admit(w, r, door, res.Class, res.Key, next)
				return
			}
		}
		route, ok := s.table.Match(r.Method, r.URL.Path)
		if !ok {
			s.stats.passed.Add(1)
			next.ServeHTTP(w, r)
			return
		}
		key := r.Header.Get(route.KeyHeader)
		if route.KeyHeader == "" {
			key = r.Header.Get(describe.DefaultKeyHeader)
		}
		s.admit(w, r, door, route.Class, key, next)
	})
}

// read reads a request's body, or answers the request if it can't.
func (s *Server) read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := readBody(w, r, s.cfg.MaxBody)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		s.stats.rejected.Add(1)
		http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
		return nil, false
	} else if err != nil { // the caller's connection broke while it sent
		s.stats.gone.Add(1)
		return nil, false
	}
	return body, true
}

// admit has one request of a class decided, run and answered.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, door time.Time, class, key string, next http.Handler) {
	body, ok := s.read(w, r)
	if !ok {
		return
	}
	answer, id := make(sink, 1), dispatch.NewID()
	err := s.core.Submit(dispatch.Request{
		ID: id, Class: class, Key: key, ArrivedAt: door, Deadline: writeDue(r, door),
		ReservedKB: baseKB + float64(len(body))/1024, Payload: dispatch.Payload{Body: body},
		Backend: s.newRun(next, r), Responder: answer,
	})
	if errors.Is(err, dispatch.ErrStopped) {
		s.stats.refused.Add(1)
		refuse(w, maxAdvice)
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
		s.stats.gone.Add(1) // before the run hears of it
		s.core.CallerDisconnected(id, answer)
	case <-s.core.Done():
		select {
		case o := <-answer: // it came just before the end
			s.respond(w, o)
		default: // it may have run, so it is not turned away
			s.respond(w, dispatch.Outcome{Kind: dispatch.Failed})
		}
	}
}

// writeDue is when the http.Server that serves r stops writing to its caller,
// less the margin; zero where it has no WriteTimeout. net/http sets the write
// deadline once the request's header is read, just before the handlers are
// called, so door is a little late, and the margin covers that too.
func writeDue(r *http.Request, door time.Time) time.Time {
	hs, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	if !ok || hs.WriteTimeout <= 0 {
		return time.Time{}
	}
	if hs.WriteTimeout <= 2*writeMargin {
		return door.Add(hs.WriteTimeout / 2)
	}
	return door.Add(hs.WriteTimeout - writeMargin)
}

// sink takes the answer to the goroutine that serves the request.
type sink chan dispatch.Outcome

// Respond implements dispatch.Sink. There is one answer, and room for it.
func (s sink) Respond(_ string, o dispatch.Outcome) { s <- o }

func (s *Server) respond(w http.ResponseWriter, o dispatch.Outcome) {
	s.stats.answered(o.Kind)
	if s.draining.Load() { // callers go to another
		w.Header().Set("Connection", "close")
	}
	if o.Kind == dispatch.Shed {
		refuse(w, o.RetryAfter)
		return
	}
	if o.Kind != dispatch.Served && len(o.Result.Fields) == 0 { // the handler has said nothing
		status := httpresult.Status(o.Kind)
		http.Error(w, http.StatusText(status), status)
		return
	}
	status, headers, body := httpresult.Decode(o.Result)
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(status)
	w.Write(body)
}

func refuse(w http.ResponseWriter, later time.Duration) {
	w.Header().Set("Retry-After", httpresult.RetryAfter(later))
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// readBody reads a request's body, at most limit bytes of it, into a slice of
// its length where the length is told.
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
