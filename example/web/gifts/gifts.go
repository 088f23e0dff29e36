// Package gifts is the sample service of the admission library: a chi router with the
// admission middleware and a health check at /-/healthy. The routes and their classes come
// from an admission.Config, which may be read from an OpenAPI document. Command web in the
// parent folder serves it on a port. The daemon's test suite also runs against this service.
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

// Work does the work for a request of a class and returns the body of the response. An error
// is answered with status 500. Work should return when ctx is cancelled.
type Work func(ctx context.Context, class string, body []byte) ([]byte, error)

// HealthPath is the path of the health check.
const HealthPath = "/-/healthy"

// Service is the sample service. It is an http.Handler.
type Service struct {
	admission *admission.Server
	router    *chi.Mux
}

// New creates a service that calls work for requests on the routes of a configuration. It
// returns an error if the configuration is invalid, or if the router does not serve the
// routes.
func New(cfg admission.Config, work Work) (*Service, error) {
	server, err := admission.New(cfg)
	if err != nil {
		return nil, err
	}
	r := chi.NewRouter()
	r.Use(server.Wrap)
	r.Get(HealthPath, server.Health)
	for _, route := range cfg.Routes {
		h := handler(route.Class, work)
		if route.Method == "" {
			r.Handle(route.Path, h)
		} else {
			r.Method(route.Method, route.Path, h)
		}
	}
	if err := chiroutes.Verify(cfg.Routes, r); err != nil { // shows the check that a router with handwritten routes needs
		server.Close()
		return nil, err
	}
	return &Service{admission: server, router: r}, nil
}

// handler returns the handler of a route of a class.
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

// Stats returns the counters of the admission server.
func (s *Service) Stats() admission.Stats { return s.admission.Stats() }

// Listener wraps l for http.Server.Serve; see admission.Server.Listener.
func (s *Service) Listener(l net.Listener) net.Listener { return s.admission.Listener(l) }

// Shutdown drains the service and shuts hs down; see admission.Server.Shutdown.
func (s *Service) Shutdown(ctx context.Context, hs *http.Server) error {
	return s.admission.Shutdown(ctx, hs)
}

// Close stops the service without a drain; see admission.Server.Close.
func (s *Service) Close() { s.admission.Close() }
