// Package fakes provides fakes of the parties that the app server communicates with,
// written from their published protocols: processor, shared dependency (the platform's
// ledger), discovery service (the platform's announce service), uwsgi application server,
// registry (a receiver of fenced writes), and clients of the frontends. The tests and the
// example use them.
package fakes

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"time"
)

// Work defines how a fake backend runs a request. The first word of the body selects what
// a run does:
//
//	fail   it fails
//	hang   it runs until it is cancelled
//	call   Processor only: it calls the shared dependency with the whole body, and returns
//	       the reply
//	break  UWSGIServer only: it closes the connection without a response
//	else   it returns Result(body) after Duration or SlowDuration
//
// It is safe for concurrent use.
type Work struct {
	Duration time.Duration // of a run that returns Result(body)
	// SlowPerThousand of 1000 bodies, selected by their hash, take SlowDuration in place of
	// Duration. UWSGIServer ignores it.
	SlowPerThousand uint64
	SlowDuration    time.Duration

	mu            sync.Mutex
	counts        map[string]int    // runs started, by body
	class         map[string]string // class of the last run that the processor received, by body
	started       chan string
	stoppedBodies chan string
}

// NewWork returns Work whose runs take duration.
func NewWork(duration time.Duration) *Work {
	return &Work{Duration: duration, counts: make(map[string]int), class: make(map[string]string), started: make(chan string, 1024), stoppedBodies: make(chan string, 1024)}
}

// Result returns the result of a run of body.
func Result(body string) string { return "done: " + body }

// Started returns a channel that receives the body of each run when it starts. It holds
// 1024 bodies; a run doesn't start while it is full.
func (w *Work) Started() <-chan string { return w.started }

// Stopped returns a channel that receives the body of each run that was cancelled. It holds
// 1024 bodies; cancelling blocks while it is full.
func (w *Work) Stopped() <-chan string { return w.stoppedBodies }

// Runs returns the number of runs of body that were started.
func (w *Work) Runs(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[body]
}

// Class returns the class of the last command to run body that the processor received.
func (w *Work) Class(body string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.class[body]
}

func (w *Work) recordClass(body, class string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.class[body] = class
}

// Total returns the number of runs of all bodies that were started.
func (w *Work) Total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// start records a run and returns the first word of its body.
func (w *Work) start(body string) (word string) {
	w.mu.Lock()
	w.counts[body]++
	w.mu.Unlock()
	w.started <- body
	word, _, _ = strings.Cut(body, " ")
	return word
}

// duration returns how long a run of body takes.
func (w *Work) duration(body string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body) // writing to a hash never fails
	if h.Sum64()%1000 < w.SlowPerThousand {
		return w.SlowDuration
	}
	return w.Duration
}

func (w *Work) recordStop(body string) { w.stoppedBodies <- body }

// ErrFailed is the error of a run in Do that fails or is cancelled.
var ErrFailed = errors.New("fakes: work failed or was cancelled")

// Do runs body in the calling goroutine, for a handler inside the service. A run that hangs
// is cancelled when ctx ends; other runs ignore ctx.
func (w *Work) Do(ctx context.Context, body string) (string, error) {
	switch w.start(body) {
	case "fail":
		return "", ErrFailed
	case "hang":
		<-ctx.Done()
		w.recordStop(body)
		return "", ErrFailed
	}
	time.Sleep(w.duration(body))
	return Result(body), nil
}
