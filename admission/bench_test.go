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

// bench gives a chi router with one route of each class, behind the middleware
// or, with bare, without it.
func bench(b *testing.B, bare bool, h http.HandlerFunc) http.Handler {
	r := chi.NewRouter()
	if !bare {
		cfg := quick()
		cfg.Cores, cfg.Memory = 0, 1<<30 // all the cores; room for the keys of a second's worth of requests
		a, err := admission.New(cfg)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(a.Close)
		r.Use(a.Wrap)
	}
	r.Post("/sida", h)
	r.Post("/gava", h)
	r.Post("/om", h)
	return r
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

// loop serves one request after another, each with a key of its own.
func loop(b *testing.B, h http.Handler, path string) {
	r := httptest.NewRequestWithContext(b.Context(), http.MethodPost, path, http.NoBody)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		r.Header.Set("Idempotency-Key", strconv.Itoa(n))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatalf("status %d", w.Code)
		}
	}
}

// The cost of the middleware per request is the difference to Bare.
func BenchmarkBare(b *testing.B)        { loop(b, bench(b, true, ok), "/sida") }
func BenchmarkSafe(b *testing.B)        { loop(b, bench(b, false, ok), "/sida") }
func BenchmarkKeyed(b *testing.B)       { loop(b, bench(b, false, ok), "/gava") }
func BenchmarkPassThrough(b *testing.B) { loop(b, bench(b, false, ok), "/om") }

// BenchmarkOverload has twice as many callers as cores, each asking again as
// soon as it is answered, for work of 200 µs on a core: what is served per
// second, and what share is turned away.
func BenchmarkOverload(b *testing.B) {
	for _, bare := range []bool{true, false} {
		b.Run(map[bool]string{true: "bare", false: "admission"}[bare], func(b *testing.B) {
			work := func(w http.ResponseWriter, _ *http.Request) {
				for until := time.Now().Add(200 * time.Microsecond); time.Now().Before(until); {
				}
				_, _ = w.Write([]byte("ok"))
			}
			h := bench(b, bare, work)
			var served, refused atomic.Int64
			b.SetParallelism(2)
			began := time.Now()
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
			took := time.Since(began).Seconds()
			b.ReportMetric(float64(served.Load())/took, "served/s")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/op")
			b.ReportMetric(float64(runtime.GOMAXPROCS(0))/200e-6, "capacity/s")
		})
	}
}
