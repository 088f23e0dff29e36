package server

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
)

// TestHandoverRefused plays a platform that refuses Unix sockets, as the fleet
// days do (ENOSYS): the door looks once for a process to take over from, does
// not wait out its time for one, and reports that it can't open, so that the
// process serves alone.
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
	door, dials := newHandoverDoor(core, "n1", slog.Default()), 0
	door.dial = func(context.Context, string, string) (net.Conn, error) { dials++; return nil, refused("dial") }
	door.listen = func(string, string) (net.Listener, error) { return nil, refused("listen") }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if elder, err := door.meet(ctx); elder != nil || err != nil || dials != 1 {
		t.Errorf("meet: %v after %d dials, want none after one", elder, dials)
	}
	if _, err := door.open(); !errors.Is(err, syscall.ENOSYS) {
		t.Errorf("open: %v, want the refusal", err)
	}
}
