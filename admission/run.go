package admission

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/routing"
)

// stuckAfter is how long a handler may take to return once it was told to
// stop before that is logged.
const stuckAfter = time.Second

// The states of a run.
const (
	working  int32 = iota
	halted         // told to stop, and not returned yet: stuck
	returned       // its handler has returned
)

// run is the backend of one request: the handler behind the middleware, in a
// goroutine of its own.
type run struct {
	s       *Server
	next    http.Handler
	request *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
	state   atomic.Int32
	halted  atomic.Int64 // when it was told to stop, in Unix nanoseconds
}

func (s *Server) newRun(next http.Handler, r *http.Request) *run {
	// The module says when a run is stopped, not the caller's connection: a keyed
	// run goes on after its caller left, so that a repeat gets its result.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	return &run{s: s, next: next, request: r, ctx: ctx, cancel: cancel}
}

// Begin implements routing.Backend.
func (b *run) Begin(r routing.Run) {
	b.s.stats.runs.Add(1)
	b.s.stats.running.Add(1)
	go b.serve(r)
}

func (b *run) serve(r routing.Run) {
	defer b.cancel()
	ctx, cancel := context.WithDeadline(b.ctx, r.Due)
	defer cancel()
	began := time.Now()
	w := &recorder{header: make(http.Header)}
	req := b.request.Clone(ctx)
	req.Body = io.NopCloser(bytes.NewReader(r.Payload.Body))
	req.ContentLength = int64(len(r.Payload.Body))
	panicked := w.serve(b.next, req)
	b.s.stats.running.Add(-1)
	if b.state.Swap(returned) == halted {
		b.s.stats.stuck.Add(-1)
		if late := time.Since(time.Unix(0, b.halted.Load())); late > stuckAfter {
			b.s.cfg.Logger.Warn("handler returned long after it was told to stop", "class", r.Class, "id", r.ID,
				"late", late.Round(time.Millisecond))
		}
	}
	if panicked != nil {
		b.s.stats.panics.Add(1)
		if panicked != http.ErrAbortHandler {
			b.s.cfg.Logger.Error("handler panicked", "class", r.Class, "id", r.ID, "panic", fmt.Sprint(panicked))
		}
	}
	end := routing.Good
	switch {
	case b.ctx.Err() != nil:
		end = routing.Cut
	case panicked != nil || ctx.Err() != nil: // what a handler says whose time ran out is no result
		b.s.core.Completed(r.ID, routing.Bad, time.Since(began), routing.Payload{})
		return
	case w.status >= http.StatusInternalServerError:
		end = routing.Bad
	}
	b.s.core.Completed(r.ID, end, time.Since(began), w.result())
}

// Interrupt implements routing.Backend: the handler's context ends. Until it
// returns, it counts as stuck.
func (b *run) Interrupt(string) {
	b.halted.CompareAndSwap(0, time.Now().UnixNano()) // before the state, which the handler's return reads
	if b.state.CompareAndSwap(working, halted) {
		b.s.stats.stuck.Add(1)
	}
	b.cancel()
}

// Answer implements routing.Backend: handlers make their calls themselves.
func (b *run) Answer(string, []byte) {}

// Without implements routing.Backend: handlers make their calls themselves.
func (b *run) Without(string, uint64) {}

// recorder is the http.ResponseWriter that a handler writes to. Nothing of it
// reaches the caller before the handler has returned.
type recorder struct {
	header http.Header
	sent   http.Header // as it was when the status was written
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status, w.sent = status, w.header.Clone()
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// serve runs the handler, and gives what it panicked with. A panic must not end
// the process, as it does not under net/http.
func (w *recorder) serve(next http.Handler, r *http.Request) (panicked any) {
	defer func() { panicked = recover() }()
	next.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return nil
}

func (w *recorder) result() routing.Payload {
	names := make([]string, 0, len(w.sent))
	for name := range w.sent {
		names = append(names, name)
	}
	slices.Sort(names)
	var headers []routing.Field
	for _, name := range names {
		for _, value := range w.sent[name] {
			headers = append(headers, routing.Field{Name: name, Value: value})
		}
	}
	return httpresult.Encode(w.status, headers, w.body.Bytes())
}
