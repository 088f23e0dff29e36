package admission_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/admission"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/match"
)

// service is a chi router with the middleware, called without a network.
type service struct {
	*chi.Mux
	a       *admission.Server
	runs    atomic.Int32
	stopped chan struct{}
	release chan struct{} // lets handlers that ignore their context return
}

func document(t testing.TB) *describe.Document {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "describe", "testdata", "openapi.json"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := describe.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func newService(t testing.TB, change func(*admission.Config)) *service {
	t.Helper()
	cfg := admission.FromDocument(document(t))
	cfg.Cores, cfg.MaxBody, cfg.Seed = 2, 100, 1
	if change != nil {
		change(&cfg)
	}
	s := &service{Mux: chi.NewRouter(), stopped: make(chan struct{}, 16), release: make(chan struct{})}
	var err error
	if s.a, err = admission.New(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.a.Close)
	s.Use(s.a.Wrap)
	s.Get("/kampanjer/{kampanj}", func(w http.ResponseWriter, r *http.Request) {
		switch chi.URLParam(r, "kampanj") {
		case "panik":
			panic("panik")
		case "halv": // a part of the body, then it fails
			_, _ = fmt.Fprint(w, "halva sidan")
			panic(http.ErrAbortHandler)
		case "fel":
			http.Error(w, "eget fel", http.StatusInternalServerError)
		case "evig":
			<-r.Context().Done()
			s.stopped <- struct{}{}
		case "dov": // it hears nothing of its context
			<-s.release
			s.stopped <- struct{}{}
		default:
			w.Header().Set("X-Kampanj", chi.URLParam(r, "kampanj"))
			w.WriteHeader(http.StatusAccepted)
			_, _ = fmt.Fprint(w, "hej")
		}
	})
	s.Post("/gavor", func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "tack för %s", body)
	})
	s.Get("/om", func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, "om oss") })
	return s
}

// ask sends a request and gives the status and the body.
func (s *service) ask(ctx context.Context, method, path, key, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("X-Gava", key)
	}
	s.ServeHTTP(w, r)
	return w
}

func want(t *testing.T, w *httptest.ResponseRecorder, status int, body string) {
	t.Helper()
	if w.Code != status || !strings.Contains(w.Body.String(), body) {
		t.Errorf("got %d %q, want %d with %q", w.Code, w.Body, status, body)
	}
}

// bubble plays a test on a clock of its own.
func bubble(t *testing.T, change func(*admission.Config), play func(t *testing.T, s *service)) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, change)
		play(t, s)
		close(s.release)
		s.a.Close()
		time.Sleep(time.Minute) // for handlers that still work
	})
}

func TestServes(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		w := s.ask(ctx, "GET", "/kampanjer/jul", "", "")
		want(t, w, http.StatusAccepted, "hej")
		if got := w.Header().Get("X-Kampanj"); got != "jul" {
			t.Errorf("header %q", got)
		}
		want(t, s.ask(ctx, "GET", "/om", "", ""), http.StatusOK, "om oss")
		want(t, s.ask(ctx, "GET", "/kampanjer/fel", "", ""), http.StatusInternalServerError, "eget fel")
		want(t, s.ask(ctx, "GET", "/kampanjer/panik", "", ""), http.StatusBadGateway, "")
		want(t, s.ask(ctx, "POST", "/gavor", "", "10 kr"), http.StatusBadRequest, "key")
		want(t, s.ask(ctx, "POST", "/gavor", "k", strings.Repeat("x", 101)), http.StatusRequestEntityTooLarge, "")
		if n := s.runs.Load(); n != 0 {
			t.Errorf("%d runs of what was not taken", n)
		}
		got, wanted := s.a.Stats(), admission.Stats{Served: 1, Failed: 2, Rejected: 2, Passed: 1, Runs: 3, Panics: 1}
		if got != wanted {
			t.Errorf("stats %+v, want %+v", got, wanted)
		}
	})
}

// TestPartThenFail has a handler write a part of its body and then fail: the
// caller hears of the failure, and of no part.
func TestPartThenFail(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		w := s.ask(t.Context(), "GET", "/kampanjer/halv", "", "")
		want(t, w, http.StatusBadGateway, "")
		if strings.Contains(w.Body.String(), "halva") {
			t.Errorf("the caller got a part: %q", w.Body)
		}
	})
}

// TestKeyRunsOnce has a key come again while its run lasts, after it, and after
// its window, and once with another body.
func TestKeyRunsOnce(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		done := make(chan *httptest.ResponseRecorder, 2)
		for range 2 {
			go func() { done <- s.ask(ctx, "POST", "/gavor", "k", "10 kr") }()
		}
		want(t, <-done, http.StatusOK, "tack för 10 kr")
		want(t, <-done, http.StatusOK, "tack för 10 kr")
		want(t, s.ask(ctx, "POST", "/gavor", "k", "20 kr"), http.StatusUnprocessableEntity, "")
		time.Sleep(20 * time.Second)
		want(t, s.ask(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusOK, "tack för 10 kr")
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%d runs within the window, want 1", n)
		}
		time.Sleep(2 * time.Second)
		want(t, s.ask(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusOK, "tack för 10 kr")
		if n := s.runs.Load(); n != 2 {
			t.Errorf("%d runs after the window, want 2", n)
		}
	})
}

// TestCallerGone has the caller cancel its request's context: no answer is owed,
// and the handler's context ends.
func TestCallerGone(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		s.ask(ctx, "GET", "/kampanjer/evig", "", "")
		<-s.stopped
		if got := s.a.Stats(); got.Gone != 1 || got.Served+got.Failed+got.TimedOut != 0 {
			t.Errorf("stats %+v, want one gone and no answer", got)
		}
	})
}

// TestClosed sees that work which may have run is not turned away at the end.
func TestClosed(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		time.AfterFunc(5*time.Millisecond, s.a.Close)
		want(t, s.ask(t.Context(), "POST", "/gavor", "k", "10 kr"), http.StatusBadGateway, "")
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// TestDeadline sees that a handler which never ends does not hold its caller
// beyond the deadline, and is stopped.
func TestDeadline(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		began := time.Now()
		w := s.ask(t.Context(), "GET", "/kampanjer/evig", "", "")
		want(t, w, http.StatusGatewayTimeout, "")
		if took := time.Since(began); took > 9260*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		<-s.stopped
	})
}

// TestStuck has a handler that hears nothing of its context: its caller is
// answered at the deadline all the same (turned away, as the class is safe to
// repeat), and the handler counts as running, and stuck, until it returns.
func TestStuck(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		began := time.Now()
		w := s.ask(t.Context(), "GET", "/kampanjer/dov", "", "")
		want(t, w, http.StatusServiceUnavailable, "")
		if w.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After")
		}
		if took := time.Since(began); took > 9260*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		synctest.Wait()
		if got := s.a.Stats(); got.Running != 1 || got.Stuck != 1 {
			t.Errorf("while it blocks: %d running, %d stuck, want 1 and 1", got.Running, got.Stuck)
		}
		s.release <- struct{}{}
		<-s.stopped
		synctest.Wait()
		if got := s.a.Stats(); got.Running != 0 || got.Stuck != 0 || got.Refused != 1 {
			t.Errorf("once it returned: %+v", got)
		}
	})
}

func TestDrain(t *testing.T) {
	bubble(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		health := func() int {
			w := httptest.NewRecorder()
			s.a.Health(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/health", nil))
			return w.Code
		}
		if got := health(); got != http.StatusOK {
			t.Errorf("health %d", got)
		}
		s.a.Drain(time.Now().Add(10 * time.Second))
		if got := health(); got != http.StatusServiceUnavailable {
			t.Errorf("health %d in a drain", got)
		}
		w := s.ask(ctx, "GET", "/kampanjer/jul", "", "")
		want(t, w, http.StatusAccepted, "hej")
		if got := w.Header().Get("Connection"); got != "close" {
			t.Errorf("in a drain, Connection: %q", got)
		}
		time.Sleep(2100 * time.Millisecond)
		w = s.ask(ctx, "POST", "/gavor", "k", "10 kr")
		want(t, w, http.StatusServiceUnavailable, "")
		if w.Header().Get("Retry-After") == "" || s.runs.Load() != 0 {
			t.Errorf("Retry-After %q, %d runs", w.Header().Get("Retry-After"), s.runs.Load())
		}
		s.a.Close()
		want(t, s.ask(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusServiceUnavailable, "")
	})
}

func TestConfig(t *testing.T) {
	for want, change := range map[string]func(*admission.Config){
		"classes: none":            func(c *admission.Config) { c.Classes = nil },
		`classes[1] "kampanjsida"`: func(c *admission.Config) { c.Classes[1].Name = "kampanjsida" },
		`classes[0] "kampanjsida": aim`: func(c *admission.Config) {
			c.Classes[0].Deadline = c.Classes[0].LatencyObjective / 2
		},
		`classes[1] "ny-gava": a keyed class needs a window`: func(c *admission.Config) { c.Classes[1].KeyWindow = 0 },
		`routes[0] `: func(c *admission.Config) { c.Routes[0].Class = "sida" },
		"memory -1":  func(c *admission.Config) { c.Memory = -1 },
	} {
		c := admission.FromDocument(document(t))
		c.Classes = append([]describe.Class(nil), c.Classes...)
		c.Routes = append(describe.Routes(nil), c.Routes...)
		change(&c)
		if _, err := admission.New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
}

// TestRules has rules classify what the routes do not: a gift with its key in
// the body runs once, and a new rule set takes over for the requests to come.
func TestRules(t *testing.T) {
	var rules match.ActiveRules
	set := func(class string) *match.Set {
		s, err := match.Parse(fmt.Sprintf(`
[[rule]]
name  = "gava"
match = 'path == "/om" && body.has_json("gava")'
class = '"%s"'
key   = 'body.json("gava")'`, class), []string{"kampanjsida", "ny-gava"})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	rules.Replace(set("ny-gava"))
	bubble(t, func(c *admission.Config) { c.Rules = &rules }, func(t *testing.T, s *service) {
		ctx := t.Context()
		for range 2 {
			want(t, s.ask(ctx, "GET", "/om", "", `{"gava": "g1"}`), http.StatusOK, "om oss")
		}
		want(t, s.ask(ctx, "GET", "/om", "", `{"annat": 1}`), http.StatusOK, "om oss")
		if got := s.a.Stats(); got.Runs != 1 || got.Served != 2 || got.Passed != 1 {
			t.Errorf("stats %+v, want one run for two served, one passed", got)
		}
		rules.Replace(set("kampanjsida"))
		want(t, s.ask(ctx, "GET", "/om", "", `{"gava": "g1"}`), http.StatusOK, "om oss")
		if got := s.a.Stats(); got.Runs != 2 {
			t.Errorf("with the new rules the request is safe and runs: %+v", got)
		}
	})
}
