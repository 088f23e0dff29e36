package admission

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/httpresult"
)

// lateReturnThreshold is the time after the cancellation of its context beyond which a
// handler's return is logged as late.
const lateReturnThreshold = time.Second

// The states of a run. A run changes from running to returned, by way of cancelled if it is
// cancelled in between. A cancelled run counts in Stats.Stuck until its handler returns.
const (
	running   int32 = iota // the handler runs
	cancelled              // the context was cancelled and the handler has not returned
	returned               // the handler has returned
)

// run is the dispatch.Backend of one request. It calls the handler behind the middleware on
// a separate goroutine.
type run struct {
	server      *Server
	next        http.Handler
	request     *http.Request
	cancel      context.CancelFunc
	state       atomic.Int32
	cancelledAt atomic.Int64 // in Unix nanoseconds
}

// newRun returns the backend that runs a request by calling next.
func (s *Server) newRun(next http.Handler, r *http.Request) *run {
	return &run{server: s, next: next, request: r}
}

// Start implements dispatch.Backend. The handler's context is cancelled by the decision module
// or at the deadline, but not by the end of the caller's connection: a keyed run continues
// after its caller has disconnected, so that a retry gets its result.
func (b *run) Start(r dispatch.Run) {
	b.server.stats.runs.Add(1)
	b.server.stats.running.Add(1)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(b.request.Context()), r.Deadline)
	b.cancel = cancel // before Cancel can be called, on the core's goroutine
	b.server.workers.start(job{b, ctx, r})
}

// workerIdle is how long a worker goroutine waits for another job before it exits.
const workerIdle = 10 * time.Second

// workers is a pool of goroutines that are reused for handlers. A reused goroutine has a stack
// that has already grown to the size the handlers need; a new goroutine starts with a small
// stack and copies it as it grows, for every request.
type workers struct {
	jobs chan job        // unbuffered: a send succeeds only if a worker is idle
	done <-chan struct{} // closed when the server is closed
}

// job is a run for a worker, with the handler's context and the core's description of the run.
type job struct {
	run  *run
	ctx  context.Context
	spec dispatch.Run
}

// start passes a job to an idle worker, or to a new one if there is none.
func (w *workers) start(j job) {
	select {
	case w.jobs <- j:
	default:
		go w.work(j)
	}
}

// work serves a job and then further jobs. It returns when there is none for workerIdle, or
// when the server is closed.
func (w *workers) work(j job) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		j.run.serve(j.ctx, j.spec)
		idle.Reset(workerIdle)
		select {
		case j = <-w.jobs:
		case <-idle.C:
			return
		case <-w.done:
			return
		}
	}
}

// serve calls the handler and reports the end of the run to the core.
func (b *run) serve(ctx context.Context, r dispatch.Run) {
	defer b.cancel()
	startedAt := time.Now()
	w := &recorder{header: make(http.Header)}
	panicked := w.serve(b.next, b.handlerRequest(ctx, r))
	b.server.stats.running.Add(-1)
	wasCancelled := b.handlerReturned(r)
	if panicked != nil {
		b.recordPanic(r, panicked)
	}
	end, result := w.outcome(wasCancelled, panicked != nil || ctx.Err() != nil)
	b.server.core.RunCompleted(r.ID, end, time.Since(startedAt), result)
}

// handlerRequest returns the request for the handler, with the body that the middleware has
// read.
func (b *run) handlerRequest(ctx context.Context, r dispatch.Run) *http.Request {
	request, body := b.request.Clone(ctx), r.Payload.Body
	request.Body, request.ContentLength = &bodyReader{bytes.NewReader(body)}, int64(len(body))
	return request
}

// handlerReturned records that the handler has returned, and reports whether its run had been
// cancelled before.
func (b *run) handlerReturned(r dispatch.Run) (wasCancelled bool) {
	if b.state.Swap(returned) != cancelled {
		return false
	}
	b.server.stats.stuck.Add(-1)
	if late := time.Since(time.Unix(0, b.cancelledAt.Load())); late > lateReturnThreshold {
		b.server.cfg.Logger.Warn("handler_returned_late", "class", r.Class, "request", r.ID,
			"after_cancel", late.Round(time.Millisecond))
	}
	return true
}

// recordPanic counts a handler's panic. It logs the panic unless the handler aborted its
// response on purpose with http.ErrAbortHandler.
func (b *run) recordPanic(r dispatch.Run, panicked any) {
	b.server.stats.panics.Add(1)
	if panicked == any(http.ErrAbortHandler) {
		return
	}
	b.server.cfg.Logger.Error("handler_panicked", "class", r.Class, "request", r.ID, "panic", fmt.Sprint(panicked))
}

// Cancel implements dispatch.Backend by cancelling the handler's context. Until the handler
// returns, the run counts in Stats.Stuck and still counts as running in the core.
func (b *run) Cancel(string) {
	b.cancelledAt.CompareAndSwap(0, time.Now().UnixNano()) // set before the state, because handlerReturned reads it after the state
	if b.state.CompareAndSwap(running, cancelled) {
		b.server.stats.stuck.Add(1)
	}
	b.cancel()
}

// bodyReader is the Body of a request whose body was already read into memory.
type bodyReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

// ReplyToCall implements dispatch.Backend. It does nothing, because handlers make their
// downstream calls themselves.
func (b *run) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend. It does nothing, because handlers make their downstream
// calls themselves.
func (b *run) SkipCall(string, uint64) {}

// recorder is the http.ResponseWriter of a handler. It holds the response in memory; nothing is
// sent to the caller before the handler has returned.
type recorder struct {
	header      http.Header
	sentHeaders []dispatch.Field // the headers at the time of WriteHeader
	status      int
	body        bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. As in net/http, later changes of the headers are
// not sent.
func (w *recorder) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	names := make([]string, 0, len(w.header))
	for name := range w.header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range w.header[name] {
			w.sentHeaders = append(w.sentHeaders, dispatch.Field{Name: name, Value: value})
		}
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// serve calls the handler and returns the value of its panic, or nil. As in net/http, a panic
// of a handler must not end the process.
func (w *recorder) serve(next http.Handler, r *http.Request) (panicked any) {
	defer func() { panicked = recover() }()
	next.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return nil
}

// outcome returns the end of the run and its result, after the handler has returned. failed
// means that the handler panicked or its deadline passed; its response is then discarded,
// unless the run was cancelled.
func (w *recorder) outcome(wasCancelled, failed bool) (dispatch.RunEnd, dispatch.Payload) {
	switch {
	case wasCancelled:
		return dispatch.RunCancelled, w.result()
	case failed:
		return dispatch.RunFailed, dispatch.Payload{}
	case w.status >= http.StatusInternalServerError:
		return dispatch.RunFailed, w.result()
	}
	return dispatch.RunSucceeded, w.result()
}

// result returns the recorded response in the form that the core caches and forwards.
func (w *recorder) result() dispatch.Payload {
	return httpresult.Encode(w.status, w.sentHeaders, w.body.Bytes())
}
