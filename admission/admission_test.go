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

// service is a chi router with the middleware. Tests call it without a network.
type service struct {
	*chi.Mux
	server   *admission.Server
	runs     atomic.Int32
	returned chan struct{} // receives a value when a blocking handler returns
	release  chan struct{} // a receive lets a handler that ignores its context return
}

func loadDocument(t testing.TB) *describe.Document {
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
	cfg := admission.FromDocument(loadDocument(t))
	cfg.Cores, cfg.MaxBody, cfg.Seed = 2, 100, 1
	if change != nil {
		change(&cfg)
	}
	s := &service{Mux: chi.NewRouter(), returned: make(chan struct{}, 16), release: make(chan struct{})}
	var err error
	if s.server, err = admission.New(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.server.Close)
	s.Use(s.server.Wrap)
	s.Get("/kampanjer/{kampanj}", func(w http.ResponseWriter, r *http.Request) {
		switch chi.URLParam(r, "kampanj") {
		case "panik":
			panic("panik")
		case "halv": // writes a part of the body, then aborts
			_, _ = fmt.Fprint(w, "halva sidan")
			panic(http.ErrAbortHandler)
		case "fel":
			http.Error(w, "eget fel", http.StatusInternalServerError)
		case "evig":
			<-r.Context().Done()
			s.returned <- struct{}{}
		case "dov": // ignores its context
			<-s.release
			s.returned <- struct{}{}
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

// do serves a request with an idempotency key, if key is not empty, and returns the response.
func (s *service) do(ctx context.Context, method, path, key, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("X-Gava", key)
	}
	s.ServeHTTP(w, r)
	return w
}

// checkResponse checks the status of a response and that its body contains a text.
func checkResponse(t *testing.T, w *httptest.ResponseRecorder, status int, body string) {
	t.Helper()
	if w.Code != status || !strings.Contains(w.Body.String(), body) {
		t.Errorf("response = %d %q, want %d with a body that contains %q", w.Code, w.Body, status, body)
	}
}

// runTest runs a test of a new service in a synctest bubble, on a fake clock.
func runTest(t *testing.T, change func(*admission.Config), test func(t *testing.T, s *service)) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t, change)
		test(t, s)
		close(s.release)
		s.server.Close()
		time.Sleep(time.Minute) // until the handlers that still run have returned
	})
}

func TestWrap_RespondsByRouteAndHandlerResult(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		w := s.do(ctx, "GET", "/kampanjer/jul", "", "")
		checkResponse(t, w, http.StatusAccepted, "hej")
		if got := w.Header().Get("X-Kampanj"); got != "jul" {
			t.Errorf("header X-Kampanj = %q, want jul", got)
		}
		checkResponse(t, s.do(ctx, "GET", "/om", "", ""), http.StatusOK, "om oss")
		checkResponse(t, s.do(ctx, "GET", "/kampanjer/fel", "", ""), http.StatusInternalServerError, "eget fel")
		checkResponse(t, s.do(ctx, "GET", "/kampanjer/panik", "", ""), http.StatusBadGateway, "")
		checkResponse(t, s.do(ctx, "POST", "/gavor", "", "10 kr"), http.StatusBadRequest, "key")
		checkResponse(t, s.do(ctx, "POST", "/gavor", "k", strings.Repeat("x", 101)), http.StatusRequestEntityTooLarge, "")
		if n := s.runs.Load(); n != 0 {
			t.Errorf("%d runs of rejected requests, want 0", n)
		}
		got, wanted := s.server.Stats(), admission.Stats{Served: 1, Failed: 2, Rejected: 2, Passed: 1, Runs: 3, Panics: 1}
		if got != wanted {
			t.Errorf("Stats() = %+v, want %+v", got, wanted)
		}
	})
}

// TestWrap_DiscardsPartialBodyOfFailedHandler checks that the caller of a handler which fails
// after it wrote a part of its body gets the failure and no part of the body.
func TestWrap_DiscardsPartialBodyOfFailedHandler(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		w := s.do(t.Context(), "GET", "/kampanjer/halv", "", "")
		checkResponse(t, w, http.StatusBadGateway, "")
		if strings.Contains(w.Body.String(), "halva") {
			t.Errorf("body = %q, want no part of the handler's body", w.Body)
		}
	})
}

// TestWrap_KeyRunsOncePerWindow repeats a key during its run, after the run and after the
// key's window, and once with another body.
func TestWrap_KeyRunsOncePerWindow(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		done := make(chan *httptest.ResponseRecorder, 2)
		for range 2 {
			go func() { done <- s.do(ctx, "POST", "/gavor", "k", "10 kr") }()
		}
		checkResponse(t, <-done, http.StatusOK, "tack för 10 kr")
		checkResponse(t, <-done, http.StatusOK, "tack för 10 kr")
		checkResponse(t, s.do(ctx, "POST", "/gavor", "k", "20 kr"), http.StatusUnprocessableEntity, "")
		time.Sleep(20 * time.Second)
		checkResponse(t, s.do(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusOK, "tack för 10 kr")
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%d runs within the window, want 1", n)
		}
		time.Sleep(2 * time.Second)
		checkResponse(t, s.do(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusOK, "tack för 10 kr")
		if n := s.runs.Load(); n != 2 {
			t.Errorf("%d runs after the window, want 2", n)
		}
	})
}

// TestWrap_CallerDisconnectCancelsHandler cancels the context of a request: the request gets no
// response, and the handler's context is cancelled.
func TestWrap_CallerDisconnectCancelsHandler(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		s.do(ctx, "GET", "/kampanjer/evig", "", "")
		<-s.returned
		if got := s.server.Stats(); got.Gone != 1 || got.Served+got.Failed+got.TimedOut != 0 {
			t.Errorf("Stats() = %+v, want Gone 1 and no response", got)
		}
	})
}

// TestClose_FailsStartedRequests checks that Close does not shed a request whose handler may
// have run.
func TestClose_FailsStartedRequests(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		time.AfterFunc(5*time.Millisecond, s.server.Close)
		checkResponse(t, s.do(t.Context(), "POST", "/gavor", "k", "10 kr"), http.StatusBadGateway, "")
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%d runs, want 1", n)
		}
	})
}

// TestWrap_DeadlineCancelsHandler checks that the caller of a handler which blocks is answered
// at most deadlineSlack after the deadline, and that the handler's context is cancelled.
func TestWrap_DeadlineCancelsHandler(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		startedAt := time.Now()
		w := s.do(t.Context(), "GET", "/kampanjer/evig", "", "")
		checkResponse(t, w, http.StatusGatewayTimeout, "")
		if took := time.Since(startedAt); took > 9260*time.Millisecond {
			t.Errorf("answered after %v, want at most 9.26 s", took)
		}
		<-s.returned
	})
}

// TestWrap_StuckHandlerCountsUntilItReturns runs a handler that ignores its context. Its caller
// is answered at the deadline (shed, because the class is idempotent), and the handler counts
// as running and stuck until it returns.
func TestWrap_StuckHandlerCountsUntilItReturns(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		startedAt := time.Now()
		w := s.do(t.Context(), "GET", "/kampanjer/dov", "", "")
		checkResponse(t, w, http.StatusServiceUnavailable, "")
		if w.Header().Get("Retry-After") == "" {
			t.Error("Retry-After is missing")
		}
		if took := time.Since(startedAt); took > 9260*time.Millisecond {
			t.Errorf("answered after %v, want at most 9.26 s", took)
		}
		synctest.Wait()
		if got := s.server.Stats(); got.Running != 1 || got.Stuck != 1 {
			t.Errorf("while the handler blocks: Running = %d, Stuck = %d, want 1 and 1", got.Running, got.Stuck)
		}
		s.release <- struct{}{}
		<-s.returned
		synctest.Wait()
		if got := s.server.Stats(); got.Running != 0 || got.Stuck != 0 || got.Refused != 1 {
			t.Errorf("after the handler returned: Stats() = %+v, want Running 0, Stuck 0, Refused 1", got)
		}
	})
}

func TestDrain_ShedsArrivalsAfterGrace(t *testing.T) {
	runTest(t, nil, func(t *testing.T, s *service) {
		ctx := t.Context()
		health := func() int {
			w := httptest.NewRecorder()
			s.server.Health(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/health", nil))
			return w.Code
		}
		if got := health(); got != http.StatusOK {
			t.Errorf("health status before the drain = %d, want 200", got)
		}
		s.server.Drain(time.Now().Add(10 * time.Second))
		if got := health(); got != http.StatusServiceUnavailable {
			t.Errorf("health status during the drain = %d, want 503", got)
		}
		w := s.do(ctx, "GET", "/kampanjer/jul", "", "")
		checkResponse(t, w, http.StatusAccepted, "hej")
		if got := w.Header().Get("Connection"); got != "close" {
			t.Errorf("header Connection during the drain = %q, want close", got)
		}
		time.Sleep(2100 * time.Millisecond)
		w = s.do(ctx, "POST", "/gavor", "k", "10 kr")
		checkResponse(t, w, http.StatusServiceUnavailable, "")
		if w.Header().Get("Retry-After") == "" || s.runs.Load() != 0 {
			t.Errorf("Retry-After = %q, %d runs; want a value and no run", w.Header().Get("Retry-After"), s.runs.Load())
		}
		s.server.Close()
		checkResponse(t, s.do(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusServiceUnavailable, "")
	})
}

func TestNew_ReportsInvalidConfig(t *testing.T) {
	for want, change := range map[string]func(*admission.Config){
		"classes: none are defined": func(c *admission.Config) { c.Classes = nil },
		`classes[1] "kampanjsida"`:  func(c *admission.Config) { c.Classes[1].Name = "kampanjsida" },
		`classes[0] "kampanjsida": latency objective`: func(c *admission.Config) {
			c.Classes[0].Deadline = c.Classes[0].LatencyObjective / 2
		},
		`classes[1] "ny-gava": key window 0s of a keyed class`: func(c *admission.Config) { c.Classes[1].KeyWindow = 0 },
		`routes[0] `: func(c *admission.Config) { c.Routes[0].Class = "sida" },
		"memory -1":  func(c *admission.Config) { c.Memory = -1 },
	} {
		c := admission.FromDocument(loadDocument(t))
		c.Classes = append([]describe.Class(nil), c.Classes...)
		c.Routes = append(describe.Routes(nil), c.Routes...)
		change(&c)
		if _, err := admission.New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New() = %v, want an error that contains %q", err, want)
		}
	}
}

// TestRules_ClassifyRequestsWithoutRoute classifies requests that match no route by rules: a
// gift with its key in the body runs once, and a new rule set applies to later requests.
func TestRules_ClassifyRequestsWithoutRoute(t *testing.T) {
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
	runTest(t, func(c *admission.Config) { c.Rules = &rules }, func(t *testing.T, s *service) {
		ctx := t.Context()
		for range 2 {
			checkResponse(t, s.do(ctx, "GET", "/om", "", `{"gava": "g1"}`), http.StatusOK, "om oss")
		}
		checkResponse(t, s.do(ctx, "GET", "/om", "", `{"annat": 1}`), http.StatusOK, "om oss")
		if got := s.server.Stats(); got.Runs != 1 || got.Served != 2 || got.Passed != 1 {
			t.Errorf("Stats() = %+v, want Runs 1, Served 2, Passed 1", got)
		}
		rules.Replace(set("kampanjsida"))
		checkResponse(t, s.do(ctx, "GET", "/om", "", `{"gava": "g1"}`), http.StatusOK, "om oss")
		if got := s.server.Stats(); got.Runs != 2 {
			t.Errorf("Stats() = %+v, want Runs 2: the class of the new rules is idempotent", got)
		}
	})
}
