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

// stateMachine is a voter's replica of the state that the log determines. It
// implements consensus.StateMachine over lease.Client, quota.Allocator and
// rollout.Record. Only the goroutine of consensus.Node writes the replicated state;
// other goroutines read it.
type stateMachine struct {
	log          *slog.Logger
	clock        func() time.Duration
	fence        *lease.Fence
	ownerChanged chan struct{} // receives a value after a lease changed owners; capacity 1

	onAccountsChanged func(quotaName string, accounts []quota.Delta) // called without holding mu

	mu          sync.Mutex
	leaseClient *lease.Client
	allocators  map[string]*quota.Allocator // by the quota's name
	record      rollout.Record              // replaced as a whole, never modified in place
	waiters     map[uint64]chan error       // channels of the callers that wait for a rollout command, by nonce
}

// newStateMachine creates the state machine of a voter, which competes for the
// leases that the configuration needs.
func newStateMachine(f *Fleet) (*stateMachine, error) {
	leases := []string{HealthLease}
	if len(f.quotaAgents) > 0 {
		leases = append(leases, QuotaLease)
	}
	if f.config.RolloutWindow > 0 {
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
	m.onAccountsChanged = func(quotaName string, accounts []quota.Delta) { f.quotaAgents[quotaName].mergeAccounts(accounts) }
	for quotaName, agent := range f.quotaAgents {
		m.allocators[quotaName] = quota.NewAllocator(agent.total)
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

// applyQuotaCommand applies a command to the allocator of its quota. It rejects
// commands of a former owner of QuotaLease.
func (m *stateMachine) applyQuotaCommand(c quotaCommand, index uint64) {
	m.mu.Lock()
	allocator := m.allocators[c.QuotaName]
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
	m.log.Info(eventQuotaCommandApplied, "budget", c.QuotaName, "command", string(c.Command.Kind), "member", c.Command.Target.String(), "amount", c.Command.Amount)
	m.onAccountsChanged(c.QuotaName, accounts)
}

// applyRolloutCommand applies a command to the rollout record. It rejects steps of a
// former owner of RolloutLease, and reports the outcome to the caller that waits for
// the command.
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
		delete(m.waiters, c.Nonce) // a resubmitted command may be in the log twice; the second one is rejected
	}
	record := m.record
	m.mu.Unlock()
	if err != nil {
		m.log.Warn(eventRolloutRefused, "command", string(c.Command.Kind), "token", c.Token.String(), "error", err.Error())
		return
	}
	if previous.Plan != record.Plan || previous.State.Phase != record.State.Phase || previous.State.Stage != record.State.Stage {
		m.log.Info(eventRolloutChanged, "plan", record.Plan.ID, "to", record.Plan.To, "phase", string(record.State.Phase), "stage", record.State.Stage,
			"window", record.State.Window, "entry", index, "verdict", string(record.Decision.Verdict), "reason", record.Decision.Reason)
	}
}

// checkToken returns a *lease.StaleTokenError if token is not that of the lease's
// current grant, or if the lease is free. The caller holds mu.
func (m *stateMachine) checkToken(name string, token lease.Token) error {
	if grant := m.leaseClient.Table().Grant(name); grant.Token != token || grant.Free() {
		return &lease.StaleTokenError{Lease: name, Token: token, Highest: grant.Token}
	}
	return nil
}

// rolloutRecord returns the rollout record, which the caller must not modify.
func (m *stateMachine) rolloutRecord() rollout.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record
}

// registerWaiter returns a channel that receives the outcome of the rollout command
// with a nonce. The caller must call removeWaiter.
func (m *stateMachine) registerWaiter(nonce uint64) <-chan error {
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := make(chan error, 1)
	m.waiters[nonce] = outcome
	return outcome
}

// removeWaiter removes the channel that registerWaiter added.
func (m *stateMachine) removeWaiter(nonce uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, nonce)
}

// grant returns the owner of a lease, "" if the lease is free, and the token of its
// latest grant.
func (m *stateMachine) grant(name string) (owner string, token lease.Token) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grant := m.leaseClient.Table().Grant(name)
	return grant.Owner.Member, grant.Token
}

// notifyOwnerChange logs a change of a lease's owner and signals ownerChanged. It
// admits the new token to the fence first, so that the fence knows the token before
// the owner's first action.
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

// Tick implements consensus.StateMachine. It returns the lease client's commands,
// encoded as log entries.
func (m *stateMachine) Tick(leader bool) [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return encodeLeaseCommands(m.log, m.leaseClient.Tick(m.clock(), leader))
}

// resign returns the log entries that release this voter's leases. Afterwards Tick
// proposes no lease commands.
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
		return fmt.Errorf("fleet: decode snapshot: %w", err)
	}
	if s.Leases == nil {
		s.Leases = &lease.Table{}
	}
	m.mu.Lock()
	changes := m.leaseClient.Restore(*s.Leases, m.clock())
	m.record = s.Record
	accounts := m.restoreAllocators(s.Allocators)
	m.mu.Unlock()
	for quotaName, changed := range accounts {
		m.onAccountsChanged(quotaName, changed)
	}
	for _, change := range changes {
		m.notifyOwnerChange(change)
	}
	return nil
}

// restoreAllocators replaces the allocators of the quotas that are still configured,
// and returns their accounts by the quota's name. The caller holds mu.
func (m *stateMachine) restoreAllocators(allocators map[string]*quota.Allocator) map[string][]quota.Delta {
	accounts := map[string][]quota.Delta{}
	for quotaName, allocator := range allocators {
		if m.allocators[quotaName] == nil {
			continue
		}
		m.allocators[quotaName] = allocator
		for id, account := range allocator.Accounts {
			accounts[quotaName] = append(accounts[quotaName], quota.Delta{ID: id, Account: account})
		}
	}
	return accounts
}

// holdsLease reports whether this voter may act as the owner of a lease now, and
// returns the fencing token.
func (m *stateMachine) holdsLease(name string) (lease.Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseClient.Holds(name, m.clock())
}

// freeRights returns the number of rights of a quota that are granted to no member.
// It returns 0 if m is nil.
func (m *stateMachine) freeRights(quotaName string) int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return int(m.allocators[quotaName].Free)
}

// ownsAnyLease reports whether self owns a lease according to the log.
func (m *stateMachine) ownsAnyLease(self lease.Owner) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := m.leaseClient.Table()
	return slices.ContainsFunc(table.Leases(), func(name string) bool { return table.Grant(name).Owner == self })
}
