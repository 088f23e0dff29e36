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

// TestHandoverRefused plays a platform that refuses Unix sockets, as the fleet
// days do (ENOSYS): the endpoint looks once for a predecessor, does not wait out its
// time for one, and reports that it can't listen, so that the process serves alone.
func TestHandoverRefused(t *testing.T) {
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
		t.Errorf("Connect: %v after %d dials, want none after one", peer, dials)
	}
	if _, err := endpoint.Listen(ctx); !errors.Is(err, syscall.ENOSYS) {
		t.Errorf("Listen: %v, want the refusal", err)
	}
}

// TestSocketName keeps the name by which a process finds the one before it.
func TestSocketName(t *testing.T) {
	if e := NewEndpoint(nil, "app-1", logging.Discard()); e.socket != "quincerail-app-1.sock" {
		t.Errorf("the socket is named %s", e.socket)
	}
}
