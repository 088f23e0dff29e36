// Package fakes has stand-ins for the parties around the app server, made
// from their published protocols: processor, ledger, announce service, uwsgi
// application server, and callers of both fronts. The tests and the example
// use them.
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

// Work is what a backend stand-in does with a body, by its first word:
//
//	fail  it ends badly
//	hang  it runs until it is stopped
//	call  it calls the ledger with the whole body, and returns the reply
//	else  it returns Result(body)
//
// It is safe for concurrent use.
type Work struct {
	Took time.Duration // of work that neither fails nor hangs
	// Of each thousand bodies, drawn by their hashes, so many take Slow.
	Thousandths uint64
	Slow        time.Duration

	mu     sync.Mutex
	counts map[string]int
	class  map[string]string // under which a body came last, over the processor's link
	begun  chan string
	ended  chan string
}

// NewWork makes work that takes a time.
func NewWork(took time.Duration) *Work {
	return &Work{Took: took, counts: make(map[string]int), class: make(map[string]string), begun: make(chan string, 1024), ended: make(chan string, 1024)}
}

// Result is what work on a body returns.
func Result(body string) string { return "done: " + body }

// Begun gives the body of each run as it begins.
func (w *Work) Begun() <-chan string { return w.begun }

// Stopped gives the body of each run that was stopped.
func (w *Work) Stopped() <-chan string { return w.ended }

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

func (w *Work) came(body, class string) {
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

func (w *Work) begin(body string) (word string) {
	w.mu.Lock()
	w.counts[body]++
	w.mu.Unlock()
	w.begun <- body
	word, _, _ = strings.Cut(body, " ")
	return word
}

// time is how long work on a body takes.
func (w *Work) time(body string) time.Duration {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body) // a hash never fails
	if h.Sum64()%1000 < w.Thousandths {
		return w.Slow
	}
	return w.Took
}

func (w *Work) stopped(body string) { w.ended <- body }

// ErrFailed is what Do gives for work that fails or is stopped.
var ErrFailed = errors.New("the work failed")

// Do does the work of a body in a handler of the service itself: work that
// hangs runs until ctx ends.
func (w *Work) Do(ctx context.Context, body string) (string, error) {
	switch w.begin(body) {
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
