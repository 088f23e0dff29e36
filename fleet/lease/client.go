package lease

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// maxPendingCommands is the maximum number of pendingCommands that a client
// remembers for each lease.
const maxPendingCommands = 16

// OwnerChange reports a change of a lease's owner or token. From and To are equal
// if the owner acquired its own lease again.
type OwnerChange struct {
	Lease    string
	From, To Owner // From is zero if the lease was free before, To if it is free now
	Token    Token // token of the latest grant
}

// Client acquires, renews and releases leases for one voter. It applies the
// committed commands to its replica of the table and decides when the voter
// holds a lease and when to send a command. Times are readings of the voter's
// own clock, which must never decrease; only their differences matter. A Client
// is not safe for concurrent use.
type Client struct {
	self       Owner
	timing     Timing
	leaseNames []string // leases that the client tries to own
	table      Table
	states     map[string]leaseState // by lease name
	lastNonce  uint64
	resigned   bool
}

// leaseState is what a client records about a lease besides its grant in the table.
type leaseState struct {
	lastAppliedAt   time.Duration    // when the client applied the latest granted command
	heldUntil       time.Duration    // the client may act as the owner only before this time
	pendingCommands []pendingCommand // in the order in which they were sent
}

// pendingCommand is a command that the client has sent and not applied yet.
type pendingCommand struct {
	nonce  uint64
	sentAt time.Duration
}

// NewClient returns a client that tries to own the named leases. The error is a
// *ConfigError.
func NewClient(self Owner, timing Timing, leaseNames []string) (*Client, error) {
	if err := timing.Validate(); err != nil {
		return nil, err
	}
	if self == (Owner{}) {
		return nil, &ConfigError{"Owner", self, "other than the zero Owner, which means a free lease"}
	}
	return &Client{
		self:       self,
		timing:     timing,
		leaseNames: slices.Clone(leaseNames),
		states:     make(map[string]leaseState),
	}, nil
}

// Restore replaces the table by the one of a snapshot and returns the leases
// whose owner or token changed. It treats all grants as applied now, so the
// client sends no Acquire for an owned lease until the full duration has passed.
func (c *Client) Restore(table Table, now time.Duration) []OwnerChange {
	former := c.table
	c.table = table
	var changes []OwnerChange
	for _, name := range table.Leases() {
		grant, state := table.Grant(name), c.states[name]
		state.lastAppliedAt = now
		if grant.Owner != c.self {
			state.heldUntil = 0
		}
		c.states[name] = state
		if change := ownerChange(name, former.Grant(name), grant); change != nil {
			changes = append(changes, *change)
		}
	}
	return changes
}

// Table returns the client's replica of the table, for a snapshot. Callers must
// not modify it.
func (c *Client) Table() *Table { return &c.table }

// Tick returns the commands to propose: the due renewals of leases that the
// client holds and, if mayAcquire is set, an Acquire for each of its leases that
// is free or has expired. Callers usually set mayAcquire at the voters' leader
// only, so that clients do not compete; the invariants do not depend on that.
func (c *Client) Tick(now time.Duration, mayAcquire bool) []Command {
	if c.resigned {
		return nil
	}
	var commands []Command
	for _, name := range c.leaseNames {
		if kind, due := c.dueCommand(name, now, mayAcquire); due {
			commands = append(commands, c.newCommand(kind, name, now))
		}
	}
	return commands
}

// dueCommand returns the kind of command to send for a lease now, if any is due.
func (c *Client) dueCommand(name string, now time.Duration, mayAcquire bool) (kind CommandKind, due bool) {
	grant, state := c.table.Grant(name), c.states[name]
	if state.hasRecentPending(now, c.timing.RenewInterval) {
		return "", false
	}
	if grant.Owner == c.self && now < state.heldUntil {
		grantSentAt := state.heldUntil - c.timing.ownerDuration()
		return Renew, now >= grantSentAt+c.timing.RenewInterval
	}
	// A client whose own grant has expired waits as long as any other client.
	expired := now >= state.lastAppliedAt+c.timing.observerDuration()
	return Acquire, mayAcquire && (grant.Free() || expired)
}

// hasRecentPending reports whether the latest command was sent less than
// retryInterval ago and has not been applied yet.
func (s leaseState) hasRecentPending(now, retryInterval time.Duration) bool {
	n := len(s.pendingCommands)
	return n > 0 && now-s.pendingCommands[n-1].sentAt < retryInterval
}

// newCommand returns a command for the current grant of a lease and records the
// command as sent now.
func (c *Client) newCommand(kind CommandKind, name string, now time.Duration) Command {
	grant, state := c.table.Grant(name), c.states[name]
	c.lastNonce++
	latest := state.pendingCommands[max(0, len(state.pendingCommands)-maxPendingCommands+1):]
	// A clone of the client may share the slice's array, so Clip forces append to copy it.
	state.pendingCommands = append(slices.Clip(latest), pendingCommand{c.lastNonce, now})
	c.states[name] = state
	command := Command{Kind: kind, Lease: name, Owner: c.self, Token: grant.Token, Nonce: c.lastNonce}
	if kind == Acquire {
		command.Renewals = grant.Renewals
	}
	return command
}

// Apply applies a committed command. The token is the term and index of its log
// entry. Apply returns nil if neither the lease's owner nor its token changed.
func (c *Client) Apply(command Command, token Token, now time.Duration) *OwnerChange {
	name := command.Lease
	before := c.table.Grant(name)
	granted := c.table.Apply(command, token)
	after, state := c.table.Grant(name), c.states[name]
	if granted {
		state.lastAppliedAt = now
	}
	if command.Owner == c.self {
		sentAt, pending := state.removePending(command.Nonce)
		if pending && granted && command.Kind != Release {
			state.heldUntil = sentAt + c.timing.ownerDuration()
		}
	}
	if after.Owner != c.self {
		state.heldUntil = 0
	}
	c.states[name] = state
	return ownerChange(name, before, after)
}

// removePending removes a pending command and all that were sent before it. sentAt
// is the time when the command was sent. found is false if the command is not
// pending: it is a duplicate, a later command was applied before it, or more than
// maxPendingCommands were sent.
func (s *leaseState) removePending(nonce uint64) (sentAt time.Duration, found bool) {
	i := slices.IndexFunc(s.pendingCommands, func(p pendingCommand) bool { return p.nonce == nonce })
	if i < 0 {
		return 0, false
	}
	sentAt = s.pendingCommands[i].sentAt
	s.pendingCommands = slices.Clone(s.pendingCommands[i+1:])
	return sentAt, true
}

// ownerChange returns the change between two states of a lease, or nil if the
// owner and the token are the same.
func ownerChange(name string, before, after Grant) *OwnerChange {
	if after.Token == before.Token && after.Owner == before.Owner {
		return nil
	}
	return &OwnerChange{Lease: name, From: before.Owner, To: after.Owner, Token: after.Token}
}

// Holds reports whether the client may act as the owner of a lease now, and
// returns the token to send with the work. Callers call it immediately before
// each action.
func (c *Client) Holds(name string, now time.Duration) (Token, bool) {
	grant := c.table.Grant(name)
	return grant.Token, grant.Owner == c.self && now < c.states[name].heldUntil
}

// Resign returns a Release for each lease that the client holds. Afterwards Tick
// returns no commands, and the client holds no lease unless a command that it sent
// before Resign is granted later.
func (c *Client) Resign(now time.Duration) []Command {
	c.resigned = true
	var commands []Command
	for _, name := range c.leaseNames {
		if _, holds := c.Holds(name, now); !holds {
			continue
		}
		commands = append(commands, c.newCommand(Release, name, now))
		state := c.states[name]
		state.heldUntil = 0
		c.states[name] = state
	}
	return commands
}

// Clone returns an independent copy of the client, for a model checker.
func (c *Client) Clone() *Client {
	clone := *c
	clone.table.grants = maps.Clone(c.table.grants)
	clone.states = maps.Clone(c.states)
	return &clone
}

// AppendState appends an encoding of the state that determines the client's
// behaviour after now, for a model checker: two clients with equal encodings
// behave the same. Times are encoded relative to now.
func (c *Client) AppendState(b []byte, now time.Duration) []byte {
	for _, name := range c.leaseNames {
		grant, state := c.table.Grant(name), c.states[name]
		b = append(b, grant.Owner.Member...)
		for _, v := range []uint64{
			grant.Owner.Incarnation, grant.Token.Term, grant.Token.Index, grant.Renewals,
			c.lastNonce,
			uint64(min(now-state.lastAppliedAt, c.timing.observerDuration())), // a longer time does not change the behaviour
			uint64(max(state.heldUntil-now, 0)),
			uint64(len(state.pendingCommands)),
		} {
			b = binary.AppendUvarint(b, v)
		}
		for _, p := range state.pendingCommands {
			b = binary.AppendUvarint(b, p.nonce)
			b = binary.AppendUvarint(b, uint64(now-p.sentAt))
		}
	}
	return b
}
