// Package gifts is the sample service of the admission library: a chi router
// whose every route does the service's own work behind the admission
// middleware, with health at /-/healthy. The routes and their classes come
// from the configuration, as an OpenAPI document gives them; the command in
// the folder above serves it on a port, and the daemon's test suite runs
// against it unchanged.
package gifts

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/admission"
	"quincerail.example/quincerail/admission/chiroutes"
)

// Work is what the service does for a request of a class: its result, or an
// error for a failure. It should end when ctx does.
type Work func(ctx context.Context, class string, body []byte) ([]byte, error)

// HealthPath is where health checks are answered.
const HealthPath = "/-/healthy"

// Service is the sample service. It is an http.Handler.
type Service struct {
	admission *admission.Server
	router    *chi.Mux
}

// New makes the service of a configuration's routes. The error is the
// configuration's.
func New(cfg admission.Config, work Work) (*Service, error) {
	a, err := admission.New(cfg)
	if err != nil {
		return nil, err
	}
	r := chi.NewRouter()
	r.Use(a.Wrap)
	r.Get(HealthPath, a.Health)
	for _, route := range cfg.Routes {
		h := handler(route.Class, work)
		if route.Method == "" {
			r.Handle(route.Path, h)
		} else {
			r.Method(route.Method, route.Path, h)
		}
	}
	if err := chiroutes.Verify(cfg.Routes, r); err != nil { // as a hand-made router would be checked
		a.Close()
		return nil, err
	}
	return &Service{admission: a, router: r}, nil
}

func handler(class string, work Work) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := work(r.Context(), class, body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprintf(w, "%s", result)
	}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Stats gives the admission counts so far.
func (s *Service) Stats() admission.Stats { return s.admission.Stats() }

// Listener wraps l for hs.Serve; see admission.Server.Listener.
func (s *Service) Listener(l net.Listener) net.Listener { return s.admission.Listener(l) }

// Shutdown drains the service and shuts hs down; see admission.Server.Shutdown.
func (s *Service) Shutdown(ctx context.Context, hs *http.Server) error {
	return s.admission.Shutdown(ctx, hs)
}

// Close ends the service at once.
func (s *Service) Close() { s.admission.Close() }
