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
	reproposeInterval = time.Second // time until commands are proposed again if the log has applied none of the previous ones
)

// Names of the fleet's quotas, as used in the log and in metrics.
const (
	CallQuota  = "calls"   // calls in flight at the shared dependency
	RetryQuota = "repeats" // retries made in any second
)

// QuotaAgent holds this member's rights to one of the fleet's quotas (package quota).
// While this process owns QuotaLease, the agent also runs the allocator's leader. Its
// methods are safe for concurrent use.
type QuotaAgent struct {
	quotaName    string // CallQuota or RetryQuota
	updateKind   byte   // first byte of the quota's updates
	requestKind  byte   // first byte of the quota's transfer requests
	memberName   string // name of this member
	timing       quota.Timing
	total        uint64
	log          *slog.Logger
	clock        func() time.Duration
	broadcast    func(topic string, update []byte)
	send         func(to string, message []byte)
	aliveMembers func() []string // names of the members that gossip considers alive
	aliveVoters  func() []string // names of the voters among them; one of the voters runs the allocator's leader

	mu            sync.Mutex
	member        *quota.Member
	leader        *quota.AllocatorLeader // nil unless this process owned QuotaLease at the last tick
	leaderToken   lease.Token            // token of QuotaLease that leader was created for
	proposedAt    time.Duration          // time of the last proposal; 0 if there was none since the log last changed an account
	onRelease     func()
	onAvailable   func(available uint64)
	pendingCounts map[string]uint64 // increments of the fleet's counters since the last tick
}

func newQuotaAgent(name string, updateKind, requestKind byte, total uint64, timing quota.Timing, f *Fleet, clock func() time.Duration) (*QuotaAgent, error) {
	a := &QuotaAgent{
		quotaName:     name,
		updateKind:    updateKind,
		requestKind:   requestKind,
		memberName:    f.config.Self,
		timing:        timing,
		total:         total,
		log:           f.log,
		clock:         clock,
		broadcast:     f.broadcast,
		send:          f.send,
		aliveMembers:  f.aliveMembers,
		aliveVoters:   f.aliveVoters,
		onRelease:     func() {},
		onAvailable:   func(uint64) {},
		pendingCounts: map[string]uint64{},
	}
	return a, a.startIncarnation()
}

// createQuotaAgents creates an agent for each quota with a configured bound.
func (f *Fleet) createQuotaAgents() error {
	for _, q := range []struct {
		name                    string
		updateKind, requestKind byte
		total                   uint64
	}{
		{CallQuota, updateCallsQuota, requestCallsTransfer, f.config.MaxCalls},
		{RetryQuota, updateRetryQuota, requestRetryTransfer, f.config.MaxRetriesPerSecond},
	} {
		if q.total == 0 {
			continue
		}
		agent, err := newQuotaAgent(q.name, q.updateKind, q.requestKind, q.total, f.config.quotaTiming(), f, f.clock)
		if err != nil {
			return err
		}
		f.quotaAgents[q.name] = agent
	}
	return nil
}

// runQuotaAgents calls tick of each agent in each quotaTickInterval until ctx is done.
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

// QuotaAgent returns the agent of a quota, CallQuota or RetryQuota. It returns nil if
// that quota is not configured.
func (f *Fleet) QuotaAgent(name string) *QuotaAgent { return f.quotaAgents[name] }

// AcquireRetry acquires a right for one retry and reports whether one was available at
// this member. The right is released after retryHoldTime. If retries are not bounded,
// AcquireRetry always returns true.
func (f *Fleet) AcquireRetry() bool {
	agent := f.quotaAgents[RetryQuota]
	if agent == nil {
		return true
	}
	release, ok := agent.TryAcquire()
	if ok {
		time.AfterFunc(f.config.retryHoldTime(), release)
	}
	return ok
}

// startIncarnation replaces the member by a new incarnation, which has no rights but
// keeps the previous one's knowledge of the other members. The caller holds mu, or is
// the constructor.
func (a *QuotaAgent) startIncarnation() error {
	incarnation := newIncarnation()
	id := quota.ID{Member: a.memberName, Incarnation: incarnation}
	member, err := quota.NewMember(id, a.timing, mathrand.New(mathrand.NewPCG(incarnation, 1)))
	if err != nil {
		return fmt.Errorf("fleet: quota of %s: %w", a.quotaName, err)
	}
	if a.member != nil {
		for _, delta := range stateDeltas(a.member.State()) {
			member.Merge(delta)
		}
	}
	a.member = member
	return nil
}

// TryAcquire acquires a right for one call or retry if one is available. The caller
// must call release exactly once, when the dependency can no longer be running the
// call, and at most Config.MaxCallDuration after TryAcquire.
func (a *QuotaAgent) TryAcquire() (release func(), ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	member := a.member // release returns the right to the incarnation that it was acquired from
	if !member.TryAcquire(a.clock()) {
		return nil, false
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		member.Release()
	}, true
}

// OnRelease sets a function that is called from another goroutine when rights may
// have become available.
func (a *QuotaAgent) OnRelease(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onRelease = f
}

// OnAvailable sets a function that is called from another goroutine in each
// quotaTickInterval with the number of rights that this member may use. The number is
// 0 if the member's last acknowledged heartbeat is too old, so that no right is in use
// after Config.SessionTimeout.
func (a *QuotaAgent) OnAvailable(f func(available uint64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onAvailable = f
}

// ReportDemand sets the number of rights that the member would use if it had them. A
// negative number counts as 0.
func (a *QuotaAgent) ReportDemand(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.member.ReportDemand(uint64(max(0, n)))
}

// AddToCounter adds one to a fleet-wide counter. The next tick passes the
// change to the member, whose next heartbeat publishes it.
func (a *QuotaAgent) AddToCounter(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingCounts[name]++
}

// CounterValue returns the sum of a counter over all members, as far as this member
// has received their updates.
func (a *QuotaAgent) CounterValue(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.State().CounterValue(name)
}

// Usage returns how many rights this member holds, and how many of them are in use.
func (a *QuotaAgent) Usage() (rights, used uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member.Rights(), a.member.InUse()
}

// mergeAccounts merges accounts that the log changed. It broadcasts the fenced accounts
// to all members, and sends each of the rest only to the member that it belongs to.
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

// tick sends the member's messages and calls the callbacks of OnRelease and
// OnAvailable. If this process owns QuotaLease according to m, tick returns the
// allocator leader's commands as log entries. m is nil if this member is not a voter.
func (a *QuotaAgent) tick(m *stateMachine) [][]byte {
	a.mu.Lock()
	now := a.clock()
	a.flushCounts()
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
		entries[i].Quota = &quotaCommand{QuotaName: a.quotaName, Token: token, Command: commands[i]}
	}
	return encodeCommands(a.log, entries...)
}

// flushCounts adds pendingCounts to the member's counters and clears it. The caller
// holds mu.
func (a *QuotaAgent) flushCounts() {
	for name, n := range a.pendingCounts {
		a.member.AddToCounter(name, n, 0)
	}
	clear(a.pendingCounts)
}

// restartIfFenced starts a new incarnation if the current one is fenced. The caller
// holds mu.
func (a *QuotaAgent) restartIfFenced() {
	if !a.member.Fenced() {
		return
	}
	a.log.Warn(eventQuotaMemberFenced, "budget", a.quotaName, "member", a.memberName)
	if err := a.startIncarnation(); err != nil {
		a.log.Error(eventQuotaStartFailed, "error", err.Error())
	}
}

// tickLeader ticks the allocator's leader if this process owns QuotaLease. It returns
// the commands to propose, and the accounts that acknowledge heartbeats. After it has
// returned commands, it returns none for reproposeInterval or until the log changes an
// account, because the earlier ones may still reach the log. The caller holds mu.
func (a *QuotaAgent) tickLeader(now time.Duration, m *stateMachine) (commands []quota.Command, acknowledgements []quota.Delta) {
	if !a.updateLeader(now, m) {
		return nil, nil
	}
	m.mu.Lock()
	commands, acknowledgements = a.leader.Tick(now, a.member.State(), m.allocators[a.quotaName])
	m.mu.Unlock()
	for _, account := range acknowledgements {
		a.member.Merge(account)
	}
	if len(commands) == 0 || a.proposedAt != 0 && now-a.proposedAt < reproposeInterval {
		return nil, acknowledgements
	}
	a.proposedAt = now
	return commands, acknowledgements
}

// updateLeader creates the allocator's leader when this process has acquired
// QuotaLease, drops it when the process has lost the lease, and reports whether there
// is a leader. The caller holds mu.
func (a *QuotaAgent) updateLeader(now time.Duration, m *stateMachine) bool {
	token, owns := lease.Token{}, false
	if m != nil {
		token, owns = m.holdsLease(QuotaLease)
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
