package admission_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quincerail.example/quincerail/admission"
	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
)

// These tests use timeouts of net/http that fire before those of the decision module. They run
// over loopback and on the real clock, because net/http's deadlines don't use the fake clock of
// a synctest bubble.

// testConfig returns a configuration whose classes have a deadline of 3 s.
func testConfig() admission.Config {
	return admission.Config{
		Classes: []describe.Class{
			{Name: "sida", Class: decision.Class{LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 1}},
			{Name: "gava", Class: decision.Class{
				LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 3,
				Idempotency: decision.Keyed, KeyWindow: 20 * time.Second,
			}},
		},
		Routes: describe.Routes{{Path: "/sida", Class: "sida"}, {Path: "/gava", Class: "gava"}},
		Cores:  2, Seed: 1,
	}
}

// startServer starts a loopback server with h behind the middleware, and the result of wrap in
// front of both. It returns the server's URL.
func startServer(t *testing.T, configure func(*http.Server), wrap func(http.Handler) http.Handler,
	h http.Handler,
) (*admission.Server, string) {
	t.Helper()
	server, err := admission.New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	ts := httptest.NewUnstartedServer(wrap(server.Wrap(h)))
	configure(ts.Config)
	ts.Start()
	t.Cleanup(ts.Close)
	return server, ts.URL
}

// unwrapped is a wrap argument of startServer that adds nothing.
func unwrapped(h http.Handler) http.Handler { return h }

// post sends a request with the key "k" and returns the status and body of the response.
func post(ctx context.Context, url, body string) (status int, text string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	read, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(read), errors.Join(err, resp.Body.Close())
}

// TestWriteTimeout_AnswersBeforeTimeout runs a handler that blocks, with a WriteTimeout that is
// shorter than the class's deadline. The caller still gets a complete response, and the
// handler's context is cancelled.
func TestWriteTimeout_AnswersBeforeTimeout(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	hang := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	_, url := startServer(t, func(s *http.Server) { s.WriteTimeout = 800 * time.Millisecond }, unwrapped, hang)
	status, _, err := post(t.Context(), url+"/sida", "x")
	if err != nil {
		t.Fatalf("no complete response: %v", err)
	}
	if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
		t.Errorf("status of a request that reaches the WriteTimeout = %d, want 503 or 504", status)
	}
	<-cancelled
}

// TestTimeoutHandler_KeyedRunContinues puts an http.TimeoutHandler with a short timeout in front
// of the middleware. It cancels the request's context, which counts as a disconnected caller.
// An idempotent run is cancelled. A keyed run continues, and a retry gets its result.
func TestTimeoutHandler_KeyedRunContinues(t *testing.T) {
	cancelled, release := make(chan string, 2), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/gava" {
			<-release
			_, _ = io.WriteString(w, "tack för "+string(body))
			return
		}
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	shortTimeout := func(h http.Handler) http.Handler { return http.TimeoutHandler(h, 200*time.Millisecond, "for sent") }
	server, url := startServer(t, func(*http.Server) {}, shortTimeout, h)
	postTo := func(path string) (int, string) {
		status, text, err := post(t.Context(), url+path, "10 kr")
		if err != nil {
			t.Fatal(err)
		}
		return status, text
	}
	if status, _ := postTo("/sida"); status != http.StatusServiceUnavailable {
		t.Errorf("status of the TimeoutHandler = %d, want 503", status)
	}
	if got := <-cancelled; got != "/sida" {
		t.Errorf("cancelled handler = %s, want /sida", got)
	}
	if status, _ := postTo("/gava"); status != http.StatusServiceUnavailable {
		t.Errorf("status of the TimeoutHandler = %d, want 503", status)
	}
	close(release)
	// The retry waits for the run that continues, or gets its cached result.
	if status, text := postTo("/gava"); status != http.StatusOK || text != "tack för 10 kr" {
		t.Errorf("response to the retry = %d %q, want 200 and the result of the run", status, text)
	}
	if got := server.Stats(); got.Runs != 2 || got.Gone != 2 || got.Served != 1 {
		t.Errorf("Stats() = %+v, want Runs 2, Gone 2, Served 1", got)
	}
}

// TestClientDisconnect_CancelsHandler cancels the client's context: the request counts as gone,
// and the handler's context is cancelled.
func TestClientDisconnect_CancelsHandler(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	started := make(chan struct{}, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	server, url := startServer(t, func(*http.Server) {}, unwrapped, h)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	if _, _, err := post(ctx, url+"/sida", "x"); !errors.Is(err, context.Canceled) {
		t.Errorf("post with a cancelled context: error = %v, want context.Canceled", err)
	}
	<-cancelled
	if got := server.Stats(); got.Gone != 1 {
		t.Errorf("Stats() = %+v, want Gone 1", got)
	}
}

// TestBusyHandler_IsAnsweredByDeadline runs a handler that uses the only core and never blocks.
// The core's timers still fire, the caller is answered by the deadline, and the handler counts
// as stuck until it returns.
func TestBusyHandler_IsAnsweredByDeadline(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var release atomic.Bool
	started := make(chan struct{}, 1)
	spin := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		for !release.Load() {
		}
	})
	server, url := startServer(t, func(*http.Server) {}, unwrapped, spin)
	startedAt := time.Now()
	status, _, err := post(t.Context(), url+"/sida", "x")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(startedAt); status != http.StatusServiceUnavailable || took > 3*time.Second+time.Second {
		t.Errorf("status = %d after %v, want 503 within 1 s of the deadline of 3 s", status, took)
	}
	<-started
	for server.Stats().Stuck != 1 { // the core cancels the run in the batch that answers the request
		runtime.Gosched()
	}
	release.Store(true)
	for server.Stats().Running != 0 {
		runtime.Gosched()
	}
	if got := server.Stats(); got.Stuck != 0 || got.Refused != 1 {
		t.Errorf("after the handler returned: Stats() = %+v, want Stuck 0, Refused 1", got)
	}
}
