package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// FencedWrite is a piece of fleet work that a receiver was handed.
type FencedWrite struct {
	Lease    string
	Token    lease.Token
	By       string
	At       time.Time
	Accepted bool
	Reason   string // of a refusal
}

// Registry is a fake of the operator's registry, a receiver of fenced writes: an
// HTTP server that takes judgements (PUT, a JSON body) and refuses those whose
// token is lower than one it has seen, with 409 and the reason.
type Registry struct {
	server *http.Server
	addr   string
	fence  lease.Fence

	mu      sync.Mutex
	writes  []FencedWrite
	changed chan struct{} // closed and made anew at each act
}

// NewRegistry starts a registry.
func NewRegistry(address string) (*Registry, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	r := &Registry{addr: l.Addr().String(), changed: make(chan struct{})}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }() // it returns http.ErrServerClosed after Close
	return r, nil
}

// Addr is where it listens.
func (r *Registry) Addr() string { return r.addr }

// Close ends it.
func (r *Registry) Close() { closeIgnoringError(r.server) }

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var j struct {
		Lease string      `json:"lease"`
		Token lease.Token `json:"token"`
		By    string      `json:"by"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16)).Decode(&j); err != nil || req.Method != http.MethodPut {
		http.Error(w, "a judgement wanted", http.StatusBadRequest)
		return
	}
	a := FencedWrite{Lease: j.Lease, Token: j.Token, By: j.By, At: time.Now(), Accepted: true}
	r.mu.Lock() // what it records is in the order in which the fence saw it
	if err := r.fence.Admit(j.Lease, j.Token); err != nil {
		a.Accepted, a.Reason = false, err.Error()
	}
	r.writes = append(r.writes, a)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if !a.Accepted {
		http.Error(w, a.Reason, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Writes gives what it was handed so far, in order, and a channel that is closed
// when there is more.
func (r *Registry) Writes() ([]FencedWrite, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes[:len(r.writes):len(r.writes)], r.changed
}
