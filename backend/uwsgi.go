package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// UWSGI runs requests at a uwsgi application server, a connection each.
// A run is sent once: after a break nobody knows whether it had its effect.
type UWSGI struct {
	core *dispatch.Core

	mu      sync.Mutex
	address string
	runs    map[string]context.CancelFunc
}

// NewUWSGI makes one that runs requests at an address.
func NewUWSGI(core *dispatch.Core, address string) *UWSGI {
	return &UWSGI{core: core, address: address, runs: make(map[string]context.CancelFunc)}
}

// SetAddress has the runs to come go to another address.
func (b *UWSGI) SetAddress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = address
}

// Start implements dispatch.Backend.
func (b *UWSGI) Start(r dispatch.Run) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	b.mu.Lock()
	b.runs[r.ID] = cancel
	address := b.address
	b.mu.Unlock()
	go func() {
		began := time.Now()
		end, result := b.run(ctx, address, r)
		b.mu.Lock()
		delete(b.runs, r.ID)
		b.mu.Unlock()
		if ctx.Err() == context.Canceled {
			end = dispatch.RunCancelled
		}
		cancel()
		b.core.RunCompleted(r.ID, end, time.Since(began), result)
	}()
}

// run does one attempt. A connection that was refused proves that nothing ran.
func (b *UWSGI) run(ctx context.Context, address string, r dispatch.Run) (dispatch.RunEnd, dispatch.Payload) {
	var vars []uwsgi.Var
	method := ""
	for _, f := range r.Payload.Fields {
		if f.Name == "REQUEST_METHOD" {
			method = f.Value
		}
		vars = append(vars, uwsgi.Var(f))
	}
	packet, err := uwsgi.AppendRequest(nil, vars, r.Payload.Body)
	if err != nil {
		return dispatch.RunNotStarted, dispatch.Payload{}
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return dispatch.RunNotStarted, dispatch.Payload{}
	}
	defer nc.Close()
	nc.SetDeadline(r.Deadline)
	defer context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })()
	if _, err := nc.Write(packet); err != nil {
		return dispatch.RunFailed, dispatch.Payload{}
	}
	resp, err := uwsgi.ReadResponse(bufio.NewReader(nc), method)
	if err != nil {
		return dispatch.RunFailed, dispatch.Payload{}
	}
	var headers []dispatch.Field
	for _, h := range resp.Headers {
		headers = append(headers, dispatch.Field(h))
	}
	result := httpresult.Encode(resp.Status, headers, resp.Body)
	if resp.Status >= 500 {
		return dispatch.RunFailed, result
	}
	return dispatch.RunSucceeded, result
}

// Cancel implements dispatch.Backend.
func (b *UWSGI) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cancel := b.runs[id]; cancel != nil {
		cancel()
	}
}

// ReplyToCall implements dispatch.Backend: these runs make no calls.
func (b *UWSGI) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend: these runs make no calls.
func (b *UWSGI) SkipCall(string, uint64) {}
