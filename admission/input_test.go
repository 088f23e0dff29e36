package admission_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"quincerail.example/quincerail/admission"
)

// TestInput_BodiesAreBounded guards against a service that is killed for its memory: clients state
// large bodies and send half of them. Those with the oldest incomplete bodies get a 503 with
// Retry-After when the memory for bodies is used up, and the requests of others are served.
func TestInput_BodiesAreBounded(t *testing.T) {
	const (
		bodyBytes = 16 << 10
		fitting   = 4 // bodies that the memory has room for
		clients   = 3 * fitting
	)
	cfg := testConfig()
	cfg.Memory, cfg.MaxBody = fitting*bodyBytes*8, bodyBytes // an eighth is for bodies
	server, err := admission.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ts := httptest.NewServer(server.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})))
	defer ts.Close()
	type answer struct {
		status     int
		retryAfter string
	}
	answers := make(chan answer, clients)
	for range clients {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ts.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "POST /sida HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes/2)); err != nil {
			t.Fatal(err)
		}
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // the test has ended
			}
			answers <- answer{response.StatusCode, response.Header.Get("Retry-After")}
			_ = response.Body.Close()
		}()
	}
	for range clients - fitting {
		if got := <-answers; got.status != http.StatusServiceUnavailable || got.retryAfter == "" {
			t.Errorf("answer to a client with half a body = %+v, want 503 with Retry-After", got)
		}
	}
	for range 2 * fitting {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		body := strings.Repeat("y", bodyBytes)
		status, text, err := post(ctx, ts.URL+"/sida", body)
		cancel()
		if err != nil || status != http.StatusOK || text != body {
			t.Errorf("a whole request got status %d and %d bytes, error %v; want 200 and %d bytes", status, len(text), err, len(body))
		}
	}
	if got := server.Stats(); got.InputRejected < clients-fitting || got.InputRejected != got.Refused {
		t.Errorf("InputRejected = %d, Refused = %d, want the same and %d at least", got.InputRejected, got.Refused, clients-fitting)
	}
}
