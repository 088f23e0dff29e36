package admission_test

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"quincerail.example/quincerail/admission"
)

// benchmarkHandler returns a chi router with a route of each class and one without a class,
// without the middleware if bare is true.
func benchmarkHandler(b *testing.B, bare bool, h http.HandlerFunc) http.Handler {
	r := chi.NewRouter()
	if !bare {
		cfg := testConfig()
		cfg.Cores, cfg.Memory = 0, 1<<30 // all cores; memory for the idempotency keys of one second's requests
		server, err := admission.New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(server.Close)
		r.Use(server.Wrap)
	}
	r.Post("/sida", h)
	r.Post("/gava", h)
	r.Post("/om", h)
	return r
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

// benchmarkRequests serves one request after another, each with a new key.
func benchmarkRequests(b *testing.B, h http.Handler, path string) {
	r := httptest.NewRequestWithContext(b.Context(), http.MethodPost, path, http.NoBody)
	key := 0
	b.ReportAllocs()
	for b.Loop() {
		key++
		r.Header.Set("Idempotency-Key", strconv.Itoa(key))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatalf("status = %d, want 200", w.Code)
		}
	}
}

// The cost of the middleware per request is the difference to BenchmarkBare, which runs without
// it.
func BenchmarkBare(b *testing.B) {
	benchmarkRequests(b, benchmarkHandler(b, true, respondOK), "/sida")
}

func BenchmarkIdempotent(b *testing.B) {
	benchmarkRequests(b, benchmarkHandler(b, false, respondOK), "/sida")
}

func BenchmarkKeyed(b *testing.B) {
	benchmarkRequests(b, benchmarkHandler(b, false, respondOK), "/gava")
}

func BenchmarkPassThrough(b *testing.B) {
	benchmarkRequests(b, benchmarkHandler(b, false, respondOK), "/om")
}

// BenchmarkOverload runs twice as many callers as cores. Each sends its next request as soon as
// the previous one is answered, and a request takes 200 µs of a core. The benchmark reports the
// rate of served requests and the fraction of refused ones.
func BenchmarkOverload(b *testing.B) {
	for _, bare := range []bool{true, false} {
		b.Run(map[bool]string{true: "bare", false: "admission"}[bare], func(b *testing.B) {
			work := func(w http.ResponseWriter, _ *http.Request) {
				for until := time.Now().Add(200 * time.Microsecond); time.Now().Before(until); {
				}
				_, _ = w.Write([]byte("ok"))
			}
			h := benchmarkHandler(b, bare, work)
			var served, refused atomic.Int64
			b.SetParallelism(2)
			startedAt := time.Now()
			b.RunParallel(func(pb *testing.PB) {
				r := httptest.NewRequestWithContext(b.Context(), http.MethodPost, "/sida", http.NoBody)
				for pb.Next() {
					w := httptest.NewRecorder()
					h.ServeHTTP(w, r)
					if w.Code == http.StatusOK {
						served.Add(1)
					} else {
						refused.Add(1)
					}
				}
			})
			took := time.Since(startedAt).Seconds()
			b.ReportMetric(float64(served.Load())/took, "served/s")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
			b.ReportMetric(float64(runtime.GOMAXPROCS(0))/200e-6, "capacity/s")
		})
	}
}
