// Command web is the sample service of the admission library (package gifts)
// on a port: campaign pages and gifts, with the classes and routes of web.json,
// an OpenAPI document. SIGTERM drains it.
package main

import (
	"context"
	_ "embed"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"quincerail.example/quincerail/admission"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/example/web/gifts"
)

//go:embed web.json
var document []byte

const stopIn = 5 * time.Second

func main() {
	address := flag.String("listen", "127.0.0.1:8080", "address to serve on")
	flag.Parse()
	if err := run(*address); err != nil {
		slog.Error("failed", "error", err)
		os.Exit(1)
	}
}

// work makes pages and takes gifts.
func work(_ context.Context, class string, body []byte) ([]byte, error) {
	switch class {
	case "kampanjsida":
		return []byte("kampanj\n"), nil
	case "ny-gava":
		slog.Info("gift", "body", string(body))
		return fmt.Appendf(nil, "tack för %s\n", strings.TrimSpace(string(body))), nil
	}
	return nil, fmt.Errorf("class %q: no such work", class)
}

func run(address string) error {
	doc, err := describe.Parse(document)
	if err != nil {
		return fmt.Errorf("web.json: %w", err)
	}
	service, err := gifts.New(admission.FromDocument(doc), work)
	if err != nil {
		return err
	}
	server := &http.Server{Addr: address, Handler: service, ReadHeaderTimeout: stopIn, WriteTimeout: 10 * time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	slog.Info("listening", "address", address)
	select {
	case err := <-failed:
		service.Close()
		return err
	case <-ctx.Done():
	}
	ending, cancel := context.WithTimeout(context.Background(), stopIn)
	defer cancel()
	if err := service.Shutdown(ending, server); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	slog.Info("stopped", "stats", fmt.Sprintf("%+v", service.Stats()))
	return nil
}
