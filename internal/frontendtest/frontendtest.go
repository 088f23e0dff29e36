// Package frontendtest has what the fronts' tests share: a core whose runs end at once,
// and connections without a network.
package frontendtest

import (
	"net"
	"testing"

	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/internal/dispatchtest"
	"quincerail.example/quincerail/transport"
)

// HangingBody is the body of a request whose run ends only when it is cancelled.
const HangingBody = "hang"

// Backend is a backend whose runs end at once, but for those with HangingBody.
type Backend struct{ Core *dispatch.Core }

// NewBackend returns a backend with a core that uses it, until the test ends.
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

// Send writes bytes. That fails where the front has ended the connection, which a test
// sees by what it reads.
func (c *Caller) Send(p []byte) { _, _ = c.Write(p) }

// Disconnect ends the connection.
func (c *Caller) Disconnect() { _ = c.Close() }

// Dial has a connection served. It returns the caller's end, and a channel that is closed
// when serve returns.
func Dial(serve func(*transport.Conn)) (caller *Caller, ended <-chan struct{}) {
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(transport.NewConn(near))
	}()
	return &Caller{far}, done
}
