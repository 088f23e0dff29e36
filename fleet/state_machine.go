package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
	"quincerail.example/quincerail/fleet/quota"
	"quincerail.example/quincerail/fleet/rollout"
)

// stateMachine is a voter's replica of what the log decides: consensus.StateMachine
// over lease.Client, quota.Allocator and rollout.Record. The log's goroutine writes
// it; the others read it.
type stateMachine struct {
	log          *slog.Logger
	clock        func() time.Duration
	fence        *lease.Fence
	ownerChanged chan struct{} // has an item after a lease changed owners

	onAccountsChanged func(budget string, accounts []quota.Delta) // called without the lock

	mu          sync.Mutex
	leaseClient *lease.Client
	allocators  map[string]*quota.Allocator // by quota
	record      rollout.Record              // replaced, never written into
	waiters     map[uint64]chan error       // operators' commands whose callers wait, by nonce
}

// newStateMachine creates the state machine of a voter that may own the leases of
// the work that the fleet is configured for.
func newStateMachine(f *Fleet) (*stateMachine, error) {
	leases := []string{HealthLease}
	if len(f.quotaAgents) > 0 {
		leases = append(leases, QuotaLease)
	}
	if f.config.Window > 0 {
		leases = append(leases, RolloutLease)
	}
	client, err := lease.NewClient(f.self, f.config.leaseTiming(), leases)
	if err != nil {
		return nil, err
	}
	m := &stateMachine{
		log:          f.log,
		clock:        f.clock,
		fence:        f.fence,
		ownerChanged: make(chan struct{}, 1),
		leaseClient:  client,
		allocators:   map[string]*quota.Allocator{},
		waiters:      map[uint64]chan error{},
	}
	m.onAccountsChanged = func(budget string, accounts []quota.Delta) { f.quotaAgents[budget].mergeAccounts(accounts) }
	for budget, agent := range f.quotaAgents {
		m.allocators[budget] = quota.NewAllocator(agent.total)
	}
	return m, nil
}

// Apply implements consensus.StateMachine.
func (m *stateMachine) Apply(data []byte, term, index uint64) {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		m.log.Error(eventCommandUnreadable, "index", index, "error", err.Error())
		return
	}
	switch {
	case c.Quota != nil:
		m.applyQuotaCommand(*c.Quota, index)
	case c.Rollout != nil:
		m.applyRolloutCommand(*c.Rollout, index)
	case c.Command != nil:
		m.applyLeaseCommand(*c.Command, lease.Token{Term: term, Index: index})
	}
}

func (m *stateMachine) applyLeaseCommand(c lease.Command, token lease.Token) {
	m.mu.Lock()
	change := m.leaseClient.Apply(c, token, m.clock())
	m.mu.Unlock()
	if change != nil {
		m.notifyOwnerChange(*change)
	}
}

// applyQuotaCommand applies a command to the allocator of its quota, unless a former
// owner of QuotaLease sent it.
func (m *stateMachine) applyQuotaCommand(c quotaCommand, index uint64) {
	m.mu.Lock()
	allocator := m.allocators[c.Budget]
	if allocator == nil {
		m.mu.Unlock()
		return
	}
	var accounts []quota.Delta
	err := m.checkToken(QuotaLease, c.Token)
	if err == nil {
		accounts, err = allocator.Apply(c.Command, index)
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Debug(eventQuotaCommandRefused, "error", err.Error())
		return
	}
	m.log.Info(eventQuotaCommandApplied, "budget", c.Budget, "command", string(c.Command.Kind), "member", c.Command.Target.String(), "amount", c.Command.Amount)
	m.onAccountsChanged(c.Budget, accounts)
}

// applyRolloutCommand applies a command to the record of rollouts, unless it is a
// step that a former owner of RolloutLease sent. It answers the caller who waits.
func (m *stateMachine) applyRolloutCommand(c rolloutCommand, index uint64) {
	m.mu.Lock()
	previous := m.record
	var err error
	if c.Command.Kind == rollout.Step {
		err = m.checkToken(RolloutLease, c.Token)
	}
	if err == nil {
		m.record, err = previous.Apply(c.Command, index)
	}
	if outcome := m.waiters[c.Nonce]; outcome != nil {
		outcome <- err
		delete(m.waiters, c.Nonce) // the command may be in the log twice; the second is refused
	}
	record := m.record
	m.mu.Unlock()
	if err != nil {
		m.log.Warn(eventRolloutRefused, "order", string(c.Command.Kind), "token", c.Token.String(), "error", err.Error())
		return
	}
	if previous.Plan != record.Plan || previous.State.Phase != record.State.Phase || previous.State.Stage != record.State.Stage {
		m.log.Info(eventRolloutChanged, "plan", record.Plan.ID, "to", record.Plan.To, "phase", string(record.State.Phase), "stage", record.State.Stage,
			"window", record.State.Window, "entry", index, "verdict", string(record.Decision.Verdict), "reason", record.Decision.Reason)
	}
}

// checkToken returns a *lease.StaleTokenError for a token that is not that of a
// lease's present grant. The lock is held.
func (m *stateMachine) checkToken(name string, token lease.Token) error {
	if grant := m.leaseClient.Table().Grant(name); grant.Token != token || grant.Free() {
		return &lease.StaleTokenError{Lease: name, Token: token, Highest: grant.Token}
	}
	return nil
}

// rolloutRecord returns the record of rollouts.
func (m *stateMachine) rolloutRecord() rollout.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record
}

// registerWaiter returns the channel that the outcome of an operator's command will
// be sent to.
func (m *stateMachine) registerWaiter(nonce uint64) <-chan error {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := make(chan error, 1)
	m.waiters[nonce] = outcome
	return outcome
}

// removeWaiter undoes registerWaiter.
func (m *stateMachine) removeWaiter(nonce uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, nonce)
}

// grant returns a lease's owner, "" where it is free, and the token of its grant.
func (m *stateMachine) grant(name string) (owner string, token lease.Token) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grant := m.leaseClient.Table().Grant(name)
	return grant.Owner.Member, grant.Token
}

// notifyOwnerChange reports that a lease changed owners: to the log, to the fence,
// which then knows the token before the owner's first act, and to the worker.
func (m *stateMachine) notifyOwnerChange(change lease.OwnerChange) {
	if change.To.Member != "" {
		if err := m.fence.Admit(change.Lease, change.Token); err != nil {
			m.log.Error(eventTokenDecreased, "error", err.Error())
		}
	}
	m.log.Info(eventLeaseOwnerChanged, "lease", change.Lease, "from", change.From.Member, "to", change.To.Member, "token", change.Token.String())
	select {
	case m.ownerChanged <- struct{}{}:
	default:
	}
}

// Tick implements consensus.StateMachine: the leader proposes what the lease client
// sends.
func (m *stateMachine) Tick(leader bool) [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return encodeLeaseCommands(m.log, m.leaseClient.Tick(m.clock(), leader))
}

// resign gives up this voter's leases for good.
func (m *stateMachine) resign() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return encodeLeaseCommands(m.log, m.leaseClient.Resign(m.clock()))
}

// Snapshot implements consensus.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(snapshot{Leases: m.leaseClient.Table(), Allocators: m.allocators, Record: m.record})
}

// Restore implements consensus.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: restore a snapshot: %w", err)
	}
	if s.Leases == nil {
		s.Leases = &lease.Table{}
	}
	m.mu.Lock()
	changes := m.leaseClient.Restore(*s.Leases, m.clock())
	m.record = s.Record
	accounts := m.restoreAllocators(s.Allocators)
	m.mu.Unlock()
	for budget, changed := range accounts {
		m.onAccountsChanged(budget, changed)
	}
	for _, change := range changes {
		m.notifyOwnerChange(change)
	}
	return nil
}

// restoreAllocators replaces the allocators of the quotas that the fleet still has,
// and returns their accounts. The lock is held.
func (m *stateMachine) restoreAllocators(allocators map[string]*quota.Allocator) map[string][]quota.Delta {
	accounts := map[string][]quota.Delta{}
	for budget, allocator := range allocators {
		if m.allocators[budget] == nil {
			continue
		}
		m.allocators[budget] = allocator
		for id, account := range allocator.Accounts {
			accounts[budget] = append(accounts[budget], quota.Delta{ID: id, Account: account})
		}
	}
	return accounts
}

// holds reports whether this voter may act as a lease's owner now.
func (m *stateMachine) holds(name string) (lease.Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseClient.Holds(name, m.clock())
}

// freeRights returns how many rights of a quota nobody holds; 0 where m is nil.
func (m *stateMachine) freeRights(budget string) int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return int(m.allocators[budget].Free)
}

// ownsAnyLease reports whether the log has this voter as the owner of a lease.
func (m *stateMachine) ownsAnyLease(self lease.Owner) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := m.leaseClient.Table()
	return slices.ContainsFunc(table.Leases(), func(name string) bool { return table.Grant(name).Owner == self })
}
