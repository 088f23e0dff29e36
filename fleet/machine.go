package fleet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"quincerail.example/quincerail/fleet/lease"
)

// machine is the leases of a voter under its log: consensus.Machine over
// lease.Member.
type machine struct {
	log   *slog.Logger
	clock func() time.Duration
	fence *lease.Fence
	moved chan struct{} // has an item when a lease changed owners

	mu     sync.Mutex // the worker asks from its own goroutine
	member *lease.Member
}

// Apply implements consensus.Machine.
func (m *machine) Apply(data []byte, term, index uint64) {
	var c lease.Command
	if err := json.Unmarshal(data, &c); err != nil {
		m.log.Error("fleet_command_unreadable", "index", index, "error", err.Error())
		return
	}
	m.mu.Lock()
	move := m.member.Applied(c, lease.Token{Term: term, Index: index}, m.clock())
	m.mu.Unlock()
	if move != nil {
		m.tell(*move)
	}
}

// tell says that a lease changed owners: to the log, to the fence, which so
// knows of a grant ahead of the owner's acts, and to the worker.
func (m *machine) tell(move lease.Move) {
	if move.To.Member != "" { // a grant is news that the log brings ahead of the owner's acts
		if err := m.fence.Admit(move.Lease, move.Token); err != nil {
			m.log.Error("fleet_token_went_back", "error", err.Error())
		}
	}
	m.log.Info("lease", "lease", move.Lease, "from", move.From.Member, "to", move.To.Member, "token", move.Token.String())
	select {
	case m.moved <- struct{}{}:
	default:
	}
}

// Tick implements consensus.Machine: the leader asks for what is free.
func (m *machine) Tick(leader bool) [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encode(m.member.Tick(m.clock(), leader))
}

func (m *machine) encode(commands []lease.Command) [][]byte {
	var out [][]byte
	for _, c := range commands {
		b, err := json.Marshal(c)
		if err != nil {
			m.log.Error("fleet_command", "error", err.Error())
			continue
		}
		out = append(out, b)
	}
	return out
}

// Snapshot implements consensus.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.member.Table())
}

// Restore implements consensus.Machine.
func (m *machine) Restore(data []byte) error {
	var t lease.Table
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	m.mu.Lock()
	moves := m.member.Restore(t, m.clock())
	m.mu.Unlock()
	for _, move := range moves {
		m.tell(move)
	}
	return nil
}

// holds tells whether this voter may act as a lease's owner now.
func (m *machine) holds(name string) (lease.Token, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member.Holds(name, m.clock())
}

// owns tells whether the log has this voter as a lease's owner.
func (m *machine) owns(name string, self lease.Owner) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member.Table().Grant(name).Owner == self
}

func (m *machine) retire() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encode(m.member.Retire(m.clock()))
}
