// Command web is a small web service on chi with the middleware before its
// handlers. Its classes and routes stand in web.json, an OpenAPI document.
package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/middleware"
)

//go:embed web.json
var document []byte

const stopIn = 5 * time.Second

func main() {
	if err := run(); err != nil {
		log.Fatalf("event=failed error=%q", err)
	}
}

func run() error {
	doc, err := describe.Load(document)
	if err != nil {
		return fmt.Errorf("web.json: %w", err)
	}
	m, err := middleware.New(middleware.Options{Document: doc})
	if err != nil {
		return err
	}
	defer m.Close()

	r := chi.NewRouter()
	r.Use(m.Wrap)
	r.Get("/-/healthy", m.Health)
	r.Get("/kampanjer/{kampanj}", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "kampanj %s\n", chi.URLParam(r, "kampanj"))
	})
	r.Post("/gavor", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		log.Printf("event=gift body=%q", body)
		fmt.Fprintf(w, "tack för %s\n", body)
	})

	server := &http.Server{Addr: "127.0.0.1:8080", Handler: r, ReadHeaderTimeout: stopIn}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	log.Printf("event=listening address=%s", server.Addr)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	m.Drain(time.Now().Add(stopIn))
	ending, cancel := context.WithTimeout(context.Background(), stopIn)
	defer cancel()
	if err := server.Shutdown(ending); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
