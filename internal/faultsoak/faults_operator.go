package faultsoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reload has the node read its configuration again. writeErr is how writing that ended.
func (o *operator) reload(writeErr error) {
	if writeErr != nil {
		o.fail("%v", writeErr)
		return
	}
	o.record(Reloaded)
	_ = o.node.Signal(syscall.SIGHUP) // it may have ended
}

func reloadGood(_ context.Context, o *operator, _ *rand.Rand) { o.reload(o.node.WriteConfig(nil)) }

func reloadSpoilt(ctx context.Context, o *operator, rng *rand.Rand) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	o.reload(o.node.WriteConfigText("no JSON"))
	pause(ctx, between(rng, 0, 300*time.Millisecond))
	o.restoreConfig()
}

func reloadCut(ctx context.Context, o *operator, rng *rand.Rand) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	o.reload(o.node.WriteConfig(map[string]any{"settings": map[string]any{}}))
	pause(ctx, between(rng, 0, 300*time.Millisecond))
	o.restoreConfig()
}

// restoreConfig puts the good file back, which a restart reads.
func (o *operator) restoreConfig() {
	if err := o.node.WriteConfig(nil); err != nil {
		o.fail("%v", err)
	}
}

// sendAway disables traffic by the operators' calls for a while, and enables it again.
func sendAway(ctx context.Context, o *operator, rng *rand.Rand) {
	if callOperators(o.node.Control(), "drain-on") {
		o.record(SentAway)
	}
	pause(ctx, between(rng, 200*time.Millisecond, 5*time.Second))
	if callOperators(o.node.Control(), "drain-off") {
		o.record(FetchedBack)
	}
}

// callOperators makes one operators' call, and reports whether it was answered with done.
// A process that is paused or has ended does not answer.
func callOperators(address, line string) bool {
	dialer := net.Dialer{Timeout: controlTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // a call without it waits longer
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(answer, "done")
}

// crowd opens connections that say nothing.
func crowd(ctx context.Context, o *operator, rng *rand.Rand) {
	o.record(Crowded)
	var conns []net.Conn
	for range crowdSize/2 + rng.IntN(crowdSize/2) {
		dialer := net.Dialer{Timeout: clientDialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", o.node.Address)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	pause(ctx, between(rng, 100*time.Millisecond, 3*time.Second))
	for _, conn := range conns {
		if rng.IntN(2) == 0 {
			reset(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// askingCrowd has many clients connect at a time, send requests and stay for a while.
func askingCrowd(ctx context.Context, o *operator, rng *rand.Rand) {
	o.record(Crowded)
	var clients sync.WaitGroup
	for range crowdSize/2 + rng.IntN(crowdSize/2) {
		draws := rand.New(rand.NewPCG(rng.Uint64(), 0))
		clients.Go(func() { o.clients.once(ctx, asking, draws) })
	}
	clients.Wait()
}
