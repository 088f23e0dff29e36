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

// The states of a run. A run that is not cancelled goes from working to returned.
const (
	working   int32 = iota // its handler runs
	cancelled              // its context was cancelled and its handler has not returned: stuck
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

func (s *Server) newRun(next http.Handler, r *http.Request) *run {
	return &run{server: s, next: next, request: r}
}

// Start implements dispatch.Backend. The decision module cancels a run, the end of the
// caller's connection does not: a keyed run goes on after its caller left, so that a
// retry gets its result.
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

// job is a run for a worker.
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

func (b *run) serve(ctx context.Context, r dispatch.Run) {
	defer b.cancel()
	began := time.Now()
	w := &recorder{header: make(http.Header)}
	req := b.request.Clone(ctx)
	req.Body, req.ContentLength = &bodyReader{bytes.NewReader(r.Payload.Body)}, int64(len(r.Payload.Body))
	panicked := w.serve(b.next, req)
	b.server.stats.running.Add(-1)
	wasCancelled := b.handlerReturned(r)
	if panicked != nil {
		b.recordPanic(r, panicked)
	}
	end, result := dispatch.RunSucceeded, dispatch.Payload{}
	switch {
	case wasCancelled:
		end, result = dispatch.RunCancelled, w.result()
	case panicked != nil || ctx.Err() != nil: // the response of a handler whose time ran out is no result
		end = dispatch.RunFailed
	case w.status >= http.StatusInternalServerError:
		end, result = dispatch.RunFailed, w.result()
	default:
		result = w.result()
	}
	b.server.core.RunCompleted(r.ID, end, time.Since(began), result)
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

// Cancel implements dispatch.Backend: the handler's context is cancelled. Until the
// handler returns, it counts as stuck.
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

// recorder is the http.ResponseWriter that a handler writes to. Nothing of it
// reaches the caller before the handler has returned.
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

// serve runs the handler, and gives what it panicked with. A panic must not end
// the process, as it does not under net/http.
func (w *recorder) serve(next http.Handler, r *http.Request) (panicked any) {
	defer func() { panicked = recover() }()
	next.ServeHTTP(w, r)
	w.WriteHeader(http.StatusOK)
	return nil
}

func (w *recorder) result() dispatch.Payload {
	return httpresult.Encode(w.status, w.sent, w.body.Bytes())
}
