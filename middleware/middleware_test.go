package middleware_test

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

	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/middleware"
)

// service is a chi router with the middleware, called without a network.
type service struct {
	*chi.Mux
	m       *middleware.Middleware
	runs    atomic.Int32
	stopped chan struct{}
}

func newService(t *testing.T) *service {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "describe", "testdata", "openapi.json"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := describe.Load(text)
	if err != nil {
		t.Fatal(err)
	}
	s := &service{Mux: chi.NewRouter(), stopped: make(chan struct{}, 1)}
	if s.m, err = middleware.New(middleware.Options{Document: doc, Cores: 2, MaxBody: 100}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.m.Close)
	s.Use(s.m.Wrap)
	s.Get("/kampanjer/{kampanj}", func(w http.ResponseWriter, r *http.Request) {
		switch chi.URLParam(r, "kampanj") {
		case "panik":
			panic("panik")
		case "fel":
			http.Error(w, "eget fel", http.StatusInternalServerError)
		case "evig":
			<-r.Context().Done()
			s.stopped <- struct{}{}
		default:
			w.Header().Set("X-Kampanj", chi.URLParam(r, "kampanj"))
			w.WriteHeader(http.StatusAccepted)
			fmt.Fprint(w, "hej")
		}
	})
	s.Post("/gavor", func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		body, _ := io.ReadAll(r.Body)
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "tack för %s", body)
	})
	s.Get("/om", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "om oss") })
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
func bubble(t *testing.T, play func(t *testing.T, s *service)) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(t)
		play(t, s)
		s.m.Close()
		time.Sleep(time.Minute) // for handlers that still work
	})
}

func TestServes(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
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
	})
}

// TestKeyRunsOnce has a key come again while its run lasts, after it, and after
// its window.
func TestKeyRunsOnce(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		done := make(chan *httptest.ResponseRecorder, 2)
		for range 2 {
			go func() { done <- s.ask(ctx, "POST", "/gavor", "k", "10 kr") }()
		}
		want(t, <-done, http.StatusOK, "tack för 10 kr")
		want(t, <-done, http.StatusOK, "tack för 10 kr")
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

func TestCallerGone(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		s.ask(ctx, "GET", "/kampanjer/evig", "", "")
		<-s.stopped
	})
}

// TestClosed sees that work which may have run is not turned away at the end.
func TestClosed(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
		time.AfterFunc(5*time.Millisecond, s.m.Close)
		want(t, s.ask(t.Context(), "POST", "/gavor", "k", "10 kr"), http.StatusBadGateway, "")
		if n := s.runs.Load(); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// TestDeadline sees that a handler which never ends does not hold its caller
// beyond the deadline, and is stopped.
func TestDeadline(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
		began := time.Now()
		w := s.ask(t.Context(), "GET", "/kampanjer/evig", "", "")
		want(t, w, http.StatusGatewayTimeout, "")
		if took := time.Since(began); took > 9260*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		<-s.stopped
	})
}

func TestDrain(t *testing.T) {
	bubble(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		health := func() int {
			w := httptest.NewRecorder()
			s.m.Health(w, httptest.NewRequest("GET", "/health", nil))
			return w.Code
		}
		if got := health(); got != http.StatusOK {
			t.Errorf("health %d", got)
		}
		s.m.Drain(time.Now().Add(10 * time.Second))
		if got := health(); got != http.StatusServiceUnavailable {
			t.Errorf("health %d in a drain", got)
		}
		want(t, s.ask(ctx, "GET", "/kampanjer/jul", "", ""), http.StatusAccepted, "hej")
		time.Sleep(2100 * time.Millisecond)
		w := s.ask(ctx, "POST", "/gavor", "k", "10 kr")
		want(t, w, http.StatusServiceUnavailable, "")
		if w.Header().Get("Retry-After") == "" || s.runs.Load() != 0 {
			t.Errorf("Retry-After %q, %d runs", w.Header().Get("Retry-After"), s.runs.Load())
		}
		s.m.Close()
		want(t, s.ask(ctx, "POST", "/gavor", "k", "10 kr"), http.StatusServiceUnavailable, "")
	})
}
