package fleet

import (
	"context"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
)

const (
	quotaTickInterval = 100 * time.Millisecond
	proposeAgainAfter = time.Second // since the last proposals, while none of them is in the log
)

// The fleet's quotas.
const (
	Calls   = "calls"   // calls in flight at the shared dependency
	Repeats = "repeats" // retries made in any second
)

// QuotaAgent holds this member's rights of one of the fleet's quotas (package
// quota), and leads its allocator while this process owns QuotaLease. Its methods
// are safe for concurrent use.
type QuotaAgent struct {
	kind        string // name of the quota
	updateKind  byte   // first byte of its updates
	requestKind byte   // first byte of its transfer requests
	name        string // of this member
	timing      quota.Timing
	total       uint64
	log         *slog.Logger
	clock       func() time.Duration
	broadcast   func(topic string, update []byte)
	send        func(to string, message []byte)
	alive       func() []string // members that are thought to be alive
	voters      func() []string // those of them that are voters: one of them leads the allocator

	mu          sync.Mutex
	member      *quota.Member
	leader      *quota.AllocatorLeader // nil while this process does not own QuotaLease
	leaderToken lease.Token            // that it leads under
	proposedAt  time.Duration          // when commands were proposed of which none is in the log yet; 0 for none
	onRelease   func()
	onAvailable func(available uint64)
	counts      map[string]uint64 // since the last tick
}

func newQuotaAgent(kind string, updateKind, requestKind byte, total uint64, timing quota.Timing, f *Fleet, clock func() time.Duration) (*QuotaAgent, error) {
	a := &QuotaAgent{
		kind:        kind,
		updateKind:  updateKind,
		requestKind: requestKind,
		name:        f.config.Self,
		timing:      timing,
		total:       total,
		log:         f.log,
		clock:       clock,
		broadcast:   f.broadcast,
		send:        f.send,
		alive:       f.aliveMembers,
		voters:      f.aliveVoters,
		onRelease:   func() {},
		onAvailable: func(uint64) {},
		counts:      map[string]uint64{},
	}
	return a, a.startIncarnation()
}

// createQuotaAgents creates an agent for each quota that the fleet is configured with.
func (f *Fleet) createQuotaAgents() error {
	for _, q := range []struct {
		kind                    string
		updateKind, requestKind byte
		total                   uint64
	}{
		{Calls, updateCallsQuota, requestCallsTransfer, f.config.Budget},
		{Repeats, updateRetryQuota, requestRetryTransfer, f.config.Repeats},
	} {
		if q.total == 0 {
			continue
		}
		agent, err := newQuotaAgent(q.kind, q.updateKind, q.requestKind, q.total, f.config.quotaTiming(), f, f.clock)
		if err != nil {
			return err
		}
		f.quotaAgents[q.kind] = agent
	}
	return nil
}

// runQuotaAgents ticks the agents until ctx is done.
func (f *Fleet) runQuotaAgents(ctx context.Context) {
	if len(f.quotaAgents) == 0 {
		return
	}
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, agent := range f.quotaAgents {
			if proposals := agent.tick(f.stateMachine); len(proposals) > 0 {
				f.node.RunInLoop(func() [][]byte { return proposals })
			}
		}
	}
}

// QuotaAgent returns the agent of one of the fleet's quotas, nil where the fleet
// has none of that name.
func (f *Fleet) QuotaAgent(kind string) *QuotaAgent { return f.quotaAgents[kind] }

// Repeat takes one of the retries that the fleet may make, and reports whether one
// was left here. A fleet without such a quota has no bound.
func (f *Fleet) Repeat() bool {
	agent := f.quotaAgents[Repeats]
	if agent == nil {
		return true
	}
	release, ok := agent.TryAcquire()
	if ok {
		time.AfterFunc(f.config.retryHoldTime(), release)
	}
	return ok
}

// startIncarnation replaces the member by a new incarnation, which has no rights and
// knows what the one before knew of the others. The lock is held, or not needed.
func (a *QuotaAgent) startIncarnation() error {
	incarnation := newIncarnation()
	id := quota.ID{Member: a.name, Incarnation: incarnation}
	member, err := quota.NewMember(id, a.timing, mathrand.New(mathrand.NewPCG(incarnation, 1)))
	if err != nil {
		return fmt.Errorf("fleet: quota of %s: %w", a.kind, err)
	}
	if a.member != nil {
		for _, delta := range stateDeltas(a.member.State()) {
			member.Merge(delta)
		}
	}
	a.member = member
	return nil
}

// TryAcquire takes a right for one more call, if one is available. Call release
// once, when the call has ended and can't be at the dependency any more; that has
// to be within the configuration's Hold.
func (a *QuotaAgent) TryAcquire() (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	member := a.member // a right goes back to the incarnation that it is of
	if !member.TryAcquire(a.clock()) {
		return nil, false
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		member.Release()
	}, true
}

// OnRelease sets a function that is called from another goroutine whenever more
// rights may be available.
func (a *QuotaAgent) OnRelease(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onRelease = f
}

// OnAvailable sets a function that is called from another goroutine ten times a
// second with the number of rights that this member may use: none where its
// heartbeats have not been acknowledged for too long.
func (a *QuotaAgent) OnAvailable(f func(available uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onAvailable = f
}

// ReportDemand sets how many rights the member would use if it had them.
func (a *QuotaAgent) ReportDemand(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.ReportDemand(uint64(max(0, n)))
}

// AddToCounter adds one to a counter of the whole fleet's.
func (a *QuotaAgent) AddToCounter(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[name]++
}

// CounterValue returns what all members have counted, as far as this one knows.
func (a *QuotaAgent) CounterValue(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.State().CounterValue(name)
}

// Usage returns how many rights this member has, and how many of them are in use.
func (a *QuotaAgent) Usage() (rights, used uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.Rights(), a.member.InUse()
}

// mergeAccounts merges accounts that the log changed. All members are sent the
// fenced ones, each other member its own.
func (a *QuotaAgent) mergeAccounts(accounts []quota.Delta) {
	a.mu.Lock()
	a.proposedAt = 0
	for _, account := range accounts {
		a.member.Merge(account)
	}
	a.mu.Unlock()
	var fenced, live []quota.Delta
	for _, account := range accounts {
		if account.Account.Fenced {
			fenced = append(fenced, account)
		} else {
			live = append(live, account)
		}
	}
	a.broadcastAll(fenced)
	a.sendToOwners(live)
}

// tick sends the member's messages. Where this process owns QuotaLease, by m, it
// returns the allocator leader's commands as entries for the log. m is nil in a
// member that is no voter.
func (a *QuotaAgent) tick(m *stateMachine) [][]byte {
	a.mu.Lock()
	now := a.clock()
	a.addCounts()
	a.restartIfFenced()
	messages := a.member.Tick(now)
	commands, acknowledgements := a.tickLeader(now, m)
	token := a.leaderToken
	onRelease, onAvailable, available := a.onRelease, a.onAvailable, a.member.Available(now)
	a.mu.Unlock()

	a.sendHeartbeat(messages.Broadcast)
	a.sendToOwners(acknowledgements)
	if messages.Request != nil {
		a.requestTransfer(*messages.Request, messages.RequestTo)
	}
	for _, transfer := range messages.Transfers {
		if update := a.encodeUpdate(transfer.Delta); update != nil {
			a.send(transfer.To.Member, update)
		}
	}
	onRelease()
	onAvailable(available)
	entries := make([]command, len(commands))
	for i := range commands {
		entries[i].Quota = &quotaCommand{Budget: a.kind, Token: token, Command: commands[i]}
	}
	return encodeCommands(a.log, entries...)
}

// addCounts adds what was counted since the last tick to the fleet's counters. The
// lock is held.
func (a *QuotaAgent) addCounts() {
	for name, n := range a.counts {
		a.member.AddToCounter(name, n, 0)
	}
	clear(a.counts)
}

// restartIfFenced starts a new incarnation where this one is fenced. The lock is held.
func (a *QuotaAgent) restartIfFenced() {
	if !a.member.Fenced() {
		return
	}
	a.log.Warn(eventQuotaMemberFenced, "budget", a.kind, "member", a.name)
	if err := a.startIncarnation(); err != nil {
		a.log.Error(eventQuotaStartFailed, "error", err.Error())
	}
}

// tickLeader ticks the allocator's leader, if this process owns QuotaLease. It
// returns the commands to propose, and the accounts that acknowledge heartbeats. The
// lock is held.
func (a *QuotaAgent) tickLeader(now time.Duration, m *stateMachine) (commands []quota.Command, acknowledgements []quota.Delta) {
	if !a.electLeader(now, m) {
		return nil, nil
	}
	m.mu.Lock()
	commands, acknowledgements = a.leader.Tick(now, a.member.State(), m.allocators[a.kind])
	m.mu.Unlock()
	for _, account := range acknowledgements {
		a.member.Merge(account)
	}
	if len(commands) == 0 || a.proposedAt != 0 && now-a.proposedAt < proposeAgainAfter {
		return nil, acknowledgements
	}
	a.proposedAt = now
	return commands, acknowledgements
}

// electLeader creates the allocator's leader when this process has got QuotaLease,
// and drops it when the lease is lost. It reports whether there is one. The lock is
// held.
func (a *QuotaAgent) electLeader(now time.Duration, m *stateMachine) bool {
	token, owns := lease.Token{}, false
	if m != nil {
		token, owns = m.holds(QuotaLease)
	}
	if !owns {
		a.leader = nil
		return false
	}
	if a.leader == nil || a.leaderToken != token {
		a.leader, a.leaderToken, a.proposedAt = quota.NewAllocatorLeader(a.total, a.timing, now), token, 0
	}
	return true
}
