package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// FencedWrite is a write that the registry received under a lease's fencing token.
type FencedWrite struct {
	Lease    string
	Token    lease.Token
	By       string    // member that sent it
	At       time.Time // of receipt
	Accepted bool
	Reason   string // error of a refused write
}

// Registry is a fake of the operator's registry: an HTTP server that receives fenced writes
// about the shared dependency's health (PUT with a JSON body). It refuses a write whose
// token is lower than one that it has seen for the same lease, with status 409 and the reason.
type Registry struct {
	server *http.Server
	addr   string
	fence  lease.Fence

	mu      sync.Mutex
	writes  []FencedWrite
	changed chan struct{} // closed and replaced at each write
}

// NewRegistry starts a registry that listens at address.
func NewRegistry(address string) (*Registry, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	r := &Registry{addr: l.Addr().String(), changed: make(chan struct{})}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }() // returns http.ErrServerClosed after Close
	return r, nil
}

// Addr returns the address that it listens at.
func (r *Registry) Addr() string { return r.addr }

// Close closes the listener and all connections.
func (r *Registry) Close() { closeIgnoringError(r.server) }

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var message struct {
		Lease string      `json:"lease"`
		Token lease.Token `json:"token"`
		By    string      `json:"by"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<16)).Decode(&message); err != nil || req.Method != http.MethodPut {
		http.Error(w, "the request must be a PUT with the JSON fields lease, token and by", http.StatusBadRequest)
		return
	}
	write := FencedWrite{Lease: message.Lease, Token: message.Token, By: message.By, At: time.Now(), Accepted: true}
	r.mu.Lock() // held for both steps, so that r.writes is in the order in which the fence checked the writes
	if err := r.fence.Admit(message.Lease, message.Token); err != nil {
		write.Accepted, write.Reason = false, err.Error()
	}
	r.writes = append(r.writes, write)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if !write.Accepted {
		http.Error(w, write.Reason, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Writes returns the writes received so far, in order, and a channel that is closed at the
// next one.
func (r *Registry) Writes() ([]FencedWrite, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes[:len(r.writes):len(r.writes)], r.changed
}
