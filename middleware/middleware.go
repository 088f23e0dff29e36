// Package middleware puts the core before the handlers of a Go web service: a
// func(http.Handler) http.Handler, as chi and others take them. What the
// service's description gives a class is admitted, run once per key, answered
// in time or turned away by the same decisions as in the daemon; all else
// passes through untouched.
//
// Requests and responses of classed routes are held in memory, because a
// response may have to be given again, or not at all.
package middleware

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"runtime"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/describe"
	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/routing"
)

// The figures that a service's description does not give, as the platform has them.
const (
	answerSlack  = 60 * time.Millisecond
	drainGrace   = 2 * time.Second
	maxAdvice    = time.Second
	fallMultiple = 8
	fallSpan     = 1500 * time.Millisecond
	batchGap     = 4 * time.Millisecond
	baseKB       = 16 // of memory that a request is taken to need beside its body
	keysShare    = 8  // one part in so many of the memory is for kept results
)

// Options are what a middleware is made of.
type Options struct {
	Document *describe.Document // classes and routes; required
	Cores    int                // that the handlers share; 0 for all
	MemoryMB int                // that requests may take; 0 for 64
	MaxBody  int64              // of a request; 0 for 64 KiB
}

// Middleware admits requests before handlers.
type Middleware struct {
	opt  Options
	core *routing.Core
	stop context.CancelFunc
}

// New makes a middleware and sets it to work. Close ends it.
func New(opt Options) (*Middleware, error) {
	if opt.Document == nil || len(opt.Document.Classes) == 0 {
		return nil, errors.New("middleware: a document with classes is needed")
	}
	if opt.Cores == 0 {
		opt.Cores = runtime.GOMAXPROCS(0)
	}
	if opt.MemoryMB == 0 {
		opt.MemoryMB = 64
	}
	if opt.MaxBody == 0 {
		opt.MaxBody = 64 << 10
	}
	settings := decision.Settings{Cores: opt.Cores, Servers: 1, Callers: 1, MemoryKB: float64(opt.MemoryMB) * 1024,
		KeyKB: 1, RunFactor: 1, Stop: decision.StopDrop, MaxAdvice: maxAdvice, AnswerSlack: answerSlack,
		DrainGrace: drainGrace, FallMultiple: fallMultiple, FallSpan: fallSpan, ColdFrom: 1, BatchGap: batchGap}
	var names []string
	for _, c := range opt.Document.Classes {
		settings.Classes = append(settings.Classes, c.Class)
		names = append(names, c.Name)
	}
	core, err := routing.New(routing.Options{Settings: settings, Classes: names, Seed: time.Now().UnixNano(),
		KeyBytes: opt.MemoryMB << 20 / keysShare})
	if err != nil {
		return nil, fmt.Errorf("middleware: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go core.Run(ctx)
	core.Started(false, 0)
	return &Middleware{opt, core, stop}, nil
}

// Drain takes in that the process ends at a time: what comes over two seconds
// later is turned away, and all is answered before. Call it ahead of
// http.Server.Shutdown.
func (m *Middleware) Drain(stopAt time.Time) { m.core.Drain(stopAt) }

// Close ends the middleware. Requests that come after it are turned away.
func (m *Middleware) Close() {
	m.stop()
	<-m.core.Done()
}

// Health answers health checks: 200 while work is wanted, else 503.
func (m *Middleware) Health(w http.ResponseWriter, _ *http.Request) {
	good := make(chan bool, 1)
	if m.core.Check(false, func(fit bool) { good <- fit }) != nil || !<-good {
		refuse(w, 0)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Wrap is the middleware.
func (m *Middleware) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		route, ok := m.opt.Document.Routes.Match(r.Method, r.URL.Path)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, m.opt.MaxBody))
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
			return
		} else if err != nil {
			http.Error(w, http.StatusText(http.StatusBadRequest), http.StatusBadRequest)
			return
		}
		answer := make(sink, 1)
		id := routing.NewID()
		err = m.core.Submit(routing.Request{ID: id, Class: route.Class, Key: r.Header.Get(route.KeyHeader),
			Door: time.Now(), HeldKB: baseKB + float64(len(body))/1024, Payload: routing.Payload{Body: body},
			Backend: newRun(m.core, next, r), Sink: answer})
		if errors.Is(err, routing.ErrStopped) {
			refuse(w, maxAdvice)
			return
		} else if err != nil { // a keyed class without its key
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		select {
		case o := <-answer:
			respond(w, o)
		case <-r.Context().Done():
			m.core.Lost(id, answer)
		case <-m.core.Done():
			select {
			case o := <-answer: // it came just before the end
				respond(w, o)
			default: // it may have run, so it is not turned away
				respond(w, routing.Outcome{Kind: routing.Failed})
			}
		}
	})
}

// sink takes the answer to the goroutine that serves the request.
type sink chan routing.Outcome

// Answer implements routing.Sink. There is one answer, and room for it.
func (s sink) Answer(_ string, o routing.Outcome) { s <- o }

func respond(w http.ResponseWriter, o routing.Outcome) {
	if o.Kind == routing.Refused {
		refuse(w, o.Later)
		return
	}
	if o.Kind != routing.Served && len(o.Result.Fields) == 0 { // the handler has said nothing
		status := httpresult.Status(o.Kind)
		http.Error(w, http.StatusText(status), status)
		return
	}
	status, headers, body := httpresult.Decode(o.Result)
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.WriteHeader(status)
	w.Write(body)
}

func refuse(w http.ResponseWriter, later time.Duration) {
	w.Header().Set("Retry-After", httpresult.RetryAfter(later))
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}

// run is the backend of one request: the handler behind the middleware.
type run struct {
	core    *routing.Core
	next    http.Handler
	request *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
}

func newRun(core *routing.Core, next http.Handler, r *http.Request) *run {
	// The module says when a run is stopped, not the caller's connection.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	return &run{core, next, r, ctx, cancel}
}

// Begin implements routing.Backend.
func (b *run) Begin(r routing.Run) {
	go func() {
		defer b.cancel()
		ctx, cancel := context.WithDeadline(b.ctx, r.Due)
		defer cancel()
		began := time.Now()
		w := &recorder{header: make(http.Header)}
		req := b.request.Clone(ctx)
		req.Body = io.NopCloser(newReader(r.Payload.Body))
		panicked := w.serve(b.next, req)
		end := routing.Good
		switch {
		case b.ctx.Err() != nil:
			end = routing.Cut
		case panicked || ctx.Err() != nil: // what a handler says whose time ran out is no result
			b.core.Completed(r.ID, routing.Bad, time.Since(began), routing.Payload{})
			return
		case w.status >= http.StatusInternalServerError:
			end = routing.Bad
		}
		b.core.Completed(r.ID, end, time.Since(began), w.result())
	}()
}

// Interrupt implements routing.Backend.
func (b *run) Interrupt(string) { b.cancel() }

// Answer implements routing.Backend: handlers make their calls themselves.
func (b *run) Answer(string, []byte) {}

// Without implements routing.Backend: handlers make their calls themselves.
func (b *run) Without(string, uint64) {}

func logPanic(p any) { log.Printf("event=handler_panic error=%q", fmt.Sprint(p)) }
