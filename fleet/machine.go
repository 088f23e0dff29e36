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

// command is an entry of the log: one about a lease, or an order for the bank.
// The tag makes the embedded *lease.Command a member of its own, "lease", whatever
// the type is called.
type command struct {
	*lease.Command `json:"lease,omitempty"`
	Quota          *quotaCommand   `json:"bank,omitempty"`
	Rollout        *rolloutCommand `json:"rollout,omitempty"`
}

// rolloutCommand is an order for the record of changes: a step under the token of
// the lease Rollout, or an operator's, who waits for what comes of its nonce.
type rolloutCommand struct {
	Token   lease.Token     `json:"token,omitzero"`
	Nonce   uint64          `json:"nonce,omitempty"`
	Command rollout.Command `json:"order"`
}

// quotaCommand is an order for the bank of a budget, under the token of the lease Bank: the
// log refuses what a late-waking old owner sends.
type quotaCommand struct {
	Budget  string        `json:"of"`
	Token   lease.Token   `json:"token"`
	Command quota.Command `json:"order"`
}

// snapshot is what the log came to.
type snapshot struct {
	Leases     *lease.Table                `json:"leases"`
	Allocators map[string]*quota.Allocator `json:"banks,omitempty"`
	Record     rollout.Record              `json:"rollout"`
}

// stateMachine is what a voter has under its log: consensus.StateMachine over
// lease.Client and quota.Bank.
type stateMachine struct {
	log          *slog.Logger
	clock        func() time.Duration
	fence        *lease.Fence
	ownerChanged chan struct{} // has an item when a lease changed owners

	onAccountsChanged func(budget string, accounts []quota.Delta) // takes what a bank changed

	mu          sync.Mutex // the worker asks from its own goroutine
	leaseClient *lease.Client
	allocators  map[string]*quota.Allocator // by budget
	record      rollout.Record              // of changes
	waiters     map[uint64]chan error       // operators that wait, by their orders' nonces
}

// Apply implements consensus.StateMachine.
func (m *stateMachine) Apply(data []byte, term, index uint64) {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		m.log.Error("fleet_command_unreadable", "index", index, "error", err.Error())
		return
	}
	if c.Quota != nil {
		m.applyQuotaCommand(*c.Quota, index)
		return
	}
	if c.Rollout != nil {
		m.applyRolloutCommand(*c.Rollout, index)
		return
	}
	if c.Command == nil {
		return
	}
	m.mu.Lock()
	move := m.leaseClient.Apply(*c.Command, lease.Token{Term: term, Index: index}, m.clock())
	m.mu.Unlock()
	if move != nil {
		m.notifyOwnerChange(*move)
	}
}

// applyQuotaCommand has the bank take in an applyQuotaCommand, unless it is an old owner's.
func (m *stateMachine) applyQuotaCommand(o quotaCommand, index uint64) {
	m.mu.Lock()
	bank := m.allocators[o.Budget]
	if bank == nil {
		m.mu.Unlock()
		return
	}
	var items []quota.Delta
	err := m.checkToken(QuotaLease, o.Token)
	if err == nil {
		items, err = bank.Apply(o.Command, index)
	}
	m.mu.Unlock()
	if err != nil {
		m.log.Debug("quota_command_refused", "error", err.Error())
		return
	}
	m.log.Info("quota_command_applied", "budget", o.Budget, "command", string(o.Command.Kind), "member", o.Command.Target.String(), "amount", o.Command.Amount)
	m.onAccountsChanged(o.Budget, items)
}

// applyRolloutCommand takes in an order for the record of changes, unless it is a step of an
// old owner's.
func (m *stateMachine) applyRolloutCommand(o rolloutCommand, index uint64) {
	m.mu.Lock()
	was := m.record
	var err error
	if o.Command.Kind == rollout.Step {
		err = m.checkToken(RolloutLease, o.Token)
	}
	if err == nil {
		m.record, err = was.Apply(o.Command, index)
	}
	if outcome := m.waiters[o.Nonce]; outcome != nil {
		outcome <- err
		delete(m.waiters, o.Nonce) // it may come again, and is refused then
	}
	now := m.record
	m.mu.Unlock()
	if err != nil {
		m.log.Warn("rollout_refused", "order", string(o.Command.Kind), "token", o.Token.String(), "error", err.Error())
		return
	}
	if was.Plan != now.Plan || was.State.Phase != now.State.Phase || was.State.Stage != now.State.Stage {
		m.log.Info("rollout", "plan", now.Plan.ID, "to", now.Plan.To, "phase", string(now.State.Phase), "stage", now.State.Stage,
			"window", now.State.Window, "entry", index, "verdict", string(now.Decision.Verdict), "reason", now.Decision.Reason)
	}
}

// checkToken tells that a token is not that of a lease's present owner. The lock is
// held.
func (m *stateMachine) checkToken(name string, token lease.Token) error {
	if g := m.leaseClient.Table().Grant(name); g.Token != token || g.Free() {
		return &lease.StaleTokenError{Lease: name, Token: token, Highest: g.Token}
	}
	return nil
}

// rolloutRecord gives the record of rolloutRecord as it stands; it is replaced, never written
// into.
func (m *stateMachine) rolloutRecord() rollout.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record
}

// registerWaiter gives where the outcome of an operator's order will come, and forget
// gives that up.
func (m *stateMachine) registerWaiter(nonce uint64) <-chan error {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(chan error, 1)
	m.waiters[nonce] = c
	return c
}

func (m *stateMachine) removeWaiter(nonce uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, nonce)
}

// grant gives a lease's owner, "" where it is free, and the token of its grant.
func (m *stateMachine) grant(name string) (owner string, token lease.Token) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.leaseClient.Table().Grant(name)
	return g.Owner.Member, g.Token
}

// notifyOwnerChange says that a lease changed owners: to the log, to the fence, which so
// knows of a grant ahead of the owner's acts, and to the worker.
func (m *stateMachine) notifyOwnerChange(move lease.OwnerChange) {
	if move.To.Member != "" { // a grant is news that the log brings ahead of the owner's acts
		if err := m.fence.Admit(move.Lease, move.Token); err != nil {
			m.log.Error("fleet_token_went_back", "error", err.Error())
		}
	}
	m.log.Info("lease", "lease", move.Lease, "from", move.From.Member, "to", move.To.Member, "token", move.Token.String())
	select {
	case m.ownerChanged <- struct{}{}:
	default:
	}
}

// Tick implements consensus.StateMachine: the leader asks for what is free.
func (m *stateMachine) Tick(leader bool) [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encode(m.leaseClient.Tick(m.clock(), leader))
}

func (m *stateMachine) encode(leases []lease.Command) [][]byte {
	commands := make([]command, len(leases))
	for i := range leases {
		commands[i].Command = &leases[i]
	}
	return encodeCommands(m.log, commands...)
}

// encodeCommands gives commands as entries for the log; what can't be encoded is left
// out, which the log of the process tells.
func encodeCommands(log *slog.Logger, commands ...command) [][]byte {
	var out [][]byte
	for _, c := range commands {
		b, err := json.Marshal(c)
		if err != nil {
			log.Error("fleet_command", "error", err.Error())
			continue
		}
		out = append(out, b)
	}
	return out
}

// Snapshot implements consensus.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(snapshot{m.leaseClient.Table(), m.allocators, m.record})
}

// Restore implements consensus.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if s.Leases == nil {
		s.Leases = &lease.Table{}
	}
	m.mu.Lock()
	moves := m.leaseClient.Restore(*s.Leases, m.clock())
	m.record = s.Record
	items := map[string][]quota.Delta{}
	for of, bank := range s.Allocators {
		if m.allocators[of] == nil {
			continue // a budget that the fleet has no more
		}
		m.allocators[of] = bank
		for id, a := range bank.Accounts {
			items[of] = append(items[of], quota.Delta{ID: id, Account: a})
		}
	}
	m.mu.Unlock()
	for of, is := range items {
		m.onAccountsChanged(of, is)
	}
	for _, move := range moves {
		m.notifyOwnerChange(move)
	}
	return nil
}

// holds tells whether this voter may act as a lease's owner now.
func (m *stateMachine) holds(name string) (lease.Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseClient.Holds(name, m.clock())
}

// freeRights is how much of a budget nobody holds; 0 where there is no log.
func (m *stateMachine) freeRights(of string) int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return int(m.allocators[of].Free)
}

// ownsAnyLease tells whether the log has this voter as the owner of any lease.
func (m *stateMachine) ownsAnyLease(self lease.Owner) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.leaseClient.Table()
	return slices.ContainsFunc(t.Leases(), func(name string) bool { return t.Grant(name).Owner == self })
}

func (m *stateMachine) resign() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encode(m.leaseClient.Resign(m.clock()))
}
