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

// These tests play the framework's own timeouts, which fire before the
// module's, over loopback and on the real clock: net/http's deadlines do not
// follow a synctest bubble.

// quick is a configuration whose classes give up after a few seconds.
func quick() admission.Config {
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

// serve gives a loopback server whose handler is h behind the middleware, and
// its address.
func serve(t *testing.T, configure func(*http.Server), wrap func(http.Handler) http.Handler,
	h http.Handler,
) (*admission.Server, string) {
	t.Helper()
	a, err := admission.New(quick())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	ts := httptest.NewUnstartedServer(wrap(a.Wrap(h)))
	configure(ts.Config)
	ts.Start()
	t.Cleanup(ts.Close)
	return a, ts.URL
}

func same(h http.Handler) http.Handler { return h }

// post sends a request with the key "k", and gives the answer's status and body.
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

// TestWriteTimeout has the server's WriteTimeout end before the class's
// deadline, and the handler hang: the caller still gets a whole answer, in
// time for it to be written, and the handler's context ends.
func TestWriteTimeout(t *testing.T) {
	stopped := make(chan struct{}, 1)
	hang := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		stopped <- struct{}{}
	})
	_, url := serve(t, func(s *http.Server) { s.WriteTimeout = 800 * time.Millisecond }, same, hang)
	status, _, err := post(t.Context(), url+"/sida", "x")
	if err != nil {
		t.Fatalf("no whole answer: %v", err)
	}
	if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 503 or 504", status)
	}
	<-stopped
}

// TestTimeoutHandler has http.TimeoutHandler before the middleware fire first:
// its request's context ends, which counts as a caller that left. A safe run
// is stopped; a keyed one goes on, and its repeat gets its result.
func TestTimeoutHandler(t *testing.T) {
	stopped, release := make(chan string, 2), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/gava" {
			<-release
			_, _ = io.WriteString(w, "tack för "+string(body))
			return
		}
		<-r.Context().Done()
		stopped <- r.URL.Path
	})
	early := func(h http.Handler) http.Handler { return http.TimeoutHandler(h, 200*time.Millisecond, "for sent") }
	a, url := serve(t, func(*http.Server) {}, early, h)
	ask := func(path string) (int, string) {
		status, text, err := post(t.Context(), url+path, "10 kr")
		if err != nil {
			t.Fatal(err)
		}
		return status, text
	}
	if status, _ := ask("/sida"); status != http.StatusServiceUnavailable {
		t.Errorf("the timeout handler's status: %d", status)
	}
	if got := <-stopped; got != "/sida" {
		t.Errorf("stopped %s", got)
	}
	if status, _ := ask("/gava"); status != http.StatusServiceUnavailable {
		t.Errorf("the timeout handler's status: %d", status)
	}
	close(release)
	// The repeat joins the run that went on, or gets its kept result.
	if status, text := ask("/gava"); status != http.StatusOK || text != "tack för 10 kr" {
		t.Errorf("the repeat: %d %q", status, text)
	}
	if got := a.Stats(); got.Runs != 2 || got.Gone != 2 || got.Served != 1 {
		t.Errorf("stats %+v, want 2 runs, 2 gone, 1 served", got)
	}
}

// TestClientCancels has the client give up through its context: no answer is
// owed and the handler's context ends.
func TestClientCancels(t *testing.T) {
	stopped := make(chan struct{}, 1)
	begun := make(chan struct{}, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		stopped <- struct{}{}
	})
	a, url := serve(t, func(*http.Server) {}, same, h)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-begun; cancel() }()
	if _, _, err := post(ctx, url+"/sida", "x"); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	<-stopped
	if got := a.Stats(); got.Gone != 1 {
		t.Errorf("stats %+v, want one gone", got)
	}
}

// TestBusyHandler has a handler take the only core and never wait: the module's
// timers still come, its caller is answered by its due time, and the handler
// counts as stuck until it lets go.
func TestBusyHandler(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var release atomic.Bool
	begun := make(chan struct{}, 1)
	spin := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		for !release.Load() {
		}
	})
	a, url := serve(t, func(*http.Server) {}, same, spin)
	began := time.Now()
	status, _, err := post(t.Context(), url+"/sida", "x")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); status != http.StatusServiceUnavailable || took > 3*time.Second+time.Second {
		t.Errorf("status %d after %v, want 503 within the deadline of 3 s", status, took)
	}
	<-begun
	for a.Stats().Stuck != 1 { // it is told to stop in the batch that answered it
		runtime.Gosched()
	}
	release.Store(true)
	for a.Stats().Running != 0 {
		runtime.Gosched()
	}
	if got := a.Stats(); got.Stuck != 0 || got.Refused != 1 {
		t.Errorf("stats %+v once it let go", got)
	}
}
