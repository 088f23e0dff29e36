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

// stuckAfter is how long a handler may take to return after its context was
// cancelled before that is logged.
const stuckAfter = time.Second

// The states of a run. A run that is not cancelled goes from working to returned; one that
// is goes through cancelled, and counts in Stats.Stuck until its handler returns.
const (
	working   int32 = iota // its handler runs
	cancelled              // its context was cancelled and its handler has not returned
	returned               // its handler has returned
)

// run is the backend of one request: the handler behind the middleware, in a
// goroutine of its own.
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

// Start implements dispatch.Backend. The decision module or the deadline cancels the
// handler's context. The end of the caller's connection does not: a keyed run goes on after
// its caller left, so that a retry gets its result.
func (b *run) Start(r dispatch.Run) {
	b.server.stats.runs.Add(1)
	b.server.stats.running.Add(1)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(b.request.Context()), r.Deadline)
	b.cancel = cancel // before Cancel can be called, on the core's goroutine
	b.server.workers.start(job{b, ctx, r})
}

// workerIdle is how long a goroutine that has run a handler waits for the next
// before it ends.
const workerIdle = 10 * time.Second

// workers are goroutines that have run handlers and wait for more, so that the
// next run finds a stack grown to its handler's size (a new goroutine starts
// small and copies its stack as it grows, for every request).
type workers struct {
	jobs chan job
	done <-chan struct{}
}

// job is a run for a worker, with its context and what the core told of it.
type job struct {
	run *run
	ctx context.Context
	r   dispatch.Run
}

// start gives a job to a worker that waits, or to a new one.
func (w *workers) start(j job) {
	select {
	case w.jobs <- j:
	default:
		go w.work(j)
	}
}

// work serves a job, and then others until none comes for workerIdle or the server is closed.
func (w *workers) work(j job) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		j.run.serve(j.ctx, j.r)
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

// serve calls the handler and reports to the core how the run ended.
func (b *run) serve(ctx context.Context, r dispatch.Run) {
	defer b.cancel()
	began := time.Now()
	w := &recorder{header: make(http.Header)}
	panicked := w.serve(b.next, b.handlerRequest(ctx, r))
	b.server.stats.running.Add(-1)
	wasCancelled := b.handlerReturned(r)
	if panicked != nil {
		b.recordPanic(r, panicked)
	}
	end, result := w.outcome(wasCancelled, panicked != nil || ctx.Err() != nil)
	b.server.core.RunCompleted(r.ID, end, time.Since(began), result)
}

// handlerRequest returns the request that the handler gets, with the body that was read.
func (b *run) handlerRequest(ctx context.Context, r dispatch.Run) *http.Request {
	request, body := b.request.Clone(ctx), r.Payload.Body
	request.Body, request.ContentLength = &bodyReader{bytes.NewReader(body)}, int64(len(body))
	return request
}

// handlerReturned records that the handler has returned, and reports whether it had been
// cancelled before.
func (b *run) handlerReturned(r dispatch.Run) (wasCancelled bool) {
	if b.state.Swap(returned) != cancelled {
		return false
	}
	b.server.stats.stuck.Add(-1)
	if late := time.Since(time.Unix(0, b.cancelledAt.Load())); late > stuckAfter {
		b.server.cfg.Logger.Warn("handler_returned_late", "class", r.Class, "request", r.ID,
			"after_cancel", late.Round(time.Millisecond))
	}
	return true
}

// recordPanic counts a handler's panic, and logs it unless the handler aborted its
// response on purpose.
func (b *run) recordPanic(r dispatch.Run, panicked any) {
	b.server.stats.panics.Add(1)
	if panicked == any(http.ErrAbortHandler) {
		return
	}
	b.server.cfg.Logger.Error("handler_panicked", "class", r.Class, "request", r.ID, "panic", fmt.Sprint(panicked))
}

// Cancel implements dispatch.Backend: it cancels the handler's context. Until the handler
// returns, the run counts in Stats.Stuck and keeps its place among the core's runs.
func (b *run) Cancel(string) {
	b.cancelledAt.CompareAndSwap(0, time.Now().UnixNano()) // before the state, which the handler's return reads
	if b.state.CompareAndSwap(working, cancelled) {
		b.server.stats.stuck.Add(1)
	}
	b.cancel()
}

// bodyReader is a request's body as a handler reads it, from what was read.
type bodyReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

// ReplyToCall implements dispatch.Backend: handlers make their downstream calls themselves.
func (b *run) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend: handlers make their downstream calls themselves.
func (b *run) SkipCall(string, uint64) {}

// recorder is the http.ResponseWriter that a handler writes to. The caller gets none of
// it before the handler has returned.
type recorder struct {
	header http.Header
	sent   []dispatch.Field // the headers as they were when the status was written
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. What the handler changes in the
// headers afterwards is not sent, as under net/http.
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
			w.sent = append(w.sent, dispatch.Field{Name: name, Value: value})
		}
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// serve calls the handler, and returns what it panicked with, or nil. A panic must not end
// the process, as it does not under net/http.
func (w *recorder) serve(next http.Handler, r *http.Request) (panicked any) {
	defer func() { panicked = recover() }()
	next.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return nil
}

// outcome returns how the run ended and its result, once the handler has returned. failed
// means that the handler panicked or its time ran out: its response is not a result then.
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

// result returns the recorded response as a result.
func (w *recorder) result() dispatch.Payload {
	return httpresult.Encode(w.status, w.sent, w.body.Bytes())
}
