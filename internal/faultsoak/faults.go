package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlTimeout = time.Second
	// lastMoments before a kill a node is not paused: one that stands still when it is
	// killed can't answer.
	lastMoments = 1200 * time.Millisecond
	crowdSize   = 200
)

// operator plays faults on one node. Each kind has a goroutine of its own, so that they
// overlap.
type operator struct {
	node    *Node
	history *History
	clients *population
	crowds  bool                             // of clients that ask
	fail    func(format string, args ...any) // a step that must succeed did not

	configuring sync.Mutex // the configuration file may be spoilt
	wallSeconds int64      // by which Unix time is off; of the loop of system faults alone

	mu     sync.Mutex
	killAt time.Time // of a drain; zero else
	// expected is set while the process may end.
	expected bool
}

// fault plays once and returns when it is over.
type fault func(ctx context.Context, o *operator, rng *rand.Rand)

// faultLoop draws one of its faults again and again.
type faultLoop struct {
	least, most time.Duration // between two of them
	faults      []fault
}

// faultLoops lists what each node suffers: a loop draws one of its faults again and
// again, with pauses between least and most.
var faultLoops = []faultLoop{
	{300 * time.Millisecond, 4 * time.Second, []fault{shortPause, shortPause, longPause}},
	{4 * time.Second, 12 * time.Second, []fault{restart, upgrade, upgrade, crash}},
	{500 * time.Millisecond, 4 * time.Second, []fault{processorResets, processorSilent, processorRefuses}},
	{time.Second, 5 * time.Second, []fault{ledgerResets, ledgerSilent, ledgerRefuses}},
	{time.Second, 5 * time.Second, []fault{announceResets, announceSilent, announceRefuses}},
	{time.Second, 6 * time.Second, []fault{reloadGood, reloadSpoilt, reloadCut}},
	{2 * time.Second, 8 * time.Second, []fault{sendAway}},
	{2 * time.Second, 8 * time.Second, []fault{crowd}},
}

// crowdLoop is what a node suffers beside where there are crowds.
var crowdLoop = faultLoop{time.Second, 4 * time.Second, []fault{askingCrowd}}

// play starts all loops of a node. They end with ctx.
func (o *operator) play(ctx context.Context, rngs func() *rand.Rand, done *sync.WaitGroup) {
	loops := faultLoops
	if o.node.Faults {
		loops = append(slices.Clone(loops), systemLoop)
	}
	if o.crowds {
		loops = append(slices.Clone(loops), crowdLoop)
	}
	for _, loop := range loops {
		rng := rngs()
		done.Go(func() {
			for pause(ctx, between(rng, loop.least, loop.most)) {
				loop.faults[rng.IntN(len(loop.faults))](ctx, o, rng)
			}
		})
	}
}

func (o *operator) record(kind EventKind) {
	o.history.Add(Event{Node: o.node.Name, Kind: kind, At: time.Now()})
}

// --- The process ---

func shortPause(_ context.Context, o *operator, rng *rand.Rand) {
	o.pause(between(rng, 60*time.Millisecond, 400*time.Millisecond))
}

func longPause(_ context.Context, o *operator, rng *rand.Rand) {
	o.pause(between(rng, 700*time.Millisecond, 2500*time.Millisecond))
}

// pause has the process stand still.
func (o *operator) pause(d time.Duration) {
	o.mu.Lock()
	ends := o.killAt
	o.mu.Unlock()
	if !ends.IsZero() && time.Until(ends) < d+lastMoments {
		return
	}
	at, process := time.Now(), o.node.process()
	if process.signal(syscall.SIGSTOP) != nil {
		return // it has ended
	}
	time.Sleep(d)
	_ = process.signal(syscall.SIGCONT) // it may have been killed
	o.history.Add(Event{Node: o.node.Name, Kind: Paused, At: at, Till: time.Now()})
}

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

func (o *operator) launch() (listens bool) {
	o.configuring.Lock()
	defer o.configuring.Unlock()
	if err := o.node.Launch(); err != nil {
		o.fail("%v", err)
		return false
	}
	o.record(Restarted)
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

// --- The parties around it ---

// disturb plays one fault of a relay.
func (o *operator) disturb(ctx context.Context, relay *Relay, kind EventKind, mode RelayMode, d time.Duration) {
	o.record(kind)
	relay.SetMode(mode)
	pause(ctx, d)
	relay.SetMode(Forward)
}

// resets resets a relay's connections again and again.
func (o *operator) resets(ctx context.Context, relay *Relay, kind EventKind, rng *rand.Rand) {
	o.record(kind)
	for range 1 + rng.IntN(12) {
		relay.Reset()
		if !pause(ctx, between(rng, 20*time.Millisecond, 500*time.Millisecond)) {
			return
		}
	}
}

func outage(rng *rand.Rand) time.Duration {
	return between(rng, 100*time.Millisecond, 3*time.Second)
}

func processorResets(ctx context.Context, o *operator, rng *rand.Rand) {
	o.resets(ctx, o.node.ProcessorRelay(), ProcessorBad, rng)
}

func processorSilent(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.ProcessorRelay(), ProcessorBad, Silent, outage(rng))
}

func processorRefuses(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.ProcessorRelay(), ProcessorBad, Refuse, outage(rng))
}

func ledgerResets(ctx context.Context, o *operator, rng *rand.Rand) {
	o.resets(ctx, o.node.LedgerRelay, LedgerBad, rng)
}

func ledgerSilent(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.LedgerRelay, LedgerBad, Silent, outage(rng))
}

func ledgerRefuses(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.LedgerRelay, LedgerBad, Refuse, outage(rng))
}

func announceResets(ctx context.Context, o *operator, rng *rand.Rand) {
	o.resets(ctx, o.node.AnnounceRelay, AnnounceBad, rng)
}

func announceSilent(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.AnnounceRelay, AnnounceBad, Silent, outage(rng))
}

func announceRefuses(ctx context.Context, o *operator, rng *rand.Rand) {
	o.disturb(ctx, o.node.AnnounceRelay, AnnounceBad, Refuse, outage(rng))
}

// --- Operators' steps ---

func (o *operator) reload(write error) {
	if write != nil {
		o.fail("%v", write)
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

// sendAway has callers sent away and fetched back.
func sendAway(ctx context.Context, o *operator, rng *rand.Rand) {
	if callOperators(o.node.Control(), "drain-on") {
		o.record(SentAway)
	}
	pause(ctx, between(rng, 200*time.Millisecond, 5*time.Second))
	if callOperators(o.node.Control(), "drain-off") {
		o.record(FetchedBack)
	}
}

// callOperators makes one operators' call. A process that stands still or is down
// answers none.
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

// askingCrowd has many clients come at a time, ask and stay for a while.
func askingCrowd(ctx context.Context, o *operator, rng *rand.Rand) {
	o.record(Crowded)
	var clients sync.WaitGroup
	for range crowdSize/2 + rng.IntN(crowdSize/2) {
		draws := rand.New(rand.NewPCG(rng.Uint64(), 0))
		clients.Go(func() { o.clients.once(ctx, asking, draws) })
	}
	clients.Wait()
}
