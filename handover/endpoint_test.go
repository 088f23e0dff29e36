package handover

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"quincerail.example/quincerail/decision"
	"quincerail.example/quincerail/dispatch"
	"quincerail.example/quincerail/logging"
)

// TestEndpoint_ReportsRefusedUnixSockets simulates a platform that refuses Unix sockets with
// ENOSYS. Connect must dial once and return without a predecessor, and Listen must return the
// error, so that the process serves alone.
func TestEndpoint_ReportsRefusedUnixSockets(t *testing.T) {
	core, err := dispatch.New(dispatch.Options{Classes: []string{"page"}, Settings: decision.Settings{
		Cores:    1,
		MemoryKB: 1024, RunningMemoryFactor: 1, Classes: []decision.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	refused := func(op string) error {
		return &net.OpError{Op: op, Net: "unix", Err: os.NewSyscallError("socket", syscall.ENOSYS)}
	}
	endpoint, dials := NewEndpoint(core, "n1", slog.Default()), 0
	endpoint.dial = func(context.Context, string, string) (net.Conn, error) { dials++; return nil, refused("dial") }
	endpoint.listen = func(context.Context, string, string) (net.Listener, error) { return nil, refused("listen") }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if peer, err := endpoint.Connect(ctx); peer != nil || err != nil || dials != 1 {
		t.Errorf("Connect() = %v, %v after %d dials, want nil, nil after 1 dial", peer, err, dials)
	}
	if _, err := endpoint.Listen(ctx); !errors.Is(err, syscall.ENOSYS) {
		t.Errorf("Listen() error = %v, want %v", err, syscall.ENOSYS)
	}
}

// TestNewEndpoint_SocketName checks the socket's name, by which a process finds its predecessor.
// Processes of different versions must agree on it.
func TestNewEndpoint_SocketName(t *testing.T) {
	const want = "quincerail-app-1.sock"
	if e := NewEndpoint(nil, "app-1", logging.Discard()); e.socket != want {
		t.Errorf("socket name %s, want %s", e.socket, want)
	}
}
