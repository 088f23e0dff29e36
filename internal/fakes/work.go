// Package fakes has fakes of the parties around the app server, made from their
// published protocols: processor, shared dependency (the platform's ledger), discovery
// service (its announce service), uwsgi application server, a receiver of fenced writes,
// and clients of both frontends. The tests and the example use them.
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

// Work is what a fake backend does with a body, by its first word:
//
//	fail  it fails
//	hang  it runs until it is cancelled
//	call  it calls the dependency with the whole body, and returns the reply
//	else  it returns Result(body)
//
// It is safe for concurrent use.
type Work struct {
	Duration time.Duration // of work that neither fails nor hangs
	// Of each thousand bodies, drawn by their hashes, so many take Slow.
	SlowPerThousand uint64
	SlowDuration    time.Duration

	mu            sync.Mutex
	counts        map[string]int
	class         map[string]string // under which a body came last, over the processor's link
	started       chan string
	stoppedBodies chan string
}

// NewWork makes work that takes a time.
func NewWork(took time.Duration) *Work {
	return &Work{Duration: took, counts: make(map[string]int), class: make(map[string]string), started: make(chan string, 1024), stoppedBodies: make(chan string, 1024)}
}

// Result is what work on a body returns.
func Result(body string) string { return "done: " + body }

// Started gives the body of each run as it begins.
func (w *Work) Started() <-chan string { return w.started }

// Stopped gives the body of each run that was stopped.
func (w *Work) Stopped() <-chan string { return w.stoppedBodies }

// Runs tells how often work on a body was begun.
func (w *Work) Runs(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[body]
}

// Class tells under which class the processor was told to run a body.
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

// Total tells how many runs were begun, of all bodies.
func (w *Work) Total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

func (w *Work) start(body string) (word string) {
	w.mu.Lock()
	w.counts[body]++
	w.mu.Unlock()
	w.started <- body
	word, _, _ = strings.Cut(body, " ")
	return word
}

// time is how long work on a body takes.
func (w *Work) time(body string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body) // a hash never fails
	if h.Sum64()%1000 < w.SlowPerThousand {
		return w.SlowDuration
	}
	return w.Duration
}

func (w *Work) stopped(body string) { w.stoppedBodies <- body }

// ErrFailed is what Do gives for work that fails or is stopped.
var ErrFailed = errors.New("the work failed")

// Do does the work of a body in a handler of the service itself: work that
// hangs runs until ctx ends.
func (w *Work) Do(ctx context.Context, body string) (string, error) {
	switch w.start(body) {
	case "fail":
		return "", ErrFailed
	case "hang":
		<-ctx.Done()
		w.stopped(body)
		return "", ErrFailed
	}
	time.Sleep(w.time(body))
	return Result(body), nil
}
