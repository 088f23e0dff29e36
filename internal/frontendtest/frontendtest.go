// Package frontendtest has helpers shared by the tests of the frontends: a backend with a
// core, whose runs complete at once, and in-memory connections.
package frontendtest

import (
	"net"
	"testing"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/transport"
)

// HangingBody is the body of a request whose run completes only when it is cancelled.
const HangingBody = "hang"

// Backend is a fake dispatch.Backend. Its runs succeed at once and return the payload of the
// request as the result, except for requests with HangingBody.
type Backend struct{ Core *dispatch.Core }

// NewBackend returns a Backend with a core that uses it. The core is stopped when the test
// ends.
func NewBackend(t *testing.T) *Backend {
	t.Helper()
	b := &Backend{}
	b.Core = dispatchtest.StartCore(t, dispatch.Options{Backend: b})
	b.Core.BackendReady(false, 0)
	return b
}

// Start implements dispatch.Backend.
func (b *Backend) Start(r dispatch.Run) {
	if string(r.Payload.Body) != HangingBody {
		go b.Core.RunCompleted(r.ID, dispatch.RunSucceeded, 0, r.Payload)
	}
}

// Cancel implements dispatch.Backend.
func (b *Backend) Cancel(id string) {
	go b.Core.RunCompleted(id, dispatch.RunCancelled, 0, dispatch.Payload{})
}

// ReplyToCall implements dispatch.Backend.
func (b *Backend) ReplyToCall(string, []byte) {}

// SkipCall implements dispatch.Backend.
func (b *Backend) SkipCall(string, uint64) {}

// Caller is a caller's end of a connection.
type Caller struct{ net.Conn }

// Send writes p. It ignores errors: if the frontend has closed the connection, the test
// notices when it reads.
func (c *Caller) Send(p []byte) { _, _ = c.Write(p) }

// Disconnect closes the connection.
func (c *Caller) Disconnect() { _ = c.Close() }

// Dial calls serve in a new goroutine with one end of an in-memory connection. It returns the
// caller's end, and a channel that is closed when serve returns.
func Dial(serve func(*transport.Conn)) (caller *Caller, served <-chan struct{}) {
	local, remote := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(transport.NewConn(local))
	}()
	return &Caller{remote}, done
}
