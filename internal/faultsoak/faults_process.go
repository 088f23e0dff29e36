package faultsoak

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"
)

func shortPause(_ context.Context, o *operator, rng *rand.Rand) {
	o.pause(between(rng, 60*time.Millisecond, 400*time.Millisecond))
}

func longPause(_ context.Context, o *operator, rng *rand.Rand) {
	o.pause(between(rng, 700*time.Millisecond, 2500*time.Millisecond))
}

// pause stops the process by SIGSTOP for a time, unless it is about to be killed.
func (o *operator) pause(d time.Duration) {
	o.mu.Lock()
	killAt := o.killAt
	o.mu.Unlock()
	if !killAt.IsZero() && time.Until(killAt) < d+lastMoments {
		return
	}
	at, process := time.Now(), o.node.process()
	if process.signal(syscall.SIGSTOP) != nil {
		return // it has ended
	}
	time.Sleep(d)
	_ = process.signal(syscall.SIGCONT) // it may have been killed
	o.history.Add(Event{Node: o.node.Name, Kind: Paused, At: at, Until: time.Now()})
}

// expect records whether the process may end, and when it is killed (zero: not, or at once).
func (o *operator) expect(ended bool, killAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expected, o.killAt = ended, killAt
}

// restart drains the process, kills it when the platform would, and starts another. The
// notice may be one of a series of signals, and the new process may get its own right away.
func restart(ctx context.Context, o *operator, rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		if !o.restartOnce(ctx, rng) || rng.IntN(2) == 0 {
			return
		}
		if !pause(ctx, between(rng, 0, 400*time.Millisecond)) {
			return
		}
	}
}

// restartOnce reports whether the new process listens.
func (o *operator) restartOnce(ctx context.Context, rng *rand.Rand) (listens bool) {
	process := o.node.process()
	o.signalSeries(ctx, process, rng)
	notice := time.Now()
	o.expect(true, notice.Add(LongestStop))
	o.history.Add(Event{Node: o.node.Name, Kind: Terminated, At: notice})
	byItself, err := process.stop()
	switch {
	case err != nil:
		o.fail("%v", err)
		return false
	case byItself:
		o.record(Exited)
	default:
		o.record(Killed)
	}
	return o.launch()
}

// signalSeries sends signals to a process that is about to be told to stop: one before, and
// others beside until it has ended.
func (o *operator) signalSeries(ctx context.Context, process *process, rng *rand.Rand) {
	series := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT}
	if rng.IntN(2) == 0 {
		return
	}
	if rng.IntN(2) == 0 {
		_ = process.signal(syscall.SIGHUP) // it may have ended
	}
	seed, exited := rng.Uint64(), process.done()
	go func() {
		o.record(Signalled)
		draws := rand.New(rand.NewPCG(seed, 0))
		for range 1 + draws.IntN(6) {
			if !pause(ctx, between(draws, 2*time.Millisecond, 900*time.Millisecond)) {
				return
			}
			select {
			case <-exited: // it may have been started anew
				return
			default:
			}
			_ = process.signal(series[draws.IntN(len(series))]) // likewise
		}
	}()
}

// upgrade has a new process take over. A node whose processes inherit no socket is
// restarted.
func upgrade(ctx context.Context, o *operator, rng *rand.Rand) {
	if !o.node.Inherit {
		restart(ctx, o, rng)
		return
	}
	o.configuring.Lock()
	defer o.configuring.Unlock()
	// The old process may be killed as long after this as the new one takes to get ready.
	o.expect(true, time.Now().Add(LongestStop))
	o.record(Upgraded)
	switch err := o.node.Upgrade(); {
	case errors.Is(err, ErrNotReady):
		o.record(Crashed) // the new one, which was ended
	case err != nil:
		o.fail("%v", err)
	}
	o.expect(false, time.Time{})
}

// crash kills the process without notice and starts another.
func crash(_ context.Context, o *operator, _ *rand.Rand) {
	o.expect(true, time.Time{})
	o.record(Crashed)
	o.node.Kill()
	o.launch()
}

// launch starts the process anew, and reports whether it listens. The event counts from
// before the start: the former process has ended, and what runs from then on runs in the
// new one, which serves before this goroutine hears of it.
func (o *operator) launch() (listens bool) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	began := time.Now()
	if err := o.node.Launch(); err != nil {
		o.fail("%v", err)
		return false
	}
	o.history.Add(Event{Node: o.node.Name, Kind: Restarted, At: began})
	o.expect(false, time.Time{})
	return true
}

// watch reports a process that ends though nobody ended it.
func (o *operator) watch(ctx context.Context) {
	for {
		process := o.node.process()
		exited := process.done()
		select {
		case <-ctx.Done():
			return
		case <-exited:
		}
		o.mu.Lock()
		expected := o.expected
		o.mu.Unlock()
		replaced := process != o.node.process() || exited != process.done()
		if !expected && !replaced && ctx.Err() == nil {
			o.fail("%s ended by itself: %v", o.node.Name, o.node.Ended())
			return
		}
		if !pause(ctx, redialPause) {
			return
		}
	}
}
