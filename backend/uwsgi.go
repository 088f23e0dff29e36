package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/protocol/httpresult"
	"quincerail.example/quincerail/protocol/uwsgi"
)

// methodVar is the uwsgi variable that holds a request's HTTP method.
const methodVar = "REQUEST_METHOD"

// UWSGI is the backend that runs requests at a uwsgi application server, each over its own
// connection. It sends each run once: after a connection breaks, it is unknown whether the
// run had its effect.
type UWSGI struct {
	core *dispatch.Core

	mu      sync.Mutex
	address string
	cancels map[string]context.CancelFunc // by run ID
}

// NewUWSGI returns a backend that runs requests at the server at address and reports to core.
func NewUWSGI(core *dispatch.Core, address string) *UWSGI {
	return &UWSGI{core: core, address: address, cancels: make(map[string]context.CancelFunc)}
}

// SetAddress changes the address for future runs.
func (b *UWSGI) SetAddress(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = address
}

// Start implements dispatch.Backend.
func (b *UWSGI) Start(r dispatch.Run) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	b.mu.Lock()
	b.cancels[r.ID] = cancel
	address := b.address
	b.mu.Unlock()
	go func() {
		startedAt := time.Now()
		end, result := run(ctx, address, r)
		b.mu.Lock()
		delete(b.cancels, r.ID)
		b.mu.Unlock()
		if errors.Is(ctx.Err(), context.Canceled) {
			end = dispatch.RunCancelled
		}
		cancel()
		b.core.RunCompleted(r.ID, end, time.Since(startedAt), result)
	}()
}

// run sends a request and reads the response. The end is RunNotStarted if the request can't
// be encoded or the server can't be dialled, and RunFailed if the connection breaks, ctx ends
// or the response's status is 500 or above.
func run(ctx context.Context, address string, r dispatch.Run) (dispatch.RunEnd, dispatch.Payload) {
	packet, method, err := encodeRequest(r.Payload)
	if err != nil {
		return dispatch.RunNotStarted, dispatch.Payload{}
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return dispatch.RunNotStarted, dispatch.Payload{}
	}
	defer func() { _ = nc.Close() }() // an error does not affect the response, which was read before
	response, err := roundTrip(ctx, nc, r.Deadline, packet, method)
	if err != nil {
		return dispatch.RunFailed, dispatch.Payload{}
	}
	var headers []dispatch.Field
	for _, h := range response.Headers {
		headers = append(headers, dispatch.Field(h))
	}
	result := httpresult.Encode(response.Status, headers, response.Body)
	if response.Status >= http.StatusInternalServerError {
		return dispatch.RunFailed, result
	}
	return dispatch.RunSucceeded, result
}

// encodeRequest returns the uwsgi packet for a request, and the request's HTTP method.
func encodeRequest(p dispatch.Payload) (packet []byte, method string, err error) {
	var vars []uwsgi.Var
	for _, f := range p.Fields {
		if f.Name == methodVar {
			method = f.Value
		}
		vars = append(vars, uwsgi.Var(f))
	}
	packet, err = uwsgi.AppendRequest(nil, vars, p.Body)
	return packet, method, err
}

// roundTrip writes a packet and reads the response. It returns an error if the deadline passes
// or ctx is done before the response is complete.
func roundTrip(ctx context.Context, nc net.Conn, deadline time.Time, packet []byte, method string) (*uwsgi.Response, error) {
	setDeadline := func(t time.Time) { _ = nc.SetDeadline(t) } // fails only on a closed connection, where Write and Read fail too
	setDeadline(deadline)
	defer context.AfterFunc(ctx, func() { setDeadline(time.Unix(1, 0)) })()
	if _, err := nc.Write(packet); err != nil {
		return nil, err
	}
	return uwsgi.ReadResponse(bufio.NewReader(nc), method)
}

// Cancel implements dispatch.Backend.
func (b *UWSGI) Cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cancel := b.cancels[id]; cancel != nil {
		cancel()
	}
}

// ReplyToCall implements dispatch.Backend. It does nothing, because uwsgi runs make no
// downstream calls.
func (b *UWSGI) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend. It does nothing, because uwsgi runs make no
// downstream calls.
func (b *UWSGI) SkipCall(string, uint64) {}
