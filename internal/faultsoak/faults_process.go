package faultsoak

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

func shortPause(_ context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.pause(randomDuration(rng, 60*time.Millisecond, 400*time.Millisecond))
}

func longPause(_ context.Context, inj *faultInjector, rng *rand.Rand) {
	inj.pause(randomDuration(rng, 700*time.Millisecond, 2500*time.Millisecond))
}

// pause stops the process with SIGSTOP for d. It does nothing if the process will be killed
// less than minPauseEndBeforeKill after the pause.
func (inj *faultInjector) pause(d time.Duration) {
	inj.mu.Lock()
	killAt := inj.killAt
	inj.mu.Unlock()
	if !killAt.IsZero() && time.Until(killAt) < d+minPauseEndBeforeKill {
		return
	}
	at, process := time.Now(), inj.node.process()
	if process.signal(syscall.SIGSTOP) != nil {
		return // the process has exited
	}
	time.Sleep(d)
	_ = process.signal(syscall.SIGCONT) // an error means that it was killed
	inj.history.Add(Event{Node: inj.node.Name, Kind: Paused, At: at, Until: time.Now()})
}

// setExpectedExit records whether the process may exit, and when it will be killed. A zero
// killAt means that no kill is planned, or that it comes at once.
func (inj *faultInjector) setExpectedExit(expected bool, killAt time.Time) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.exitExpected, inj.killAt = expected, killAt
}

// restart drains the process, kills it when the platform would, and starts a new one. The
// SIGTERM may be one of a series of signals. The new process may be restarted soon after it
// listens.
func restart(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		if !inj.restartOnce(ctx, rng) || rng.IntN(2) == 0 {
			return
		}
		if !sleep(ctx, randomDuration(rng, 0, 400*time.Millisecond)) {
			return
		}
	}
}

// restartOnce restarts the process once and reports whether the new process listens.
func (inj *faultInjector) restartOnce(ctx context.Context, rng *rand.Rand) (listens bool) {
	process := inj.node.process()
	inj.signalSeries(ctx, process, rng)
	notice := time.Now()
	inj.setExpectedExit(true, notice.Add(MinKillDelay))
	inj.history.Add(Event{Node: inj.node.Name, Kind: Terminated, At: notice})
	exitedInTime, err := process.stop()
	switch {
	case err != nil:
		inj.fail("%v", err)
		return false
	case exitedInTime:
		inj.record(Exited)
	default:
		inj.record(Killed)
	}
	return inj.launch()
}

// signalSeries sometimes sends further signals to a process that is about to get SIGTERM:
// possibly a SIGHUP before, and others in the background until the process has exited.
func (inj *faultInjector) signalSeries(ctx context.Context, process *process, rng *rand.Rand) {
	series := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT}
	if rng.IntN(2) == 0 {
		return
	}
	if rng.IntN(2) == 0 {
		_ = process.signal(syscall.SIGHUP) // an error means that it has exited
	}
	seed, exited := rng.Uint64(), process.done()
	go func() {
		inj.record(SignalSeries)
		draws := rand.New(rand.NewPCG(seed, 0))
		for range 1 + draws.IntN(6) {
			if !sleep(ctx, randomDuration(draws, 2*time.Millisecond, 900*time.Millisecond)) {
				return
			}
			select {
			case <-exited: // a restarted process must not get the signals
				return
			default:
			}
			_ = process.signal(series[draws.IntN(len(series))]) // an error means that it has exited
		}
	}()
}

// upgrade starts a new process that takes over from the current one. If the node's processes
// don't inherit the socket, it restarts the process instead.
func upgrade(ctx context.Context, inj *faultInjector, rng *rand.Rand) {
	if !inj.node.InheritSocket {
		restart(ctx, inj, rng)
		return
	}
	inj.configMu.Lock()
	defer inj.configMu.Unlock()
	// The old process gets SIGTERM only when the new one is ready. The kill may therefore come
	// later than this time, by as long as the new process takes to start.
	inj.setExpectedExit(true, time.Now().Add(MinKillDelay))
	inj.record(Upgraded)
	switch err := inj.node.Upgrade(); {
	case errors.Is(err, ErrNotReady):
		inj.record(Crashed) // the new process, which was killed
	case err != nil:
		inj.fail("%v", err)
	}
	inj.setExpectedExit(false, time.Time{})
}

// crash kills the process without SIGTERM and starts a new one.
func crash(_ context.Context, inj *faultInjector, _ *rand.Rand) {
	inj.setExpectedExit(true, time.Time{})
	inj.record(Crashed)
	inj.node.Kill()
	inj.launch()
}

// launch restarts the process and reports whether it listens. The event Restarted has the
// time before the start, because the new process may serve before Launch returns. The
// previous process has exited by then, so all later runs belong to the new process.
func (inj *faultInjector) launch() (listens bool) {
	inj.configMu.Lock()
	defer inj.configMu.Unlock()
	began := time.Now()
	if err := inj.node.Launch(); err != nil {
		inj.fail("%v", err)
		return false
	}
	inj.history.Add(Event{Node: inj.node.Name, Kind: Restarted, At: began})
	inj.setExpectedExit(false, time.Time{})
	return true
}

// watch records a failure if the process exits although no fault ended it.
func (inj *faultInjector) watch(ctx context.Context) {
	for {
		process := inj.node.process()
		exited := process.done()
		select {
		case <-ctx.Done():
			return
		case <-exited:
		}
		inj.mu.Lock()
		exitExpected := inj.exitExpected
		inj.mu.Unlock()
		replaced := process != inj.node.process() || exited != process.done()
		if !exitExpected && !replaced && ctx.Err() == nil {
			inj.fail("%s exited unexpectedly: %v", inj.node.Name, inj.node.ExitError())
			return
		}
		if !sleep(ctx, redialPause) {
			return
		}
	}
}
