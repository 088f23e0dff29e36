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

// reload sends SIGHUP, so that the node reads its configuration again. writeErr is the result
// of writing the configuration file.
func (inj *faultInjector) reload(writeErr error) {
	if writeErr != nil {
		inj.fail("%v", writeErr)
		return
	}
	inj.record(Reloaded)
	_ = inj.node.Signal(syscall.SIGHUP) // an error means that it has exited
}

func reloadValid(_ context.Context, inj *faultInjector, _ *rand.Rand) {
	inj.reload(inj.node.WriteConfig(nil))
}

func reloadInvalidJSON(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.configMu.Lock()
	defer inj.configMu.Unlock()
	inj.reload(inj.node.WriteConfigText("no JSON"))
	sleep(ctx, randomDuration(rng, 0, 300*time.Millisecond))
	inj.restoreConfig()
}

func reloadWithoutSettings(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.configMu.Lock()
	defer inj.configMu.Unlock()
	inj.reload(inj.node.WriteConfig(map[string]any{"settings": map[string]any{}}))
	sleep(ctx, randomDuration(rng, 0, 300*time.Millisecond))
	inj.restoreConfig()
}

// restoreConfig writes the valid configuration file again, because a restart reads it.
func (inj *faultInjector) restoreConfig() {
	if err := inj.node.WriteConfig(nil); err != nil {
		inj.fail("%v", err)
	}
}

// disableTraffic disables traffic with the operators' command drain-on for a while, and
// enables it again with drain-off.
func disableTraffic(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	if callOperatorPort(inj.node.Control(), "drain-on") {
		inj.record(TrafficDisabled)
	}
	sleep(ctx, randomDuration(rng, 200*time.Millisecond, 5*time.Second))
	if callOperatorPort(inj.node.Control(), "drain-off") {
		inj.record(TrafficEnabled)
	}
}

// callOperatorPort sends one operators' command and reports whether the reply starts with
// done. A process that is paused or has exited does not reply.
func callOperatorPort(address, line string) bool {
	dialer := net.Dialer{Timeout: controlTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // an error means that the call may wait longer
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(answer, "done")
}

// silentCrowd opens many connections and sends nothing on them.
func silentCrowd(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.record(ConnectionCrowd)
	var conns []net.Conn
	for range crowdSize/2 + rng.IntN(crowdSize/2) {
		dialer := net.Dialer{Timeout: clientDialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", inj.node.Address)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	sleep(ctx, randomDuration(rng, 100*time.Millisecond, 3*time.Second))
	for _, conn := range conns {
		if rng.IntN(2) == 0 {
			reset(conn)
		} else {
			_ = conn.Close()
		}
	}
}

// requestingCrowd connects many clients at once. They send requests and then keep their
// connections for a while.
func requestingCrowd(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.record(ConnectionCrowd)
	var clients sync.WaitGroup
	for range crowdSize/2 + rng.IntN(crowdSize/2) {
		draws := rand.New(rand.NewPCG(rng.Uint64(), 0))
		clients.Go(func() { inj.clients.runOnce(ctx, crowdClient, draws) })
	}
	clients.Wait()
}
